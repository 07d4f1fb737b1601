import { createHash } from "node:crypto";
import { escapeHtml } from "./escape.ts";
import { sentenceOf } from "./event.ts";
import { formatDuration, formatTime } from "./format.ts";
import { filterScript, pageStyle, phaseColours } from "./htmlParts.ts";
import { renderLanes } from "./lanes.ts";
import type { Entry, MergedEvent } from "./merge.ts";
import { type Phase, phases } from "./phase.ts";
import type { ProgramView, RequestView, View } from "./view.ts";

/** Maximum number of events on a page; browsers become slow with more. */
const maxPageEvents = 20_000;

/** Renders the view as one HTML page without external resources. It is readable without scripts. */
export function renderHtml(view: View): string {
    const programs = limitPrograms(view.programs, maxPageEvents);
    const omitted = view.programs.length - programs.length;
    const hash = createHash("sha256").update(filterScript).digest("base64");
    // Only the filter script may run, even if some text were not escaped.
    const policy = `default-src 'none'; style-src 'unsafe-inline'; script-src 'sha256-${hash}'`;
    return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="${policy}">
<meta name="viewport" content="width=device-width">
<title>Timeline</title>
<style>${pageStyle}</style>
</head>
<body>
<h1>Timeline</h1>
${introduction(view)}
${filterInputs(programs)}
${omitted > 0 ? `<p class="warning">${omitted} more programs are not shown; choose one with --program.</p>` : ""}
${programs.map(programSection).join("\n")}
${generalSection(view)}
<script>${filterScript}</script>
</body>
</html>
`;
}

/** The first programs that together have at most `limit` events, but at least one. */
function limitPrograms(programs: readonly ProgramView[], limit: number): ProgramView[] {
    let count = 0;
    return programs.filter((program, index) => {
        count += program.events.length + program.requests.reduce((sum, one) => sum + one.events.length, 0);
        return count <= limit || index === 0;
    });
}

function introduction({ merged }: View): string {
    const start = merged.entries[0]?.time ?? 0;
    const rows = merged.processes.map(process => {
        const error = process.uncertainty === undefined ? "not compared" : `± ${formatDuration(process.uncertainty)}`;
        const cells = [process.process, process.incarnation, String(process.events), String(process.lost),
            `${process.correction.toFixed(1)} ms`, error];
        return row("td", cells);
    });
    return `<p>This page shows what happened to each request, from ${escapeHtml(formatTime(start))}. Each coloured bar
splits the time of a request by what it was spent on. Below it, each lane is a process, each dot an event, and each line
leads from a cause to its effect in another process. Point at a dot to read it.</p>
<ul class="legend">${(Object.keys(phases) as Phase[]).map(legendItem).join("")}</ul>
<details><summary>${merged.processes.length} processes</summary><table>
${row("th", ["process", "incarnation", "events", "lost", "clock corrected by", "error at most"])}
${rows.join("\n")}</table></details>`;
}

function row(tag: "th" | "td", cells: readonly string[]): string {
    return `<tr>${cells.map(cell => `<${tag}>${escapeHtml(cell)}</${tag}>`).join("")}</tr>`;
}

function legendItem(phase: Phase): string {
    const { label, explanation } = phases[phase];
    return `<li><span class="colour" style="background:${phaseColours[phase]}"></span>`
        + `<b>${escapeHtml(label)}</b>: ${escapeHtml(explanation)}</li>`;
}

function filterInputs(programs: readonly ProgramView[]): string {
    const names = programs.map(({ program }) => `<option>${escapeHtml(program)}</option>`).join("");
    return `<p class="filter"><label>Program <input id="program" list="programs" placeholder="all"></label>
<datalist id="programs">${names}</datalist>
<label>Request <input id="request" placeholder="all"></label></p>`;
}

function programSection({ program, start, end, requests, events }: ProgramView): string {
    const name = escapeHtml(program);
    return `<section class="program" data-program="${name}">
<h2>${name}</h2>
<p>${requests.length} requests in ${formatDuration(end - start)}.</p>
${events.length > 0 ? eventList("Events of the program", events, start) : ""}
${requests.map(request => requestSection(request, start)).join("\n")}
</section>`;
}

function requestSection(request: RequestView, start: number): string {
    const name = escapeHtml(request.request);
    const missing = request.incomplete ? " Some of its events were lost." : "";
    const why = request.why.map(sentence => `<li>${escapeHtml(sentence)}</li>`).join("");
    return `<section class="request ${request.result}" data-request="${name}">
<h3>${name}: ${request.result} in ${formatDuration(request.end - request.start)}</h3>
<p>It began ${formatDuration(request.start - start)} after the first event of the program.${missing}</p>
${phaseBar(request)}
<ul class="why">${why}</ul>
${renderLanes(request.events)}
${eventList(`${request.events.length} events`, request.events, request.start)}
</section>`;
}

function phaseBar({ phases: times }: RequestView): string {
    const parts = times.map(({ phase, duration }) => {
        const text = `${phases[phase].label} ${formatDuration(duration)}`;
        return `<span style="flex-grow:${duration.toFixed(3)};background:${phaseColours[phase]}" `
            + `title="${escapeHtml(text)}">${escapeHtml(text)}</span>`;
    });
    return `<div class="bar">${parts.join("")}</div>`;
}

function eventList(title: string, entries: readonly Entry[], start: number): string {
    const items = entries.map(entry =>
        row("td", [`+${(entry.time - start).toFixed(1)} ms`, entry.process, ...describe(entry)])
    );
    return `<details><summary>${escapeHtml(title)}</summary><table>${items.join("\n")}</table></details>`;
}

function describe(entry: Entry): [string, string] {
    return entry.kind === "event"
        ? [entry.part, sentenceOf(entry) + linkNote(entry)]
        : ["", `events ${entry.from} to ${entry.to} were overwritten or not written`];
}

function linkNote({ link }: MergedEvent): string {
    return link === "missing" ? " (its cause was lost)" : link === "ignored" ? " (contradicts the record)" : "";
}

function generalSection({ merged, events }: View): string {
    const start = merged.entries[0]?.time ?? 0;
    const gaps = merged.entries.filter(entry => entry.kind === "gap");
    const shown = events.slice(-maxPageEvents);
    return `<section class="general"><h2>Processes</h2>
${renderLanes(shown.slice(-1000))}
${eventList(`${shown.length} events of no program`, shown, start)}
${gaps.length > 0 ? eventList(`${gaps.length} gaps`, gaps, start) : ""}
</section>`;
}
