import { array, command, flag, multioption, option, optional, string } from "cmd-ts";
import { writeFile } from "node:fs/promises";
import { createAnalysis } from "./analysis.ts";
import { renderHtml } from "./html.ts";
import { readLogs, standardInput } from "./read.ts";
import { renderText } from "./text.ts";

/**
 * `losses --from LOG ...`: tells which calls were not served, when and why. Exit code 1 if no log line was found or a file
 * could not be read.
 */
export const lossesCommand = command({
    name: "losses",
    description: "Show from the logs of gateways which calls were not served, by second and reason",
    args: {
        from: multioption({ type: array(string), long: "from",
            description: "Log file; may be repeated; standard input if absent" }),
        json: flag({ long: "json", description: "Write the report as JSON instead of text" }),
        html: option({ type: optional(string), long: "html", description: "File for an HTML page with a plot" }),
    },
    handler: showLosses,
});

interface LossesOptions {
    readonly from: readonly string[];
    readonly json: boolean;
    readonly html: string | undefined;
}

async function showLosses({ from, json, html }: LossesOptions): Promise<void> {
    const analysis = createAnalysis();
    const summary = await readLogs(from.length === 0 ? [standardInput] : from, line => analysis.add(line));
    const report = analysis.report();
    if (html !== undefined) {
        await writeFile(html, renderHtml(report, summary));
    }
    process.stdout.write(
        json ? `${JSON.stringify({ ...report, ...summary }, undefined, 2)}\n` : renderText(report, summary),
    );
    if (report.lines === 0 || summary.unreadable.length > 0) {
        process.exitCode = 1;
    }
}
