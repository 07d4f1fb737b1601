import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";

/** A chat message. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** A refusal as the daemons send it. */
export interface RefusalBody {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    readonly run: "notRun" | "unknown";
    readonly retryAfterMs?: number;
}

/** The call was refused for good, or its outcome is not known. */
export class RefusedError extends Error {
    constructor(readonly refusal: RefusalBody) {
        super(`${refusal.code} ${refusal.name}: ${refusal.message} (${refusal.run})`);
    }
}

/** Settings of a client of one program. */
export interface ClientOptions {
    /** Addresses of daemons, such as `http://127.0.0.1:8080`; any of them takes any call. */
    readonly daemons: readonly string[];
    /** The key of the plan. */
    readonly key: string;
    readonly program: string;
    /** The program that this one is a sub-agent of. */
    readonly parent?: string;
    /** Called when a call is asked for again, with the reason. */
    readonly onRetry?: (reason: string, daemon: string) => void;
    /** Called with each piece of text of an answer. */
    readonly onText?: (text: string) => void;
    /** After this time a call is given up. Milliseconds; default 60 s. */
    readonly deadline?: number;
}

/** Options of one call. */
export interface CallOptions {
    /** The call runs at most once, whatever fails; its outcome may then be unknown. */
    readonly atMostOnce?: boolean;
    /** The program ends after this call. */
    readonly end?: boolean;
}

/** A client of one program. Its calls are made one after another. */
export interface Client {
    /** A model turn with the messages that are new; returns the whole answer. */
    complete(model: string, messages: readonly ChatMessage[], options?: CallOptions): Promise<string>;
    /** A call of a plain service; returns its answer. */
    callTool(service: string, path: string, body: unknown, options?: CallOptions): Promise<string>;
    /** Ends the program. */
    end(): Promise<void>;
    close(): Promise<void>;
}

/** What a call needs for each attempt; the identity stays the same over all attempts. */
interface Attempt {
    readonly method: "POST" | "DELETE";
    readonly path: string;
    readonly headers: Record<string, string>;
    body: string | undefined;
    /** Text of the answer so far; the next attempt continues after it. */
    text: string;
}

/** What a model answer brings besides its text. */
interface Ending {
    readonly seal?: string;
}

/** No byte for this long means that the connection is dead. Milliseconds. */
const silenceLimit = 15_000;
/** Wait before asking again where the refusal names no time. Milliseconds. */
const defaultPause = 200;

