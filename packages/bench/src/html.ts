import { completedLatencies, createHistogram } from "./measures.ts";
import type { PolicyRecord } from "./record.ts";
import { runNames } from "./runs.ts";
import { createNotes, idleTable, measureTable, runTable, type Table } from "./table.ts";

const width = 640;
const height = 260;
const margin = 45;
const colours = ["#1b6ca8", "#c8553d", "#588b4c", "#7a5195", "#8a6d3b"];
/** Percentiles at which each curve has a point. */
const chartPercentiles = Array.from({ length: 101 }, (_, index) => index === 100 ? 99.9 : index);

/** Renders the report as one self-contained HTML page. */
export function renderHtml(records: readonly PolicyRecord[]): string {
    const title = records[0]?.title ?? "Measurements";
    const charts = runNames.map(name => renderChart(records, name)).join("\n");
    return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 3px 8px; text-align: left; }
svg { margin: 0 1em 1em 0; }
</style>
<h1>${escapeHtml(title)}</h1>
${createNotes(records).map(note => `<p>${escapeHtml(note)}</p>`).join("\n")}
<h2>Measures</h2>
${renderTable(measureTable(records))}
<h2>Whole-program times of completed programs, all seeds</h2>
${charts}
<h2>Runs</h2>
${renderTable(runTable(records))}
<h2>Calls to idle engines, ms</h2>
${renderTable(idleTable(records))}
</html>
`;
}

/** Escapes text for use in HTML elements and attributes. */
export function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll("\"", "&quot;")
        .replaceAll("'", "&#39;");
}

function renderTable([head, ...rows]: Table): string {
    const renderRow = (cells: readonly string[], tag: string) =>
        `<tr>${cells.map(cell => `<${tag}>${escapeHtml(cell)}</${tag}>`).join("")}</tr>`;
    return `<table>\n${renderRow(head ?? [], "th")}\n${rows.map(cells => renderRow(cells, "td")).join("\n")}\n</table>`;
}

interface Curve {
    readonly policy: string;
    readonly points: readonly { readonly share: number; readonly ms: number; }[];
}

/** Renders the latency percentiles of one run, with one curve per policy and a logarithmic time axis. */
function renderChart(records: readonly PolicyRecord[], name: string): string {
    const curves = records.map(({ policy, seeds }): Curve => {
        const times = seeds.flatMap(({ runs }) =>
            runs.filter(run => run.name === name).flatMap(run => completedLatencies(run))
        );
        const histogram = createHistogram(times);
        const points = chartPercentiles.map(share => ({ share, ms: histogram.getValueAtPercentile(share) / 1_000 }));
        return { policy, points: times.length === 0 ? [] : points };
    });
    const allMs = curves.flatMap(({ points }) => points.map(({ ms }) => ms));
    if (allMs.length === 0) {
        return "";
    }
    const minExponent = Math.floor(Math.log10(Math.max(0.1, Math.min(...allMs))));
    const maxExponent = Math.max(minExponent + 1, Math.ceil(Math.log10(Math.max(...allMs))));
    const xOf = (share: number) => margin + (width - 2 * margin) * share / 100;
    const yOf = (ms: number) =>
        height - margin -
        (height - 2 * margin) * (Math.log10(Math.max(0.1, ms)) - minExponent) / (maxExponent - minExponent);
    const gridLines = Array.from({ length: maxExponent - minExponent + 1 }, (_, step) => 10 ** (minExponent + step))
        .map(ms =>
            `<line x1="${margin}" x2="${width - margin}" y1="${yOf(ms)}" y2="${yOf(ms)}" stroke="#ddd"/>`
            + `<text x="4" y="${yOf(ms) + 4}">${ms} ms</text>`
        ).join("");
    const xAxisLabels = [0, 25, 50, 75, 100].map(share =>
        `<text x="${xOf(share)}" y="${height - margin + 16}" text-anchor="middle">p${share}</text>`
    ).join("");
    const curveLines = curves.map(({ policy, points }, index) => {
        const colour = colours[index % colours.length]!;
        const path = points.map(({ share, ms }) => `${xOf(share).toFixed(1)},${yOf(ms).toFixed(1)}`).join(" ");
        return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${path}"/>`
            + `<text x="${margin + 8}" y="${margin + 12 + 14 * index}" fill="${colour}">${escapeHtml(policy)}</text>`;
    }).join("");
    return `<svg width="${width}" height="${height}" font-size="11" role="img"><text x="${width / 2}" y="20" `
        + `text-anchor="middle" font-size="13">${escapeHtml(name)}</text>${gridLines}${xAxisLabels}${curveLines}</svg>`;
}
