import { type Configuration, configuration, type ConfigurationLists } from "@tamarackgauge/core";
import { request } from "undici";
import { z } from "zod";
import type { DaemonStatus } from "./routes.ts";

/** Timeout of a daemon's response to an operator, applied to its headers and to its body. */
const responseTimeoutMs = 10_000;

/** Maximum attempts to apply a change. All carry the same change identity, so it takes effect at most once. */
const maxApplyAttempts = 3;

const problemSchema = z.object({ line: z.number(), column: z.number(), code: z.number(), field: z.string(),
    message: z.string() });

const refusalSchema = z.object({
    error: z.object({ code: z.number(), message: z.string(), problems: z.array(problemSchema).optional() }),
});

const statusSchema = z.object({
    daemon: z.string(),
    configurationVersion: z.number(),
    ready: z.boolean(),
    reason: z.string().optional(),
    details: z.record(z.string(), z.unknown()).optional(),
});

/** A problem that a daemon found in a file. */
export type ReportedProblem = z.infer<typeof problemSchema>;

/** The outcome of a request to a daemon: a value, a refusal, a response that is not a daemon's, or none. */
export type Reply<Value> =
    | { readonly kind: "value"; readonly value: Value; }
    | {
        readonly kind: "refused";
        readonly code: number;
        readonly message: string;
        readonly problems: readonly ReportedProblem[];
    }
    | { readonly kind: "foreign" | "unreachable"; readonly message: string; };

/** Sends an operator's requests to one daemon. */
export interface OperatorClient {
    show(): Promise<Reply<Configuration>>;
    /** Applies the lists on version `expected`; `changeId` is the identity of the change. */
    apply(lists: ConfigurationLists, expected: number, changeId: string): Promise<Reply<Configuration>>;
    status(): Promise<Reply<DaemonStatus>>;
}

/** Creates a client of the daemon at `url` (http://address:port). */
export function createOperatorClient(url: string, key: string): OperatorClient {
    const base = new URL(url).origin;
    const configurationUrl = `${base}/operator/v1/configuration`;
    const authorization = `Bearer ${key}`;

    async function applyOnce(body: string, expected: number, changeId: string): Promise<Reply<Configuration>> {
        const headers = { authorization, "if-match": `"${expected}"`, "idempotency-key": changeId };
        return sendRequest(configuration, configurationUrl, { method: "PUT", headers, body });
    }

    return {
        show: () => sendRequest(configuration, configurationUrl, { method: "GET", headers: { authorization } }),
        status: () =>
            sendRequest(statusSchema, `${base}/operator/v1/status`, { method: "GET", headers: { authorization } }),
        apply: async ({ plans, allowances }, expected, changeId) => {
            // Drops the indentation of the file, which can be half of its size; the body limit counts bytes.
            const body = JSON.stringify({ plans, allowances });
            let reply = await applyOnce(body, expected, changeId);
            for (let attempt = 1; isUnanswered(reply) && attempt < maxApplyAttempts; attempt += 1) {
                reply = await applyOnce(body, expected, changeId);
            }
            return reply;
        },
    };
}

/** Whether no daemon has answered. A change that was requested may have been applied. */
export function isUnanswered(reply: Reply<unknown>): boolean {
    return reply.kind === "unreachable" || reply.kind === "foreign";
}

async function sendRequest<Value>(
    schema: z.ZodType<Value>,
    url: string,
    options: Parameters<typeof request>[1],
): Promise<Reply<Value>> {
    try {
        const response = await request(url, { ...options, headersTimeout: responseTimeoutMs,
            bodyTimeout: responseTimeoutMs });
        return parseReply(schema, response.statusCode, await response.body.text());
    }
    catch (error) {
        return { kind: "unreachable", message: error instanceof Error ? error.message : String(error) };
    }
}

function parseReply<Value>(schema: z.ZodType<Value>, status: number, text: string): Reply<Value> {
    const body = parseJson(text);
    if (status === 200) {
        const value = schema.safeParse(body);
        return value.success
            ? { kind: "value", value: value.data }
            : { kind: "foreign", message: "a body of another form" };
    }
    const refusal = refusalSchema.safeParse(body);
    if (!refusal.success) {
        return { kind: "foreign", message: `HTTP status ${status}` };
    }
    const { code, message, problems = [] } = refusal.data.error;
    return { kind: "refused", code, message, problems };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