/** Creates a client that asks another daemon, with the same identity, when one fails. */
export function createClient(options: ClientOptions): Client {
    const { daemons, key, program, parent, onRetry, onText, deadline = 60_000 } = options;
    const agent = new Agent({ headersTimeout: silenceLimit, bodyTimeout: silenceLimit });
    const history: ChatMessage[] = [];
    let seal: string | undefined;
    let sequence = 0;
    let daemon = 0;

    function prepare(method: Attempt["method"], path: string, body: unknown, call: CallOptions): Attempt {
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
        if (call.atMostOnce) {
            headers["tg-at-most-once"] = "true";
        }
        if (call.end) {
            headers["tg-end"] = "true";
        }
        return { method, path, headers, body: body === undefined ? undefined : JSON.stringify(body), text: "" };
    }

    /** Repeats an attempt until it succeeds, is refused for good or the deadline has passed. */
    async function repeat<T>(attempt: Attempt, once: (attempt: Attempt) => Promise<T>, lost?: () => void): Promise<T> {
        const giveUpAt = performance.now() + deadline;
        for (;;) {
            try {
                return await once(attempt);
            }
            catch (error) {
                const pause = pauseAfter(error, attempt, lost);
                if (pause === undefined || performance.now() + pause > giveUpAt) {
                    throw error;
                }
                daemon = (daemon + 1) % daemons.length;
                onRetry?.((error as Error).message, daemons[daemon]!);
                await sleep(pause);
            }
        }
    }

    async function send(attempt: Attempt) {
        const { method, path, body, text } = attempt;
        const headers = text === "" ? attempt.headers : { ...attempt.headers, "last-event-id": String(text.length) };
        const response = await request(daemons[daemon]! + path, { method, headers, body, dispatcher: agent });
        if (response.statusCode >= 400) {
            const answer = await response.body.text();
            const refusal = refusalIn(answer);
            throw refusal === undefined ? new Error(`HTTP status ${response.statusCode}`) : new RefusedError(refusal);
        }
        return response.body;
    }

    async function stream(attempt: Attempt): Promise<Ending> {
        let ending: Ending | undefined;
        for await (const { id, data } of eventsOf(await send(attempt))) {
            if (data === "[DONE]") {
                continue;
            }
            const chunk = JSON.parse(data) as Chunk;
            if (chunk.error !== undefined) {
                throw new RefusedError(chunk.error);
            }
            append(attempt, id, chunk.choices?.[0]?.delta?.content ?? "");
            const seal = chunk.seal ?? chunk.tamarackgauge?.seal;
            if (chunk.choices?.[0]?.finish_reason || seal !== undefined) {
                ending = { seal: seal ?? ending?.seal };
            }
        }
        if (ending === undefined) {
            throw new Error("the answer broke off");
        }
        return ending;
    }

    /** `id` counts the characters of the answer up to and including this text, so repeated text is recognised. */
    function append(attempt: Attempt, id: number | undefined, content: string): void {
        const start = id === undefined ? attempt.text.length : id - content.length;
        if (start > attempt.text.length) {
            throw new Error(`the answer continues at ${start} instead of ${attempt.text.length}`);
        }
        const fresh = content.slice(attempt.text.length - start);
        attempt.text += fresh;
        if (fresh !== "") {
            onText?.(fresh);
        }
    }

    return {
        async complete(model, messages, call = {}) {
            const bodyOf = (sent: readonly ChatMessage[]) => ({ model, messages: sent, max_tokens: 256, stream: true });
            const attempt = prepare("POST", "/v1/chat/completions", bodyOf(messages), call);
            if (seal !== undefined) {
                attempt.headers["tg-seal"] = seal;
            }
            const ending = await repeat(attempt, stream, () => {
                attempt.body = JSON.stringify(bodyOf([...history, ...messages]));
            });
            seal = ending.seal ?? seal;
            history.push(...messages, { role: "assistant", content: attempt.text });
            sequence += 1;
            return attempt.text;
        },
        async callTool(service, path, body, call = {}) {
            const attempt = prepare("POST", `/v1/tools/${service}/${path}`, body, call);
            const answer = await repeat(attempt, async one => (await send(one)).text());
            sequence += 1;
            return answer;
        },
        async end() {
            const attempt = prepare("DELETE", `/v1/programs/${encodeURIComponent(program)}`, undefined, {});
            await repeat(attempt, async one => (await send(one)).text());
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

/** Milliseconds to wait before the next attempt; undefined when there must be none. */
function pauseAfter(error: unknown, attempt: Attempt, lost?: () => void): number | undefined {
    if (!(error instanceof RefusedError)) {
        // A broken connection. The same identity makes it safe to ask again, also for a call that runs at most once.
        return defaultPause;
    }
    const { code, run, retryAfterMs } = error.refusal;
    if (run === "unknown" && attempt.headers["tg-at-most-once"] !== undefined) {
        return undefined;
    }
    if (code === 4092 && lost !== undefined) {
        lost();
        return 0;
    }
    if (code === 4097) {
        attempt.text = "";
        return 0;
    }
    const transient = Math.floor(code / 10) === 429 || code >= 5000;
    return retryAfterMs ?? (transient ? defaultPause : undefined);
}

function refusalIn(text: string): RefusalBody | undefined {
    try {
        const { error } = JSON.parse(text) as { error?: RefusalBody; };
        return typeof error?.code === "number" && error.run !== undefined ? error : undefined;
    }
    catch {
        return undefined;
    }
}

/** The events of a `text/event-stream` body. */
async function* eventsOf(body: AsyncIterable<Buffer>): AsyncGenerator<{ id: number | undefined; data: string; }> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const piece of body) {
        const blocks = (rest + decoder.decode(piece, { stream: true })).replaceAll("\r\n", "\n").split("\n\n");
        rest = blocks.pop()!;
        for (const block of blocks) {
            const lines = block.split("\n");
            const valueOf = (name: string) =>
                lines.filter(line => line.startsWith(`${name}:`)).map(line => line.slice(name.length + 1).trimStart());
            const [id] = valueOf("id");
            const data = valueOf("data").join("\n");
            if (data !== "") {
                yield { id: id === undefined || !/^\d+$/.test(id) ? undefined : Number(id), data };
            }
        }
    }
}
