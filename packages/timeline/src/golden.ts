import { type Fields, sentenceOf } from "./event.ts";
import { escapeControlCharacters } from "./format.ts";
import type { MergedEvent, MergedTimeline } from "./merge.ts";
import { createView, type ProgramView, type RequestView } from "./view.ts";

/** An answer as a caller received it. */
export interface CallerAnswer {
    /** Key of the program, `<plan>/<program>`. */
    readonly program: string;
    readonly request: string;
    /** The whole text, or the refusal as text. */
    readonly text: string;
}

/** Differences between runs of one session that are not faults. */
export interface GoldenOptions {
    /** Names of fields to omit, besides times. */
    readonly drop?: readonly string[];
    /** Text to replace, such as names of engines that are chosen by load; applied to whole lines in order. */
    readonly replace?: readonly (readonly [RegExp, string])[];
}

/** Names of fields whose values differ between runs. */
const volatileField = /(?:Ms|port|address|incarnation|waiting|priority|load)$/i;

/**
 * Renders a session as text that is the same for every correct run: without times, ports and random ids, with programs
 * sorted by name and the events of each request in causal order. Concurrent events of different processes are ordered
 * by their text.
 */
export function goldenText(
    merged: MergedTimeline,
    answers: readonly CallerAnswer[],
    options: GoldenOptions = {},
): string {
    const { programs } = createView(merged);
    const sorted = [...programs].sort((a, b) => a.program < b.program ? -1 : 1);
    const lines = sorted.flatMap(program => programLines(program, answers, options));
    const recordedKeys = new Set(programs.flatMap(({ requests }) => requests.map(keyOf)));
    const unrecorded = answers.filter(answer => !recordedKeys.has(keyOf(answer))).map(({ program, text }) =>
        `answer without events, program ${program}: ${text}`
    );
    const requestNames = new Map(
        programs.flatMap(({ requests }) =>
            requests.map(({ request }, index) => [request, `request ${index + 1}`] as const)
        ),
    );
    return [...lines, ...unrecorded.sort()].map(line => normalise(line, requestNames, options)).join("\n") + "\n";
}

function programLines(view: ProgramView, answers: readonly CallerAnswer[], options: GoldenOptions): string[] {
    return [
        `program ${view.program}`,
        ...linesByCausality(view.events, options).map(line => `  ${line}`),
        ...view.requests.flatMap((request, index) => requestLines(request, index, answers, options)),
    ];
}

function requestLines(
    view: RequestView,
    index: number,
    answers: readonly CallerAnswer[],
    options: GoldenOptions,
): string[] {
    const requestAnswers = answers.filter(answer => keyOf(answer) === keyOf(view));
    return [
        `  request ${index + 1}: ${view.result}`,
        ...linesByCausality(view.events, options).map(line => `    ${line}`),
        ...requestAnswers.map(({ text }) => `    answer: ${text}`),
    ];
}

function keyOf({ program, request }: { readonly program: string; readonly request: string; }): string {
    return JSON.stringify([program, request]);
}

/** Event lines in causal order: after the cause and the earlier events of the process, otherwise sorted by text. */
function linesByCausality(events: readonly MergedEvent[], options: GoldenOptions): string[] {
    const remaining = events.map(event => ({ event, line: formatEvent(event, options) }));
    const lines: string[] = [];
    while (remaining.length > 0) {
        const ready = remaining.filter(({ event }) => !remaining.some(other => precedes(other.event, event)));
        // The input is already in causal order, so its first event can be taken even if links contradict each other.
        const [first = remaining[0]!] = ready.sort((a, b) => a.line < b.line ? -1 : a.line > b.line ? 1 : 0);
        lines.push(first.line);
        remaining.splice(remaining.indexOf(first), 1);
    }
    return lines;
}

function precedes(a: MergedEvent, b: MergedEvent): boolean {
    const sameProcess = a.process === b.process && a.incarnation === b.incarnation;
    return sameProcess ? a.sequence < b.sequence : b.cause === a.id && b.link === undefined;
}

function formatEvent(event: MergedEvent, { drop = [] }: GoldenOptions): string {
    const kept = Object.entries(event.fields ?? {}).filter(([name]) =>
        !volatileField.test(name) && !drop.includes(name)
    );
    const fields: Fields = Object.fromEntries(kept);
    return `${event.process} ${event.part}: ${sentenceOf({ event: event.event, fields })}`;
}

function normalise(line: string, ids: ReadonlyMap<string, string>, { replace = [] }: GoldenOptions): string {
    let text = escapeControlCharacters(line);
    for (const [id, name] of ids) {
        // Short request ids are written by hand and do not vary; replacing them could change words that contain them.
        text = id.length >= 8 ? text.replaceAll(id, name) : text;
    }
    text = text
        .replace(/\b(?:\d{1,3}\.){3}\d{1,3}(?::\d+)?\b|\blocalhost:\d+\b/g, "<address>")
        .replace(/\b[0-9a-f]{8}-(?:[0-9a-f]{4}-){3}[0-9a-f]{12}\b|\b(?=[a-f]*\d)[0-9a-f]{16,}\b/gi, "<id>")
        .replace(/\b\d+(?:\.\d+)? ?ms\b/g, "<time>");
    return replace.reduce((result, [from, to]) => result.replace(from, to), text);
}
