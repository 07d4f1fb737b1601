import { type Call, createRandom, type Refusal, refuse, type ToolTarget } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Answer, chat, chatBody, codeOf, configuration, connectTo, key, openFront, otherKey, rawChat, send,
    sendRaw, sleep, streamedChatBody, textAnswer, textEvent, untilAborted, waitUntil } from "./harness.ts";

/** Starts a front that records the calls it is asked to serve. */
async function openRecordingFront() {
    const calls: Call[] = [];
    const front = await openFront(call => {
        calls.push(call);
        return textAnswer("ok");
    });
    return { front, calls, [Symbol.asyncDispose]: () => front[Symbol.asyncDispose]() };
}

describe("the call", () => {
    it("contains all values of the headers and the body", async () => {
        await using recorded = await openRecordingFront();
        const body = { ...chatBody, max_tokens: 9, temperature: 0.5, stream: false, stream_options: {}, n: 1 };
        await chat(recorded.front, body, {
            "tg-program": "p/1",
            "tg-sequence": "3",
            "tg-parent": "root",
            "tg-at-most-once": "true",
            "tg-end": "true",
            "idempotency-key": "r1",
        });
        const [{ digest, ...call }] = recorded.calls as [Call];
        assert.match(digest, /^[0-9a-f]{64}$/);
        assert.deepEqual(call, {
            ...{ plan: "dunes", program: "p/1", request: "r1", sequence: 3, parent: "root" },
            ...{ atMostOnce: true, end: true, offset: 0 },
            target: { kind: "model", ...chatBody, maxTokens: 9, parameters: { temperature: 0.5 } },
        });
    });

    it("has a digest that differs with the path and the body (guards against a reused identity that goes unnoticed)", async () => {
        await using recorded = await openRecordingFront();
        await chat(recorded.front, chatBody);
        await chat(recorded.front, chatBody);
        await chat(recorded.front, { ...chatBody, max_tokens: 2 });
        await send(recorded.front, "POST", "/v1/tools/waiver/a", "x");
        await send(recorded.front, "POST", "/v1/tools/waiver/b", "x");
        const digests = recorded.calls.map(call => call.digest);
        assert.equal(digests[0], digests[1]);
        assert.equal(new Set(digests).size, 4);
    });

    it("without program and request id gets generated ones, which are returned so that the caller can retry", async () => {
        await using recorded = await openRecordingFront();
        const answer = await chat(recorded.front, chatBody);
        const [call] = recorded.calls as [Call];
        assert.equal(call.end, true);
        assert.equal(answer.headers.get("tg-program"), call.program);
        assert.equal(answer.headers.get("idempotency-key"), call.request);
        assert.notEqual(call.program, call.request);
    });

    it("with a seal has the history separate from the new messages", async () => {
        await using recorded = await openRecordingFront();
        const messages = ["user", "assistant", "tool", "user"].map(role => ({ role, content: role }));
        await chat(recorded.front, { model: "m1", messages }, { "tg-program": "p", "tg-seal": "seal" });
        const target = recorded.calls[0]?.target;
        assert.ok(target?.kind === "model");
        assert.deepEqual(target.history, { messages: messages.slice(0, 2), seal: "seal" });
        assert.deepEqual(target.messages, messages.slice(2));
        const historyOnly = { model: "m1", messages: messages.slice(0, 2) };
        assert.equal(codeOf(await chat(recorded.front, historyOnly, { "tg-program": "p", "tg-seal": "seal" })), 4001);
    });

    it("with a seal but without earlier answers has no history", async () => {
        await using recorded = await openRecordingFront();
        await chat(recorded.front, chatBody, { "tg-program": "p", "tg-seal": "seal" });
        const call = recorded.calls[0];
        assert.equal(call?.seal, "seal");
        assert.ok(call.target.kind === "model");
        assert.equal(call.target.history, undefined);
        assert.deepEqual(call.target.messages, chatBody.messages);
    });

    it("of a tool keeps its path and body, and its path cannot leave the service", async () => {
        await using recorded = await openRecordingFront();
        await send(recorded.front, "POST", "/v1/tools/waiver/v1/sign%20it?x=1", "{\"a\":1}");
        const { path, ...target } = recorded.calls[0]?.target as ToolTarget;
        assert.equal(path, "v1/sign%20it?x=1");
        assert.deepEqual(target, { kind: "tool", service: "waiver", body: "{\"a\":1}" });
        for (const path of ["waiver/../admin", "waiver/a/%2E%2e/b", "waiver/..%2fadmin", "%zz/a", ""]) {
            const text = await sendRaw(recorded.front, requestText("POST", `/v1/tools/${path}`));
            assert.match(text, /^HTTP\/1.1 40[034] [^]*"code":4003/, path);
        }
        assert.equal(recorded.calls.length, 1);
    });
});

