import { escapeHtml } from "./escape.ts";
import { sentenceOf } from "./event.ts";
import { formatDuration } from "./format.ts";
import type { MergedEvent } from "./merge.ts";

const width = 1000;
const labelWidth = 110;
const laneHeight = 26;

/** Draws events as SVG: a lane for each process, a dot for each event, and a line from each cause to its effect. */
export function renderLanes(events: readonly MergedEvent[]): string {
    if (events.length === 0) {
        return "";
    }
    const names = [...new Set(events.map(laneOf))].sort();
    const start = events[0]!.time;
    const duration = Math.max(1e-3, events.at(-1)!.time - start);
    const x = (event: MergedEvent) =>
        (labelWidth + (width - labelWidth - 10) * (event.time - start) / duration).toFixed(1);
    const y = (event: MergedEvent) => laneY(names.indexOf(laneOf(event)));
    const byId = new Map(events.map(event => [event.id, event]));
    const links = events.flatMap(event => {
        const cause = event.cause === undefined ? undefined : byId.get(event.cause);
        return cause === undefined || laneOf(cause) === laneOf(event)
            ? []
            : [`<line x1="${x(cause)}" y1="${y(cause)}" x2="${x(event)}" y2="${y(event)}" stroke="#5577aa"/>`];
    });
    const dots = events.map(event => {
        const title = `+${(event.time - start).toFixed(1)} ms ${event.process} ${event.part}: ${sentenceOf(event)}`;
        return `<circle cx="${x(event)}" cy="${y(event)}" r="4" fill="${colourOf(event)}">`
            + `<title>${escapeHtml(title)}</title></circle>`;
    });
    const height = laneY(names.length);
    return `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="lanes of processes">
${names.map(drawLane).join("\n")}
${links.join("\n")}
${dots.join("\n")}
<text x="${labelWidth}" y="${height - 4}">0 ms</text>
<text x="${width - 10}" y="${height - 4}" text-anchor="end">${formatDuration(duration)}</text>
</svg>`;
}

function drawLane(name: string, index: number): string {
    return `<line x1="${labelWidth}" y1="${laneY(index)}" x2="${width}" y2="${laneY(index)}" stroke="#ddd"/>`
        + `<text x="0" y="${laneY(index) + 4}">${escapeHtml(name)}</text>`;
}

function laneY(index: number): number {
    return index * laneHeight + laneHeight / 2;
}

function laneOf({ process, incarnation }: MergedEvent): string {
    return `${process} (${incarnation})`;
}

/** Failures are red; other events are dark grey. */
function colourOf({ event }: MergedEvent): string {
    return /Refused|Down|Slow|Unknown|Retried|Moved|Expired|Fenced|Late|Aside|Cancelled/.test(event)
        ? "#c0392b"
        : "#2c3e50";
}
