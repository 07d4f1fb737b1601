import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";

/** A chat message. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** The body of a refusal that a daemon sends. */
export interface RefusalBody {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    readonly run: "notRun" | "unknown";
    readonly retryAfterMs?: number;
}

/** Thrown if a call was refused and must not be retried, or if its outcome is unknown. */
export class RefusedError extends Error {
    constructor(readonly refusal: RefusalBody) {
        super(`${refusal.code} ${refusal.name}: ${refusal.message} (${refusal.run})`);
    }
}

/** Settings of a client of one program. */
export interface ClientOptions {
    /** Addresses of daemons, such as `http://127.0.0.1:8080`. Each daemon accepts every call. */
    readonly daemons: readonly string[];
    /** API key of the plan. */
    readonly key: string;
    readonly program: string;
    /** The parent program, if this program is a sub-agent. */
    readonly parent?: string;
    /** Called before a call is retried, with the reason and the address of the daemon that is tried next. */
    readonly onRetry?: (reason: string, daemon: string) => void;
    /** Called with each new part of an answer's text. */
    readonly onText?: (text: string) => void;
    /** No retry of a call starts after this time. Milliseconds; 60 s by default. */
    readonly timeoutMs?: number;
}

/** Options of one call. */
export interface CallOptions {
    /** Whether the call runs at most once, whatever fails; its outcome may then be unknown. */
    readonly atMostOnce?: boolean;
    /** Whether the program ends after this call. */
    readonly end?: boolean;
}

/** A client of one program. Calls must be made one after another. */
export interface Client {
    /** Makes a model turn with only the new messages; returns the whole answer. */
    complete(model: string, messages: readonly ChatMessage[], options?: CallOptions): Promise<string>;
    /** Calls a service that is not a model; returns its answer. */
    callTool(service: string, path: string, body: unknown, options?: CallOptions): Promise<string>;
    /** Ends the program. */
    end(): Promise<void>;
    close(): Promise<void>;
}

/** The request of a call. All attempts use the same identity (program, sequence number and idempotency key). */
interface Attempt {
    readonly method: "POST" | "DELETE";
    readonly path: string;
    readonly headers: Record<string, string>;
    body: string | undefined;
    /** Text of the answer received so far; the next attempt continues after it. */
    text: string;
}

/** Data at the end of a model's answer. */
interface StreamEnd {
    readonly seal?: string;
}

/** A connection that delivers no bytes for this long is considered broken. */
const silenceTimeoutMs = 15_000;
/** Delay before a retry if the refusal does not name one. */
const defaultRetryDelayMs = 200;

