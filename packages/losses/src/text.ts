import type { Count, LossReport } from "./analysis.ts";
import type { ReadSummary } from "./read.ts";

/** Number of reasons that the line of a second names. */
const maxReasonsPerSecond = 3;

/** Renders the report as text. */
export function renderText(report: LossReport, summary: ReadSummary): string {
    return [
        `${report.lines} log lines; ${report.lostPrograms} programs gave up a turn or call`,
        ...summaryLines(summary),
        "",
        "calls not served, by reason",
        ...tableLines(["calls", "programs", "kind", "reason", "retry after", "gateways", "upstreams"],
            report.reasons.map(
                entry => [String(entry.calls), String(entry.programs), entry.kind, entry.reason,
                    entry.retryAfter === undefined ? "" : `${entry.retryAfter} ms`, formatCounts(entry.vms),
                    formatCounts(entry.upstreams)],
            )),
        "",
        "tries until an answer (tries: turns and calls)",
        `served   ${formatCounts(report.tries.served)}`,
        `given up ${formatCounts(report.tries.givenUp)}`,
        "",
        "calls by second",
        ...tableLines(["time", "served", "not served", "reasons"],
            report.seconds.filter(({ losses }) => losses.length > 0).map(({ second, served, losses }) => [
                formatTime(second),
                String(served),
                String(losses.reduce((sum, { count }) => sum + count, 0)),
                losses.slice(0, maxReasonsPerSecond).map(({ name, count }) => `${name} (${count})`).join(", "),
            ])),
        "",
    ].join("\n");
}

/** Lines about input that could not be used. */
export function summaryLines({ badLines, examples, unreadable }: ReadSummary): readonly string[] {
    const named = examples.map(({ source, number }) => `${source}:${number}`).join(", ");
    return [
        ...badLines === 0 ? [] : [`${badLines} lines that no gateway wrote were skipped, the first: ${named}`],
        ...unreadable.map(({ source, reason }) => `${source} could not be read to its end: ${reason}`),
    ];
}

/** Formats the time of day of a second since 1970, in UTC. */
export function formatTime(second: number): string {
    return new Date(second * 1_000).toISOString().slice(11, 19);
}

/** Formats counts as `name: count` pairs. */
export function formatCounts(counts: readonly Count[]): string {
    return counts.map(({ name, count }) => `${name}: ${count}`).join(", ");
}

/** Aligns the columns of a table; the last one is not padded. */
function tableLines(head: readonly string[], rows: readonly (readonly string[])[]): readonly string[] {
    const all = [head, ...rows];
    const widths = head.map((_, column) => Math.max(...all.map(row => row[column]!.length)));
    return all.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd());
}