function authorizationHeader(value: string): string {
    return `authorization: ${value}\r\n`;
}

function requestText(method: string, path: string, headers = ""): string {
    return `${method} ${path} HTTP/1.1\r\nauthorization: Bearer ${key}\r\nconnection: close\r\n${headers}\r\n`;
}

describe("keys", () => {
    it("that are missing, unknown or malformed get exactly the same answer (guards against learning from guesses)", async () => {
        await using recorded = await openRecordingFront();
        for (const body of [JSON.stringify({ ...chatBody, model: "m2" }), "{", ""]) {
            const answers = new Set<string>();
            for (const header of ["",
                ...["Bearer", "Bearer wrong", `Basic ${key}`, `Bearer ${key}x`].map(authorizationHeader)]) {
                const text = await sendRaw(
                    recorded.front,
                    `POST /v1/chat/completions HTTP/1.1\r\n${header}tg-program: p\r\nconnection: close\r\n`
                        + `content-length: ${body.length}\r\n\r\n${body}`,
                );
                answers.add(text.replace(/\r\nDate: .*/i, ""));
            }
            assert.equal(answers.size, 1);
            assert.match([...answers].join(), /^HTTP\/1.1 401 [^]*"code":4011/);
        }
        assert.equal(recorded.calls.length, 0);
    });

    it("of a plan give access only to the plan's models, services and programs", async () => {
        const ended: string[] = [];
        await using front = await openFront(() => textAnswer("ok"), {
            endProgram: async (plan, program): Promise<Refusal | undefined> => {
                ended.push(`${plan} ${program}`);
                return program === "gone" ? refuse("program_unknown", "notRun") : undefined;
            },
        });
        const other = { authorization: `Bearer ${otherKey}` };
        assert.equal(codeOf(await chat(front, chatBody, other)), 4031);
        assert.equal(codeOf(await send(front, "POST", "/v1/tools/waiver/sign", "", other)), 4032);
        assert.equal((await send(front, "DELETE", "/v1/programs/a%2Fb", undefined, other)).status, 204);
        assert.equal(codeOf(await send(front, "DELETE", "/v1/programs/gone")), 4042);
        assert.deepEqual(ended, ["pendulums a/b", "dunes gone"]);
    });

    it("are neither accepted nor rejected while no configuration is confirmed (I10)", async () => {
        await using front = await openFront(() => textAnswer("ok"), { configuration: () => undefined });
        const answer = await chat(front, chatBody);
        assert.equal(codeOf(answer), 5034);
        assert.equal(answer.headers.get("retry-after"), "1");
    });
});