/** Creates a client that retries a failed call at another daemon with the same identity. */
export function createClient(options: ClientOptions): Client {
    const { daemons, key, program, parent, onRetry, onText, timeoutMs = 60_000 } = options;
    const agent = new Agent({ headersTimeout: silenceTimeoutMs, bodyTimeout: silenceTimeoutMs });
    const history: ChatMessage[] = [];
    let seal: string | undefined;
    let sequence = 0;
    let daemonIndex = 0;

    function createAttempt(method: Attempt["method"], path: string, body: unknown, callOptions: CallOptions): Attempt {
        const headers: Record<string, string> = {
            "authorization": `Bearer ${key}`,
            "content-type": "application/json",
            "tg-program": program,
            "tg-sequence": String(sequence),
            "idempotency-key": randomUUID(),
        };
        if (parent !== undefined) {
            headers["tg-parent"] = parent;
        }
        if (callOptions.atMostOnce) {
            headers["tg-at-most-once"] = "true";
        }
        if (callOptions.end) {
            headers["tg-end"] = "true";
        }
        return { method, path, headers, body: body === undefined ? undefined : JSON.stringify(body), text: "" };
    }

    /** Retries an attempt until it succeeds, must not be retried, or the deadline has passed. */
    async function withRetries<T>(attempt: Attempt, sendOnce: (attempt: Attempt) => Promise<T>,
        onHistoryNeeded?: () => void): Promise<T> {
        const deadlineAt = performance.now() + timeoutMs;
        for (;;) {
            try {
                return await sendOnce(attempt);
            }
            catch (error) {
                const delayMs = retryDelayMs(error, attempt, onHistoryNeeded);
                if (delayMs === undefined || performance.now() + delayMs > deadlineAt) {
                    throw error;
                }
                daemonIndex = (daemonIndex + 1) % daemons.length;
                onRetry?.((error as Error).message, daemons[daemonIndex]!);
                await sleep(delayMs);
            }
        }
    }

    async function send(attempt: Attempt) {
        const { method, path, body, text } = attempt;
        const headers = text === "" ? attempt.headers : { ...attempt.headers, "last-event-id": String(text.length) };
        const response = await request(daemons[daemonIndex]! + path, { method, headers, body, dispatcher: agent });
        if (response.statusCode >= 400) {
            const answer = await response.body.text();
            const refusal = parseRefusal(answer);
            throw refusal === undefined ? new Error(`HTTP status ${response.statusCode}`) : new RefusedError(refusal);
        }
        return response.body;
    }

    async function readStream(attempt: Attempt): Promise<StreamEnd> {
        let streamEnd: StreamEnd | undefined;
        for await (const { id, data } of readEvents(await send(attempt))) {
            if (data === "[DONE]") {
                continue;
            }
            const chunk = JSON.parse(data) as Chunk;
            if (chunk.error !== undefined) {
                throw new RefusedError(chunk.error);
            }
            appendText(attempt, id, chunk.choices?.[0]?.delta?.content ?? "");
            const seal = chunk.seal ?? chunk.tamarackgauge?.seal;
            if (chunk.choices?.[0]?.finish_reason || seal !== undefined) {
                streamEnd = { seal: seal ?? streamEnd?.seal };
            }
        }
        if (streamEnd === undefined) {
            throw new Error("the stream ended before the answer was complete");
        }
        return streamEnd;
    }

    /** `id` is the length of the answer up to and including this text, so text that is sent again can be skipped. */
    function appendText(attempt: Attempt, id: number | undefined, content: string): void {
        const start = id === undefined ? attempt.text.length : id - content.length;
        if (start > attempt.text.length) {
            throw new Error(`the answer continues at ${start} instead of ${attempt.text.length}`);
        }
        const newText = content.slice(attempt.text.length - start);
        attempt.text += newText;
        if (newText !== "") {
            onText?.(newText);
        }
    }

    return {
        async complete(model, messages, callOptions = {}) {
            const createBody = (sent: readonly ChatMessage[]) => ({ model, messages: sent, max_tokens: 256,
                stream: true });
            const attempt = createAttempt("POST", "/v1/chat/completions", createBody(messages), callOptions);
            if (seal !== undefined) {
                attempt.headers["tg-seal"] = seal;
            }
            const streamEnd = await withRetries(attempt, readStream, () => {
                attempt.body = JSON.stringify(createBody([...history, ...messages]));
            });
            seal = streamEnd.seal ?? seal;
            history.push(...messages, { role: "assistant", content: attempt.text });
            sequence += 1;
            return attempt.text;
        },
        async callTool(service, path, body, callOptions = {}) {
            const attempt = createAttempt("POST", `/v1/tools/${service}/${path}`, body, callOptions);
            const answer = await withRetries(attempt, async one => (await send(one)).text());
            sequence += 1;
            return answer;
        },
        async end() {
            const attempt = createAttempt("DELETE", `/v1/programs/${encodeURIComponent(program)}`, undefined, {});
            await withRetries(attempt, async one => (await send(one)).text());
        },
        close: () => agent.close(),
    };
}

interface Chunk {
    readonly error?: RefusalBody;
    readonly choices?: readonly { readonly delta?: { readonly content?: string; };
        readonly finish_reason?: string | null; }[];
    readonly seal?: string;
    readonly tamarackgauge?: { readonly seal?: string; };
}

/** Returns the delay before the next attempt in ms; undefined if the call must not be retried. */
function retryDelayMs(error: unknown, attempt: Attempt, onHistoryNeeded?: () => void): number | undefined {
    if (!(error instanceof RefusedError)) {
        // The connection broke. The identity makes a retry safe, even for a call that may run at most once.
        return defaultRetryDelayMs;
    }
    const { code, run, retryAfterMs } = error.refusal;
    if (run === "unknown" && attempt.headers["tg-at-most-once"] !== undefined) {
        return undefined;
    }
    if (code === 4092 && onHistoryNeeded !== undefined) {
        onHistoryNeeded();
        return 0;
    }
    if (code === 4097) {
        attempt.text = "";
        return 0;
    }
    const isTransient = Math.floor(code / 10) === 429 || code >= 5000;
    return retryAfterMs ?? (isTransient ? defaultRetryDelayMs : undefined);
}

function parseRefusal(text: string): RefusalBody | undefined {
    try {
        const { error } = JSON.parse(text) as { error?: RefusalBody; };
        return typeof error?.code === "number" && error.run !== undefined ? error : undefined;
    }
    catch {
        return undefined;
    }
}

/** Yields the events of a `text/event-stream` body. */
async function* readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<{ id: number | undefined; data: string; }> {
    const decoder = new TextDecoder();
    let buffered = "";
    for await (const bytes of body) {
        const blocks = (buffered + decoder.decode(bytes, { stream: true })).replaceAll("\r\n", "\n").split("\n\n");
        buffered = blocks.pop()!;
        for (const block of blocks) {
            const lines = block.split("\n");
            const fieldValues = (field: string) =>
                lines.filter(line => line.startsWith(`${field}:`)).map(line =>
                    line.slice(field.length + 1).trimStart()
                );
            const [id] = fieldValues("id");
            const data = fieldValues("data").join("\n");
            if (data !== "") {
                yield { id: id === undefined || !/^\d+$/.test(id) ? undefined : Number(id), data };
            }
        }
    }
}
