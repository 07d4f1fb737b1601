import { type Disturbance, findDisturbances } from "./disturbance.ts";
import { explain } from "./explain.ts";
import type { Gap, MergedEvent, MergedTimeline } from "./merge.ts";
import { endOf, type PhaseTime, splitTime } from "./phase.ts";
import { matchesProgram } from "./timeline.ts";

/** A merged timeline, grouped by program and request. */
export interface View {
    readonly merged: MergedTimeline;
    readonly programs: readonly ProgramView[];
    /** Events of no program. */
    readonly events: readonly MergedEvent[];
}

/** One program. Times are milliseconds on the common axis. */
export interface ProgramView {
    readonly program: string;
    readonly start: number;
    readonly end: number;
    readonly requests: readonly RequestView[];
    /** Events of the program that belong to no request. */
    readonly events: readonly MergedEvent[];
}

/** How a request ended, as far as the record shows. */
export type RequestResult = "done" | "refused" | "unknown" | "cancelled" | "open";

/** One request. Times are milliseconds on the common axis. */
export interface RequestView {
    readonly program: string;
    readonly request: string;
    readonly start: number;
    readonly end: number;
    readonly result: RequestResult;
    readonly phases: readonly PhaseTime[];
    /** Sentences that explain why the request was slow or refused. */
    readonly why: readonly string[];
    readonly processes: readonly string[];
    /** Events of the request may be missing. */
    readonly incomplete: boolean;
    readonly events: readonly MergedEvent[];
}

/** What to show; everything when empty. */
export interface Filter {
    /** Key of a program or its name after the plan; its sub-agents are shown too. */
    readonly program?: string;
    readonly request?: string;
}

/** Groups a merged timeline by program and request. */
export function createView(merged: MergedTimeline, filter: Filter = {}): View {
    const events = merged.entries.filter(entry => entry.kind === "event");
    const gaps = merged.entries.filter(entry => entry.kind === "gap");
    const generalEvents = events.filter(event => event.program === undefined);
    const disturbances = findDisturbances(generalEvents);
    const wanted = wantedPrograms(events, filter.program);
    const shown = events.filter(({ program, request }) =>
        program !== undefined && wanted.has(program) && (filter.request ?? request) === request
    );
    const programs = groupBy(shown, event => event.program!);
    return {
        merged,
        programs: [...programs].map(([program, programEvents]) =>
            programView(program, programEvents, disturbances, gaps)
        ),
        events: generalEvents,
    };
}

/** Keys of the programs that match a name, and of their sub-agents. */
function wantedPrograms(events: readonly MergedEvent[], name: string | undefined): ReadonlySet<string> {
    const programs = new Set(events.flatMap(({ program }) => program === undefined ? [] : [program]));
    if (name === undefined) {
        return programs;
    }
    const wanted = new Set([...programs].filter(program => matchesProgram(program, name)));
    const opened = events.filter(({ event, program }) => event === "programOpened" && program !== undefined);
    // The set grows during the iteration, so sub-agents of sub-agents are found as well.
    for (const parent of wanted) {
        for (const { program, fields } of opened) {
            if (fields?.["parent"] !== undefined && matchesProgram(parent, String(fields["parent"]))) {
                wanted.add(program!);
            }
        }
    }
    return wanted;
}

function programView(
    program: string,
    events: readonly MergedEvent[],
    disturbances: readonly Disturbance[],
    gaps: readonly Gap[],
): ProgramView {
    const requests = groupBy(events.filter(event => event.request !== undefined), event => event.request!);
    return {
        program,
        start: events[0]!.time,
        end: events.at(-1)!.time,
        requests: [...requests].map(([request, requestEvents]) =>
            requestView(program, request, requestEvents, disturbances, gaps)
        ),
        events: events.filter(event => event.request === undefined),
    };
}

function requestView(
    program: string,
    request: string,
    events: readonly MergedEvent[],
    disturbances: readonly Disturbance[],
    gaps: readonly Gap[],
): RequestView {
    const start = events[0]!.time;
    const end = endOf(events);
    const phases = splitTime(events);
    const processes = [...new Set(events.map(event => event.process))];
    return {
        program,
        request,
        start,
        end,
        result: resultOf(events),
        phases,
        why: explain(events, phases, disturbances),
        processes,
        incomplete: events[0]!.event !== "callReceived"
            || gaps.some(({ process, time }) => processes.includes(process) && time >= start && time <= end),
        events,
    };
}

/** The last event that ends the request decides: a call that was refused may succeed when it is retried. */
function resultOf(events: readonly MergedEvent[]): RequestResult {
    for (const { event } of [...events].reverse()) {
        if (event === "callFinished" || event === "turnCommitted") {
            return "done";
        }
        if (event === "callRefused") {
            return "refused";
        }
        if (event === "outcomeUnknown") {
            return "unknown";
        }
        if (event === "callCancelled") {
            return "cancelled";
        }
    }
    return "open";
}

function groupBy<T>(values: readonly T[], keyOf: (value: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const value of values) {
        const key = keyOf(value);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [value]);
        }
        else {
            group.push(value);
        }
    }
    return groups;
}
