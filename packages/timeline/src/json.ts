import { sentenceOf } from "./event.ts";
import type { View } from "./view.ts";

/** Renders the view as JSON. Requests refer to their events by id; times are milliseconds on the common axis. */
export function renderJson(view: View): string {
    const programs = view.programs.map(program => ({
        ...program,
        events: program.events.map(event => event.id),
        requests: program.requests.map(request => ({ ...request, events: request.events.map(event => event.id) })),
    }));
    const shown = new Set([
        ...view.events,
        ...view.programs.flatMap(program => [...program.events, ...program.requests.flatMap(one => one.events)]),
    ]);
    const entries = view.merged.entries
        .filter(entry => entry.kind === "gap" || shown.has(entry))
        .map(entry => entry.kind === "gap" ? entry : { ...entry, sentence: sentenceOf(entry) });
    return JSON.stringify({ lines: view.merged.processes, programs, entries }, undefined, 2) + "\n";
}
