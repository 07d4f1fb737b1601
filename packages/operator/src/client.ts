import { type Configuration, configuration, type ConfigurationLists } from "@tamarackgauge/core";
import { request } from "undici";
import { z } from "zod";
import type { DaemonStatus } from "./routes.ts";

/** Time in milliseconds for a daemon to answer an operator. */
const answerTime = 10_000;

/** Attempts to apply one change; all carry its identity, so it takes effect at most once. */
const applyAttempts = 3;

const problem = z.object({ line: z.number(), column: z.number(), code: z.number(), field: z.string(),
    message: z.string() });

const refusalBody = z.object({
    error: z.object({ code: z.number(), message: z.string(), problems: z.array(problem).optional() }),
});

const statusBody = z.object({
    daemon: z.string(),
    configurationVersion: z.number(),
    ready: z.boolean(),
    reason: z.string().optional(),
    details: z.record(z.string(), z.unknown()).optional(),
});

/** A problem that a daemon found in a file. */
export type RemoteProblem = z.infer<typeof problem>;

/** A daemon's answer: a value, a refusal, or none. */
export type Reply<Value> =
    | { readonly kind: "value"; readonly value: Value; }
    | {
        readonly kind: "refused";
        readonly code: number;
        readonly message: string;
        readonly problems: readonly RemoteProblem[];
    }
    | { readonly kind: "unreachable"; readonly message: string; };

/** Asks one daemon on behalf of an operator. */
export interface OperatorClient {
    show(): Promise<Reply<Configuration>>;
    /** Applies the lists on version `expected`; `changeId` is the identity of the change. */
    apply(lists: ConfigurationLists, expected: number, changeId: string): Promise<Reply<Configuration>>;
    status(): Promise<Reply<DaemonStatus>>;
}

/** Creates a client of the daemon at `url` (http://address:port). */
export function createOperatorClient(url: string, key: string): OperatorClient {
    const base = new URL(url).origin;
    const path = `${base}/operator/v1/configuration`;
    const authorization = `Bearer ${key}`;

    async function applyOnce(body: string, expected: number, changeId: string): Promise<Reply<Configuration>> {
        const headers = { authorization, "if-match": `"${expected}"`, "idempotency-key": changeId };
        return ask(configuration, path, { method: "PUT", headers, body });
    }

    return {
        show: () => ask(configuration, path, { method: "GET", headers: { authorization } }),
        status: () => ask(statusBody, `${base}/operator/v1/status`, { method: "GET", headers: { authorization } }),
        apply: async ({ plans, allowances }, expected, changeId) => {
            // Without the file's indentation, which can be half of its size; the body limit counts bytes.
            const body = JSON.stringify({ plans, allowances });
            let reply = await applyOnce(body, expected, changeId);
            for (let attempt = 1; reply.kind === "unreachable" && attempt < applyAttempts; attempt += 1) {
                reply = await applyOnce(body, expected, changeId);
            }
            return reply;
        },
    };
}

async function ask<Value>(
    schema: z.ZodType<Value>,
    url: string,
    options: Parameters<typeof request>[1],
): Promise<Reply<Value>> {
    try {
        const response = await request(url, { ...options, headersTimeout: answerTime, bodyTimeout: answerTime });
        return read(schema, response.statusCode, await response.body.text());
    }
    catch (error) {
        return { kind: "unreachable", message: error instanceof Error ? error.message : String(error) };
    }
}

function read<Value>(schema: z.ZodType<Value>, status: number, text: string): Reply<Value> {
    const body = json(text);
    if (status === 200) {
        const value = schema.safeParse(body);
        return value.success
            ? { kind: "value", value: value.data }
            : { kind: "unreachable", message: "the answer is not that of a daemon" };
    }
    const refused = refusalBody.safeParse(body);
    if (!refused.success) {
        return { kind: "unreachable", message: `HTTP status ${status}` };
    }
    const { code, message, problems = [] } = refused.data.error;
    return { kind: "refused", code, message, problems };
}

function json(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
