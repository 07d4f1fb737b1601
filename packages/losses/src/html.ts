import { escapeHtml } from "@tamarackgauge/timeline";
import { BarChart } from "echarts/charts";
import { GridComponent, LegendComponent, TitleComponent } from "echarts/components";
import { init, use } from "echarts/core";
import { SVGRenderer } from "echarts/renderers";
import type { LossReport } from "./analysis.ts";
import type { ReadSummary } from "./read.ts";
import { formatCounts, formatTime, summaryLines } from "./text.ts";

use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);

/** Number of reasons with a colour of their own in the plot; the others are shown together. */
const maxPlottedReasons = 8;
const otherReasons = "other reasons";
/** More seconds than this are grouped into bars of several seconds. */
const maxBars = 900;
const width = 1_100;
const height = 420;

/** Renders the report as one HTML page without scripts or external resources. */
export function renderHtml(report: LossReport, summary: ReadSummary): string {
    return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<meta name="viewport" content="width=device-width">
<title>Calls not served</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 1100px; margin: 1em auto; padding: 0 1em; color: #1c2530; }
table { border-collapse: collapse; font-size: 13px; }
td, th { text-align: left; padding: 1px 10px 1px 0; vertical-align: top; overflow-wrap: anywhere; }
svg { width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Calls not served</h1>
<p>${report.lines} log lines; ${report.lostPrograms} programs gave up a turn or call.</p>
${summaryLines(summary).map(line => `<p>${escapeHtml(line)}</p>`).join("\n")}
${renderPlot(report)}
<h2>By reason</h2>
${
        renderTable(["calls", "programs", "kind", "reason", "retry after, ms", "gateways", "upstreams"],
            report.reasons.map(
                entry => [String(entry.calls), String(entry.programs), entry.kind, entry.reason,
                    String(entry.retryAfter ?? ""), formatCounts(entry.vms), formatCounts(entry.upstreams)],
            ))
    }
<h2>Tries until an answer</h2>
${
        renderTable(["tries", "turns and calls"], [
            ...report.tries.served.map(({ name, count }) => [`served after ${name}`, String(count)]),
            ...report.tries.givenUp.map(({ name, count }) => [`given up after ${name}`, String(count)]),
        ])
    }
</body>
</html>
`;
}

/** Plots the calls that were not served, stacked by reason. */
function renderPlot({ reasons, seconds }: LossReport): string {
    const names = [...new Set(reasons.map(({ reason }) => reason))];
    const plotted = names.slice(0, maxPlottedReasons);
    const series = [...plotted, ...names.length > plotted.length ? [otherReasons] : []];
    const first = seconds[0]?.second ?? 0;
    const range = (seconds[seconds.length - 1]?.second ?? first) - first + 1;
    const barSeconds = Math.ceil(range / maxBars);
    const counts = new Map(series.map(name => [name, new Array<number>(Math.ceil(range / barSeconds)).fill(0)]));
    for (const { second, losses } of seconds) {
        for (const { name, count } of losses) {
            counts.get(plotted.includes(name) ? name : otherReasons)![Math.floor((second - first) / barSeconds)]! +=
                count;
        }
    }
    const chart = init(null, null, { renderer: "svg", ssr: true, width, height });
    chart.setOption({
        animation: false,
        legend: { top: 0, data: series },
        grid: { left: 50, right: 10, top: 60, bottom: 40 },
        xAxis: { type: "category",
            data: Array.from({ length: Math.ceil(range / barSeconds) },
                (_, bar) => formatTime(first + bar * barSeconds)) },
        yAxis: { type: "value", name: barSeconds === 1 ? "calls a second" : `calls in ${barSeconds} s` },
        series: [...counts].map(([name, data]) => ({ name, type: "bar", stack: "losses", data })),
    });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
}

function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const renderRow = (cells: readonly string[], tag: string) =>
        `<tr>${cells.map(cell => `<${tag}>${escapeHtml(cell)}</${tag}>`).join("")}</tr>`;
    return `<table>\n${[renderRow(head, "th"), ...rows.map(cells => renderRow(cells, "td"))].join("\n")}\n</table>`;
}