describe("bad input", () => {
    it("is refused with the code of its kind and starts no call", async () => {
        await using recorded = await openRecordingFront();
        const deep = `{"model":"m1","messages":[],"x":${"[".repeat(50_000)}${"]".repeat(50_000)}}`;
        const bodies = ["", "{", "[]", "null", "{}", deep, "\"\\ud800\"", JSON.stringify({ ...chatBody, messages: [] }),
            JSON.stringify({ ...chatBody, messages: [{ content: "x" }] }),
            JSON.stringify({ ...chatBody, max_tokens: -1 }), JSON.stringify({ ...chatBody, max_tokens: 1e99 }),
            JSON.stringify({ ...chatBody, n: 2 }), JSON.stringify({ ...chatBody, priority: 0 }),
            JSON.stringify({ ...chatBody, cache_salt: "dunes/p" })];
        for (const body of bodies) {
            assert.equal(codeOf(await chat(recorded.front, body)), 4001, body.slice(0, 60));
        }
        const invalidHeaders: Record<string, string>[] = [{ "tg-program": "a b" }, { "tg-program": "x".repeat(129) }, {
            "tg-sequence": "-1",
            "tg-program": "p",
        }, { "tg-sequence": "1" }, { "tg-at-most-once": "yes" }, { "tg-program": "p", "tg-parent": "p" }, {
            "last-event-id": "1e3",
        }, { "idempotency-key": "\u00e9" }];
        for (const head of invalidHeaders) {
            assert.equal(codeOf(await chat(recorded.front, chatBody, head)), 4002, JSON.stringify(head));
        }
        assert.equal(recorded.calls.length, 0);
    });

    it("with truncated UTF-8 is refused (guards against decoding it to other text)", async () => {
        await using recorded = await openRecordingFront();
        const text = await sendRaw(
            recorded.front,
            requestText("POST", "/v1/chat/completions", "content-length: 1\r\n") + "\x80",
        );
        assert.match(text, /"code":4001/);
    });

    it("with an unknown path or method is refused with 4041 or 4051", async () => {
        await using recorded = await openRecordingFront();
        assert.equal(codeOf(await send(recorded.front, "GET", "/v1/other")), 4041);
        const answer = await send(recorded.front, "GET", "/v1/chat/completions");
        assert.equal(codeOf(answer), 4051);
        assert.equal(answer.headers.get("allow"), "POST");
    });

    it("that is malformed HTTP is refused with 4003 and, like a truncated body, does not affect other callers", async () => {
        await using recorded = await openRecordingFront();
        const otherCaller = await connectTo(recorded.front);
        const broken = ["nonsense\r\n\r\n", "\x16\x03\x01\x02", "GET / HTTP/9.9\r\n\r\n",
            requestText("POST", "/v1/chat/completions", "transfer-encoding: chunked\r\n") + "zz\r\n",
            "POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"];
        for (const text of broken) {
            assert.match(await sendRaw(recorded.front, text), /^HTTP\/1.1 400 [^]*"code":4003/, text);
        }
        await sendRaw(recorded.front, requestText("POST", "/v1/chat/completions", "content-length: 9\r\n") + "{", true);
        otherCaller.write(rawChat(chatBody));
        await waitUntil(() => recorded.calls.length === 1);
        otherCaller.destroy();
    });

    it("with random byte errors leaves no call open and does not affect other callers", async () => {
        await using front = await openFront(() => textAnswer("ok"));
        const random = createRandom(7);
        const randomBelow = (limit: number) => Math.floor(random() * limit);
        const damagedRequests = () => {
            const bytes = Buffer.from(rawChat(chatBody).repeat(3), "latin1");
            for (let count = 1 + randomBelow(5); count > 0; count -= 1) {
                bytes[randomBelow(bytes.length)] = randomBelow(256);
            }
            return bytes.toString("latin1", 0, random() < 0.5 ? randomBelow(bytes.length) : bytes.length);
        };
        for (let round = 0; round < 20; round += 1) {
            const texts = Array.from({ length: 20 }, damagedRequests);
            const [answer] = await Promise.all([chat(front, chatBody), ...texts.map(text =>
                sendRaw(front, text, true)
            )]);
            assert.equal(answer.status, 200);
        }
        await waitUntil(() => front.openCalls() === 0);
    });

    it("that is too large is refused with 4131 or 4311, with or without a content-length", async () => {
        await using front = await openFront(() => textAnswer("ok"), { limits: { maxBody: 2000, maxHeader: 2000 } });
        const large = JSON.stringify({ ...chatBody, x: "x".repeat(3_000_000) });
        assert.equal(codeOf(await chat(front, large)), 4131);
        const chunked = requestText("POST", "/v1/chat/completions", "transfer-encoding: chunked\r\n")
            + "1000\r\n" + "x".repeat(0x1000);
        assert.match(await sendRaw(front, chunked), /"code":4131/);
        assert.match(await sendRaw(front, requestText("GET", "/", `x: ${"x".repeat(3000)}\r\n`)),
            /^HTTP\/1.1 431 [^]*"code":4311/);
    });

    it("that arrives too slowly or not at all is refused with 4081", async () => {
        const limits = { headerTimeout: 200, requestTimeout: 300 };
        await using front = await openFront(() => textAnswer("ok"), { limits });
        const slow = ["", "POST /v1/chat", requestText("POST", "/v1/chat/completions", "content-length: 9\r\n") + "{"];
        const answers = await Promise.all(slow.map(text => sendRaw(front, text)));
        for (const answer of answers) {
            assert.match(answer, /^HTTP\/1.1 408 [^]*"code":4081/);
        }
    });

    it("in many bodies at the same time is refused with 4293 (guards against exhausted memory)", async () => {
        await using front = await openFront(() => textAnswer("ok"), { limits: { maxBody: 5000, maxTotalBody: 5000 } });
        const incompleteRequest = requestText("POST", "/v1/chat/completions", "content-length: 4000\r\n") +
            "x".repeat(3000);
        const first = await connectTo(front);
        first.write(incompleteRequest);
        await sleep(100);
        assert.match(await sendRaw(front, incompleteRequest), /^HTTP\/1.1 429 [^]*"code":4293/);
        first.destroy();
        await waitUntil(() => front.openCalls() === 0);
        assert.equal((await chat(front, chatBody)).status, 200);
    });

    it("over too many streams or connections is refused with 4295", async () => {
        await using front = await openFront(untilAborted, { limits: { maxStreams: 2, maxConnections: 3 } });
        const sockets = [await connectTo(front), await connectTo(front)];
        sockets.forEach(socket => socket.write(rawChat(streamedChatBody)));
        await waitUntil(() => front.openCalls() === 2);
        assert.match(await sendRaw(front, requestText("POST", "/v1/chat/completions", "content-length: 0\r\n")),
            /"code":4295/);
        sockets.push(await connectTo(front));
        assert.match(await sendRaw(front, ""), /^HTTP\/1.1 429 [^]*"code":4295/);
        sockets.forEach(socket => socket.destroy());
        await waitUntil(() => front.openCalls() === 0);
    });
});

