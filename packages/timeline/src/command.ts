import { command, multioption, oneOf, option, optional, string, type Type } from "cmd-ts";
import { readFile, writeFile } from "node:fs/promises";
import { request } from "undici";
import { renderHtml } from "./html.ts";
import { renderJson } from "./json.ts";
import { mergeTimelines } from "./merge.ts";
import { readRecord } from "./record.ts";
import { renderText } from "./text.ts";
import type { Excerpt } from "./timeline.ts";
import { createView, type Filter, type View } from "./view.ts";

/** The default of `--operator-key-env`. */
const defaultOperatorKeyVariable = "TAMARACKGAUGE_OPERATOR_KEY";

/** The record of a daemon that does not answer within this time is omitted. */
const fetchTimeoutMs = 10_000;

const renderers: Record<"text" | "json" | "html", (view: View) => string> = {
    text: renderText,
    json: renderJson,
    html: renderHtml,
};

const sourcesType: Type<string[], string[]> = {
    async from(values) {
        if (values.length === 0) {
            throw new Error("at least one --from is needed");
        }
        return values;
    },
    description: "Daemon (http://ADDRESS:PORT) or file of newline-delimited JSON; may be repeated",
    displayName: "url or file",
};

/**
 * `timeline --from URL|FILE ...`: reads the records of processes, merges them and writes them as text, JSON or HTML.
 * A source that cannot be read is reported on standard error; the exit code is 1 when none can.
 */
export const timelineCommand = command({
    name: "timeline",
    description: "Show what happened to programs and requests, over all processes",
    args: {
        from: multioption({ type: sourcesType, long: "from" }),
        program: option({ type: optional(string), long: "program",
            description: "Only this program and its sub-agents, by name or PLAN/NAME" }),
        request: option({ type: optional(string), long: "request", description: "Only this request" }),
        format: option({ type: oneOf(["text", "json", "html"] as const), long: "format",
            defaultValue: () => "text" as const, description: "text, json or html" }),
        out: option({ type: optional(string), long: "out", description: "File to write; standard output if absent" }),
        operatorKeyEnv: option({ type: string, long: "operator-key-env", defaultValue: () => defaultOperatorKeyVariable,
            description: "Environment variable that holds the operator key" }),
    },
    handler: async options => {
        if (!await showTimeline(options)) {
            process.exitCode = 1;
        }
    },
});

/** What to show, and where to write it. */
export interface ShowOptions extends Filter {
    readonly from: readonly string[];
    readonly format: keyof typeof renderers;
    readonly out?: string;
    readonly operatorKeyEnv: string;
}

/** Reads, merges and renders the records of all sources; returns false when no source could be read. */
export async function showTimeline(options: ShowOptions): Promise<boolean> {
    const { from, format, out, operatorKeyEnv } = options;
    const excerpts = await readSources(from, process.env[operatorKeyEnv]);
    if (excerpts === undefined) {
        return false;
    }
    const text = renderers[format](createView(mergeTimelines(excerpts), options));
    if (out === undefined) {
        process.stdout.write(text);
    }
    else {
        await writeFile(out, text);
    }
    return true;
}

/** The records of all sources that can be read; undefined when none can. */
async function readSources(from: readonly string[], key: string | undefined): Promise<Excerpt[] | undefined> {
    const results = await Promise.allSettled(from.map(async source => readRecord(await load(source, key))));
    const read = results.filter(result => result.status === "fulfilled");
    results.forEach((result, index) => {
        if (result.status === "rejected") {
            const { message } = result.reason as Error;
            process.stderr.write(`${from[index]} could not be read: ${message}\n`);
        }
    });
    return read.length === 0 ? undefined : read.flatMap(result => result.value);
}

async function load(source: string, key: string | undefined): Promise<string> {
    if (!/^https?:\/\//.test(source)) {
        return readFile(source, "utf8");
    }
    // The whole record is read even for one program: more messages give better estimates of the clock offsets.
    const { statusCode, body } = await request(new URL("/timeline", source), {
        headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
        signal: AbortSignal.timeout(fetchTimeoutMs),
    });
    const text = await body.text();
    if (statusCode !== 200) {
        throw new Error(`HTTP status ${statusCode}`);
    }
    return text;
}
