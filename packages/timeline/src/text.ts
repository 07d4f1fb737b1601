import { sentenceOf } from "./event.ts";
import { escapeControlCharacters, formatDuration, formatTime } from "./format.ts";
import type { Entry, MergedEvent, ProcessSummary } from "./merge.ts";
import { phases, type PhaseTime } from "./phase.ts";
import type { ProgramView, RequestView, View } from "./view.ts";

/** The view as text: one short sentence for each event, grouped by program and request, with durations. */
export function renderText(view: View): string {
    const gaps = view.merged.entries.filter(entry => entry.kind === "gap");
    const start = view.merged.entries[0]?.time ?? 0;
    const lines = [
        `timeline of ${view.merged.processes.length} processes from ${formatTime(start)}`,
        ...view.merged.processes.map(processText),
        ...view.programs.flatMap(programText),
        "",
        "events of no program",
        ...view.events.map(event => eventText(event, start, "  ")),
        ...(gaps.length === 0 ? [] : ["", "lost events", ...gaps.map(gap => entryText(gap, start, "  "))]),
    ];
    return lines.map(escapeControlCharacters).join("\n") + "\n";
}

function processText({ process, incarnation, correction, uncertainty, events, lost }: ProcessSummary): string {
    const error = uncertainty === undefined ? "not compared" : `± ${formatDuration(uncertainty)}`;
    const losses = lost === 0 ? "" : `, ${lost} lost`;
    return `  ${process} (incarnation ${incarnation}): ${events} events${losses}, `
        + `clock corrected by ${correction.toFixed(1)} ms (${error})`;
}

function programText({ program, start, end, requests, events }: ProgramView): string[] {
    return [
        "",
        `program ${program}: ${requests.length} requests in ${formatDuration(end - start)}`,
        ...events.map(event => eventText(event, start, "  ")),
        ...requests.flatMap(request => requestText(request, start)),
    ];
}

function requestText(request: RequestView, start: number): string[] {
    const missing = request.incomplete ? " (events are missing)" : "";
    return [
        `  request ${request.request}: ${request.result} in ${formatDuration(request.end - request.start)}, `
        + `${formatDuration(request.start - start)} after the program's first event${missing}`,
        `    ${request.phases.map(phaseText).join(", ") || "no time passed"}`,
        ...request.why.map(sentence => `    ${sentence}`),
        ...request.events.map(event => eventText(event, request.start, "      ")),
    ];
}

function phaseText({ phase, duration }: PhaseTime): string {
    return `${phases[phase].label} ${formatDuration(duration)}`;
}

function entryText(entry: Entry, start: number, indent: string): string {
    return entry.kind === "event"
        ? eventText(entry, start, indent)
        : `${indent}${entry.process}: events ${entry.from} to ${entry.to} were overwritten or not written`;
}

function eventText(event: MergedEvent, start: number, indent: string): string {
    const link = event.link === "missing"
        ? " (its cause was lost)"
        : event.link === "ignored"
        ? " (the record contradicts itself here)"
        : "";
    const time = `+${(event.time - start).toFixed(1)}`;
    return `${indent}${time.padStart(9)} ms  ${event.process} ${event.part}: ${sentenceOf(event)}${link}`;
}