describe("the state of the daemon", () => {
    it("is reported by /healthz, /readyz and /metrics", async () => {
        let reason: string | undefined = "no store";
        await using front = await openFront(() => textAnswer("ok"), { unreadyReason: () => reason,
            metrics: async () => "up 1\n" });
        assert.equal((await send(front, "GET", "/healthz")).status, 200);
        const unready = await send(front, "GET", "/readyz");
        assert.deepEqual([unready.status, unready.text], [503, "no store\n"]);
        reason = undefined;
        assert.equal((await send(front, "GET", "/readyz")).status, 200);
        assert.equal((await send(front, "GET", "/metrics")).text, "up 1\n");
    });

    it("while draining is not ready, refuses new calls and lets open streams finish (I9)", async () => {
        let release: () => void = () => undefined;
        const released = new Promise<void>(resolve => release = resolve);
        await using front = await openFront(async function*() {
            yield textEvent(0, "a");
            await released;
            yield* textAnswer("a", "b");
        });
        const stream: Promise<Answer> = chat(front, streamedChatBody);
        await waitUntil(() => front.openCalls() === 1);
        let drained = false;
        const drain = front.drain().then(() => drained = true);
        assert.equal((await send(front, "GET", "/readyz")).status, 503);
        const refused = await chat(front, chatBody);
        assert.equal(codeOf(refused), 5035);
        assert.equal(refused.headers.get("connection"), "close");
        assert.equal(drained, false);
        release();
        await drain;
        assert.match((await stream).text, /DONE/);
    });

    it("when closed ends open streams with a refusal (guards against callers that wait for a stopped daemon)", async () => {
        const front = await openFront(untilAborted);
        const stream = chat(front, streamedChatBody);
        await waitUntil(() => front.openCalls() === 1);
        await front[Symbol.asyncDispose]();
        assert.match((await stream).text, /event: error\ndata: \{"error":\{"code":5035,/);
    });
});

describe("routes", () => {
    it("added by the daemon are served, and can refuse a request before its body is read", async () => {
        await using front = await openFront(() => textAnswer("ok"), {
            configuration: () => configuration,
            routes: [{
                method: "PUT",
                path: "/operator/x",
                authorize: headers => headers["if-match"] === "1" ? undefined : refuse("key_rejected", "notRun"),
                handle: async ({ body, query }) => ({ status: 201, body: `${body} ${query.get("a")}` }),
            }, {
                method: "GET",
                path: "/export",
                respond: async (_request, response) => {
                    response.end("long");
                },
            }],
        });
        const answer = await send(front, "PUT", "/operator/x?a=b", "body", { "if-match": "1" });
        assert.deepEqual([answer.status, answer.text], [201, "body b"]);
        assert.equal(codeOf(await send(front, "PUT", "/operator/x", "body")), 4011);
        assert.equal(codeOf(await send(front, "GET", "/operator/x")), 4051);
        assert.equal((await send(front, "GET", "/export?after=1")).text, "long");
    });
});
