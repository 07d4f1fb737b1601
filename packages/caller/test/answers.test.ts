import { type AnswerEvent, type Call, refuse } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { once } from "node:events";
import { describe, it } from "node:test";
import { answerEvents, chat, chatBody, codeOf, completion, connectTo, done, openFront, rawChat, send, sendRaw, sleep,
    streamedChatBody, textAnswer, textEvent, waitUntil } from "./harness.ts";

/** The text that a caller assembles from the chunks of a stream. */
function joinText(stream: string): string {
    return stream.split("\n\n")
        .map(event => /^data: (\{.*)/m.exec(event)?.[1])
        .filter(data => data !== undefined)
        .map(data => JSON.parse(data) as { choices?: { delta: { content?: string; }; }[]; })
        .map(data => data.choices?.[0]?.delta.content ?? "")
        .join("");
}

describe("answers", () => {
    it("streams chat-completions chunks with event ids for resuming, usage, durability and a final [DONE]", async () => {
        await using front = await openFront(() => textAnswer("Dobrý ", "deň 🏜"), {
            clock: { wall: () => 5000, monotonic: () => 0 },
        });
        const answer = await chat(front, streamedChatBody, {
            "tg-program": "p",
            "idempotency-key": "r",
        });
        assert.equal(answer.headers.get("content-type"), "text/event-stream");
        const head = "\"id\":\"chatcmpl-r\",\"object\":\"chat.completion.chunk\",\"created\":5,\"model\":\"m1\"";
        assert.equal(
            answer.text,
            `id: 6\ndata: {${head},"choices":[{"index":0,"delta":{"role":"assistant","content":"Dobrý "},"finish_reason":null}]}\n\n`
                + `id: 12\ndata: {${head},"choices":[{"index":0,"delta":{"content":"deň 🏜"},"finish_reason":null}]}\n\n`
                + `id: 12\ndata: {${head},"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],`
                + "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,\"total_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":3}},"
                + "\"tamarackgauge\":{\"program\":\"p\",\"request\":\"r\",\"durability\":\"stored\",\"sequence\":0,\"seal\":\"s\",\"upstream\":\"e1\"}}\n\n"
                + "data: [DONE]\n\n",
        );
    });

    it("returns one JSON body if no stream is requested", async () => {
        await using front = await openFront(() => textAnswer("a", "b"));
        const answer = await chat(front, chatBody);
        const body = JSON.parse(answer.text) as { choices: unknown; usage: { total_tokens: number; }; };
        assert.deepEqual(body.choices, [
            { index: 0, message: { role: "assistant", content: "ab" }, finish_reason: "stop" },
        ]);
        assert.equal(body.usage.total_tokens, 9);
    });

    it("returns a tool's own status and body (guards against a failing tool that looks like a failing scheduler)", async () => {
        await using front = await openFront(() =>
            answerEvents(textEvent(0, "{\"no\":1}"), { type: "done", completion: { ...completion, status: 409 } })
        );
        const answer = await send(front, "POST", "/v1/tools/waiver/sign?x=1", "body", { "tg-program": "p" });
        assert.equal(answer.status, 409);
        assert.equal(answer.text, "{\"no\":1}");
        assert.equal(answer.headers.get("content-type"), "application/json");
        assert.equal(answer.headers.get("tg-durability"), "stored");
    });

    it("delivers each character once and in order if pieces are repeated, overlapping or out of order (I5)", async () => {
        await using front = await openFront(() =>
            answerEvents(textEvent(0, "ab"), textEvent(0, "ab"), textEvent(1, "bcd"), textEvent(6, "gh"),
                textEvent(5, "fgh"), textEvent(4, "ef"), textEvent(2, "cd"), done)
        );
        assert.equal(joinText((await chat(front, streamedChatBody)).text), "abcdefgh");
    });

    it("resumes after last-event-id, whether the owner starts at that offset or at the beginning", async () => {
        await using front = await openFront(call =>
            call.program === "whole" ? textAnswer("abc", "def") : answerEvents(
                textEvent(call.offset, "ef"),
                done,
            )
        );
        for (const program of ["whole", "rest"]) {
            const answer = await chat(front, streamedChatBody, { "last-event-id": "4", "tg-program": program });
            assert.equal(joinText(answer.text), "ef");
            assert.match(answer.text, /^id: 6$/m);
        }
        const whole = await chat(front, chatBody, { "last-event-id": "4" });
        assert.equal(codeOf(whole), 4002, "a body without the beginning of the answer would look complete");
    });

    it("never presents an answer with a gap as complete (I5)", async () => {
        await using front = await openFront(() => answerEvents(textEvent(3, "d"), done));
        assert.equal(codeOf(await chat(front, chatBody)), 5001);
        await using cut = await openFront(() => answerEvents(textEvent(0, "d")));
        const stream = await chat(cut, streamedChatBody);
        assert.match(stream.text, /event: error\ndata: \{"error":\{"code":5001,.*"run":"unknown"/);
        assert.doesNotMatch(stream.text, /DONE/);
    });

    it("sends a refusal as a status before the first byte of an answer and as an error event after it", async () => {
        const refusal = refuse("overloaded", "notRun", undefined, 1200);
        await using front = await openFront(call =>
            call.program === "late"
                ? answerEvents(textEvent(0, "a"), { type: "refused", refusal })
                : answerEvents({ type: "refused", refusal })
        );
        const early = await chat(front, streamedChatBody);
        assert.equal(early.status, 429);
        assert.equal(early.headers.get("retry-after"), "2");
        assert.deepEqual(JSON.parse(early.text), {
            error: { code: 4293, name: "overloaded", message: refusal.message, run: "notRun", retryAfterMs: 1200 },
        });
        const late = await chat(front, streamedChatBody, { "tg-program": "late" });
        assert.equal(late.status, 200);
        assert.match(late.text, /event: error\ndata: \{"error":\{"code":4293,/);
    });

    it("hides the message of an unexpected error, which could contain another program's data", async () => {
        await using front = await openFront(() => {
            throw new Error("history of somebody");
        });
        const answer = await chat(front, chatBody);
        assert.equal(codeOf(answer), 5001);
        assert.doesNotMatch(answer.text, /somebody/);
    });
});

describe("the connection of a caller", () => {
    it("stops pulling the answer while the caller does not read (guards against unbounded memory)", async () => {
        let pulled = 0;
        async function* large(): AsyncGenerator<AnswerEvent> {
            for (; pulled < 20_000; pulled += 1) {
                yield { type: "text", offset: pulled * 1024, text: "x".repeat(1024) };
            }
            yield done;
        }
        await using front = await openFront(large);
        const socket = await connectTo(front);
        socket.pause();
        socket.write(rawChat(streamedChatBody));
        await waitUntil(() => pulled > 0);
        await sleep(300);
        const pulledWhilePaused = pulled;
        assert.ok(pulledWhilePaused < 15_000, `${pulledWhilePaused} KB were pulled although the caller reads nothing`);
        await sleep(100);
        assert.equal(pulled, pulledWhilePaused);
        socket.resume();
        await waitUntil(() => pulled === 20_000);
        socket.destroy();
    });

    it("disconnects a caller that has stopped reading and aborts its call (I12)", async () => {
        let aborted = false;
        async function* large(_call: Call, signal: AbortSignal): AsyncGenerator<AnswerEvent> {
            signal.addEventListener("abort", () => aborted = true);
            for (let offset = 0;; offset += 65_536) {
                yield { type: "text", offset, text: "x".repeat(65_536) };
            }
        }
        await using front = await openFront(large, { limits: { writeTimeout: 200 } });
        const socket = await connectTo(front);
        socket.pause();
        socket.write(rawChat(streamedChatBody));
        await waitUntil(() => aborted && front.openCalls() === 0);
        socket.destroy();
    });

    it("aborts the call when the caller disconnects, even if the answer ignores the signal", async () => {
        let signal: AbortSignal | undefined;
        async function* stuck(_call: Call, given: AbortSignal): AsyncGenerator<AnswerEvent> {
            signal = given;
            yield textEvent(0, "a");
            await new Promise(() => undefined);
        }
        await using front = await openFront(stuck);
        const socket = await connectTo(front);
        socket.write(rawChat(streamedChatBody));
        await once(socket, "data");
        socket.destroy();
        await waitUntil(() => signal?.aborted === true && front.openCalls() === 0);
    });

    it("refuses a pipelined request, sent before the first answer has ended", async () => {
        await using front = await openFront(async function*() {
            await sleep(50);
            yield* textAnswer("slow");
        });
        const received = await sendRaw(front, rawChat(chatBody) + rawChat(chatBody));
        assert.match(received, /slow[^]*400[^]*"code":4003/);
    });

    it("leaves no call open for requests queued behind a refused one, whose responses get no close event", async () => {
        await using front = await openFront(() => textAnswer("a"));
        const bad = rawChat({ ...chatBody, n: 2 });
        for (let round = 0; round < 20; round += 1) {
            await sendRaw(front, bad + bad + rawChat(chatBody) + rawChat(chatBody), true);
        }
        await waitUntil(() => front.openCalls() === 0);
    });

    it("serves consecutive requests on one connection", async () => {
        await using front = await openFront(() => textAnswer("a"));
        const socket = await connectTo(front);
        for (let turn = 0; turn < 20; turn += 1) {
            socket.write(rawChat(chatBody));
            const [data] = await once(socket, "data") as [Buffer];
            assert.match(data.toString(), /^HTTP\/1.1 200/);
        }
        socket.destroy();
    });

    it("sends comments in an idle stream (guards against proxies that close it)", async () => {
        await using front = await openFront(async function*() {
            yield textEvent(0, "a");
            await sleep(100);
            yield done;
        }, { limits: { commentInterval: 20 } });
        const answer = await chat(front, streamedChatBody);
        assert.match(answer.text, /: waiting\n\n/);
        assert.match(answer.text, /DONE/);
    });
});
