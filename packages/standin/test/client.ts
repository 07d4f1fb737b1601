import type { Standin } from "../src/index.ts";

/** Contents of the last chunk of a chat stream. */
export interface FinalChunk {
    readonly reason: string;
    readonly usage: {
        readonly prompt_tokens: number;
        readonly completion_tokens: number;
        readonly prompt_tokens_details: { readonly cached_tokens: number; };
    };
}

interface Chunk {
    readonly choices: readonly { readonly delta: { readonly content?: string; }; readonly finish_reason?: string; }[];
    readonly usage?: FinalChunk["usage"];
}

/** Sends a JSON request and returns the status and the JSON body. Rejects when the connection breaks. */
export async function sendRequest<Body = Record<string, unknown>>(
    standin: Standin,
    method: string,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
): Promise<{ status: number; body: Body; }> {
    const signal = AbortSignal.timeout(5000);
    const text = body === undefined ? undefined : JSON.stringify(body);
    const response = await fetch(`${standin.url}${path}`, { method, body: text, headers, signal });
    return { status: response.status, body: await response.json() as Body };
}

/** Streams a chat completion. `onText` is called with each piece of the text. */
export async function chat(
    standin: Standin,
    body: Record<string, unknown>,
    onText: (text: string) => void = () => {},
    signal: AbortSignal = AbortSignal.timeout(10_000),
): Promise<{ text: string; end: FinalChunk; }> {
    const request = JSON.stringify({ model: "m", stream: true, ...body });
    const response = await fetch(`${standin.url}/v1/chat/completions`, { method: "POST", body: request, signal });
    let text = "";
    let end: FinalChunk | undefined;
    for await (const chunk of readChunks(response)) {
        const [choice] = chunk.choices;
        text += choice?.delta.content ?? "";
        onText(choice?.delta.content ?? "");
        if (chunk.usage !== undefined) {
            end = { reason: choice?.finish_reason ?? "", usage: chunk.usage };
        }
    }
    if (end === undefined) {
        throw new Error("the stream ended without a final chunk");
    }
    return { text, end };
}

/** The body of a chat request with one user message. */
export function chatBody(salt: string, text: string, more: Record<string, unknown> = {}): Record<string, unknown> {
    return { cache_salt: salt, messages: [{ role: "user", content: text }], ...more };
}

/** Waits until a condition holds; rejects after 5 s. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    const deadline = performance.now() + 5000;
    while (!condition()) {
        if (performance.now() > deadline) {
            throw new Error("the condition did not hold within 5 s");
        }
        await new Promise(resolve => setTimeout(resolve, 2));
    }
}

async function* readChunks(response: Response): AsyncGenerator<Chunk> {
    let unparsed = "";
    const decoder = new TextDecoder();
    for await (const bytes of response.body as unknown as AsyncIterable<Uint8Array>) {
        const events = (unparsed + decoder.decode(bytes, { stream: true })).split("\n\n");
        unparsed = events.pop() ?? "";
        for (const event of events) {
            if (event !== "data: [DONE]") {
                yield JSON.parse(event.slice("data: ".length)) as Chunk;
            }
        }
    }
}
