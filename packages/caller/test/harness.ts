import { type AnswerEvent, type Call, type Configuration, createConfiguration, hashKey } from "@tamarackgauge/core";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { createFront, type Front, type FrontOptions } from "../src/index.ts";

export const key = "key-of-dunes";
export const otherKey = "key-of-pendulums";

export const configuration: Configuration = createConfiguration(1, {
    plans: [{ name: "dunes", keys: [hashKey(key)] }, { name: "pendulums", keys: [hashKey(otherKey)] }],
    allowances: [
        { plan: "dunes", models: ["m1"], services: ["waiver"], budgetTokens: 1, programsAtOnce: 1 },
        { plan: "pendulums", models: ["m2"], services: [], budgetTokens: 1, programsAtOnce: 1 },
    ],
});

export const completion = {
    reason: "stop",
    status: 200,
    promptTokens: 7,
    cachedTokens: 3,
    tokens: 2,
    durability: "stored",
    sequence: 0,
    upstream: "e1",
    seal: "s",
} as const;

export const done: AnswerEvent = { type: "done", completion };

export function textEvent(offset: number, value: string): AnswerEvent {
    return { type: "text", offset, text: value };
}

export async function* answerEvents(...list: readonly AnswerEvent[]): AsyncGenerator<AnswerEvent> {
    yield* list;
}

/** An answer whose text arrives in these pieces. */
export function textAnswer(...texts: readonly string[]): AsyncGenerator<AnswerEvent> {
    return answerEvents(...texts.map((each, at) => textEvent(texts.slice(0, at).join("").length, each)), done);
}

/** Starts a front on a free port that answers each call with `serve`. */
export function openFront(serve: FrontOptions["serve"], overrides: Partial<FrontOptions> = {}): Promise<Front> {
    return createFront({
        address: "127.0.0.1",
        port: 0,
        configuration: () => configuration,
        serve,
        endProgram: async () => undefined,
        ...overrides,
    });
}

export interface Answer {
    readonly status: number;
    readonly headers: Headers;
    readonly text: string;
}

/** Sends a chat-completions request and returns the complete answer. */
export async function chat(front: Front, body: unknown, headers: Record<string, string> = {}): Promise<Answer> {
    return send(front, "POST", "/v1/chat/completions", typeof body === "string" ? body : JSON.stringify(body), headers);
}

export async function send(
    front: Front,
    method: string,
    path: string,
    body?: string,
    headers: Record<string, string> = {},
): Promise<Answer> {
    const response = await fetch(`http://127.0.0.1:${front.port}${path}`, {
        method,
        body,
        headers: { authorization: `Bearer ${key}`, ...headers },
    });
    return { status: response.status, headers: response.headers, text: await response.text() };
}

/** Resolves after `time` ms. */
export function sleep(time: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, time));
}

export const chatBody = { model: "m1", messages: [{ role: "user", content: "hi" }] };

export const streamedChatBody = { ...chatBody, stream: true };

/** The result code of a refusal. */
export function codeOf(answer: Answer): number {
    return (JSON.parse(answer.text) as { error: { code: number; }; }).error.code;
}

/** Opens a connection, sends raw text and returns everything that is received until the connection closes. */
export async function sendRaw(front: Front, text: string, endAfterSend = false): Promise<string> {
    const socket = await connectTo(front);
    socket.write(text, "latin1");
    if (endAfterSend) {
        socket.end();
    }
    let received = "";
    socket.on("data", chunk => received += chunk.toString());
    socket.on("error", () => undefined);
    await once(socket, "close");
    return received;
}

export async function connectTo(front: Front): Promise<Socket> {
    const socket = connect(front.port, "127.0.0.1");
    await once(socket, "connect");
    return socket;
}

/** The raw text of a chat-completions request. */
export function rawChat(body: unknown): string {
    const text = JSON.stringify(body);
    return `POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer ${key}\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

/** Waits until a condition holds, at most 5 s. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    const deadline = Date.now() + 5000;
    while (!condition()) {
        if (Date.now() > deadline) {
            throw new Error("the condition did not hold within 5 s");
        }
        await sleep(5);
    }
}

/** An answer that does not end until its signal is aborted. */
export async function* untilAborted(_call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    yield textEvent(0, "a");
    await once(signal, "abort");
}
