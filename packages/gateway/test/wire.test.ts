import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { collectText, type RawFleet, startRawFleet, waitUntil } from "./harness.ts";
import { body, endOf, frame, headOf, sentBody } from "./streamAnswers.ts";

const ownHeaders = (id: string) => `x-request-id: ${id}\r\nx-response-signature: s\r\n`;

/** An answer of a few bytes with its length. */
const smallAnswer = (id: string, content = `answer to ${id}`) =>
    `HTTP/1.1 200 OK\r\n${ownHeaders(id)}content-length: ${content.length}\r\n\r\n${content}`;

const requestHead = (method: string, path: string, id: string, headers = "") =>
    `${method} ${path} HTTP/1.1\r\nhost: fleet.test\r\nx-request-id: ${id}\r\nx-program-id: ${id}\r\n` +
    `x-token-budget: 1000\r\nx-token-usage: 100,60\r\n${headers}\r\n`;

const post = (path: string, id: string) => `${requestHead("POST", path, id, "content-length: 1\r\n")}x`;

/** Opens a raw connection of a caller. */
function connectCaller({ gateway }: RawFleet) {
    const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
    const text = collectText(socket);
    // The gateway may reset the connection.
    socket.on("error", () => undefined);
    return { socket, text, [Symbol.dispose]: () => void socket.destroy() };
}

/** The answers on a connection, each of which has a length or no body. */
function splitAnswers(text: string): readonly string[] {
    return text.split(/(?=HTTP\/1\.1 \d{3} )/);
}

const emptyAnswers = {
    "HEAD": (id: string) => `HTTP/1.1 200 OK\r\n${ownHeaders(id)}content-length: 5\r\n\r\n`,
    "204": (id: string) => `HTTP/1.1 204 No Content\r\n${ownHeaders(id)}\r\n`,
    "304": (id: string) => `HTTP/1.1 304 Not Modified\r\n${ownHeaders(id)}content-length: 5\r\n\r\n`,
};

for (const [name, emptyAnswer] of Object.entries(emptyAnswers)) {
    test(`an answer without a body (${name}) is passed on, and the next one on its connections belongs to the next call (guards against answers that are taken for a body)`, async () => {
        await using setup = await startRawFleet((socket, id) =>
            void socket.write(id.startsWith("empty") ? emptyAnswer(id) : smallAnswer(id))
        );
        for (const path of ["/look/x", "/pay/x"]) {
            using caller = connectCaller(setup);
            const id = `empty${path}`;
            caller.socket.write(requestHead(name === "HEAD" ? "HEAD" : "GET", path, id));
            await waitUntil(() => caller.text().includes("\r\n\r\n"), "the first answer comes");
            caller.socket.write(requestHead("GET", path, "next"));
            await waitUntil(() => caller.text().endsWith("answer to next"), "the second answer comes");
            const [first, second, ...others] = splitAnswers(caller.text());
            assert.match(first!,
                new RegExp(`^HTTP/1.1 ${name === "HEAD" ? 200 : name} [^]*x-request-id: ${id}\r\n`, "i"));
            assert.match(first!, /\r\n\r\n$/);
            assert.match(second!, /^HTTP\/1.1 200 [^]*x-request-id: next\r\n/i);
            assert.deepEqual(others, []);
        }
    });
}

test("a call behind one whose stream is broken off gets no answer of another call (guards against answers that are mixed up)", async () => {
    await using setup = await startRawFleet((socket, id) => {
        if (id !== "broken") {
            socket.write(smallAnswer(id));
            return;
        }
        socket.write(headOf(id, "length") + frame(sentBody["between events"], "length"));
        setTimeout(() => socket.resetAndDestroy(), 50);
    });
    for (const path of ["/turn/x", "/plan/x"]) {
        using caller = connectCaller(setup);
        caller.socket.write(post(path, "broken"));
        await waitUntil(() => caller.text().includes("data: one"), "the stream has begun");
        caller.socket.write(post("/pay/x", "behind"));
        await once(caller.socket, "close");
        assert.doesNotMatch(caller.text(), /answer to behind|0\r\n\r\n/);
    }
});

test("a caller that closes its half of the connection has left: its call ends at its engine, and its connection closes (guards against engines that work for nobody)", async () => {
    let openCalls = 0;
    await using setup = await startRawFleet((socket, id) => {
        openCalls += 1;
        socket.on("close", () => openCalls -= 1);
        if (id === "/turn/x") {
            socket.write(headOf(id, "chunks") + frame(sentBody["between events"], "chunks"));
        }
    });
    for (const path of ["/pay/x", "/look/x", "/turn/x", "/plan/x"]) {
        using caller = connectCaller(setup);
        caller.socket.write(post(path, path));
        await waitUntil(() => openCalls === 1, "the call runs");
        caller.socket.end();
        await once(caller.socket, "close");
        assert.doesNotMatch(caller.text(), /0\r\n\r\n/);
        await waitUntil(() => openCalls === 0, "the engine's connection is closed");
        assert.equal(setup.runs.get(path), 1);
    }
    assert.deepEqual(setup.fleet.rowStore.keys("turns"), []);
});

test("a caller that waits for 100 Continue is told to go on, and its body arrives (guards against calls that wait for ever)", async () => {
    const bodies: string[] = [];
    await using setup = await startRawFleet((socket, id) => void socket.write(smallAnswer(id)));
    setup.fleet.registerUpstream(setup.fleet.tool);
    for (const path of ["/pay/x", "/look/x"]) {
        using caller = connectCaller(setup);
        caller.socket.write(requestHead("POST", path, path, "expect: 100-continue\r\ncontent-length: 4\r\n"));
        await waitUntil(() => caller.text().startsWith("HTTP/1.1 100 Continue\r\n\r\n"), "the caller may go on");
        caller.socket.write("body");
        await waitUntil(() => caller.text().endsWith(`answer of i-tool to ${path}`), "the answer comes");
        bodies.push(setup.fleet.tool.executed.at(-1)!.body);
    }
    assert.deepEqual(bodies, ["body", "body"]);
});

test("trailers after an answer or a request are no part of its body (guards against bodies with bytes of the framing)", async () => {
    await using setup = await startRawFleet((socket, id) =>
        void socket.write(id === "stream"
            ? `${headOf(id, "chunks")}${frame(body, "chunks")}0\r\nx-sum: 1\r\nx-request-id: other\r\n\r\n`
            : `HTTP/1.1 200 OK\r\n${
                ownHeaders(id)
            }transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nx-sum: 1\r\n\r\n`)
    );
    using caller = connectCaller(setup);
    caller.socket.write(post("/pay/x", "plain"));
    await waitUntil(() => /content-length: 4\r\n[^]*\r\n\r\nbody$/i.test(caller.text()), "the answer is whole");
    caller.socket.write(post("/turn/x", "stream"));
    await waitUntil(() => caller.text().endsWith("data: three\n\n\r\n0\r\n\r\n"), "the stream is whole");
    setup.fleet.registerUpstream(setup.fleet.tool);
    await waitUntil(async () => {
        using next = connectCaller(setup);
        next.socket.write(requestHead("POST", "/look/x", "trailers", "transfer-encoding: chunked\r\n") +
            "4\r\nbody\r\n0\r\nx-sum: 1\r\n\r\n");
        await waitUntil(() => /\r\n\r\n./.test(next.text()), "the answer comes");
        return setup.fleet.tool.executed.length > 0;
    }, "the tool has run the call");
    assert.equal(setup.fleet.tool.executed[0]!.body, "body");
});

const interimAnswers = {
    "100 Continue": () => "HTTP/1.1 100 Continue\r\n\r\n",
    "102 Processing, twice": () => "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
    "103 Early Hints with the id of the call": (id: string) => `HTTP/1.1 103 Early Hints\r\n${ownHeaders(id)}\r\n`,
    "103 Early Hints with another id": () => `HTTP/1.1 103 Early Hints\r\n${ownHeaders("other")}\r\n`,
};

for (const [name, interimAnswer] of Object.entries(interimAnswers)) {
    test(`${name} before an answer is not taken for it (guards against a call that is answered without its answer)`, async () => {
        const answers = (id: string) =>
            id.startsWith("/pay") || id.startsWith("/look")
                ? smallAnswer(id)
                : headOf(id, "chunks") + frame(body, "chunks") + endOf("chunks");
        await using setup = await startRawFleet((socket: Socket, id) => {
            socket.write(interimAnswer(id));
            setTimeout(() => socket.write(answers(id)), 20);
        });
        for (const path of ["/pay/x", "/look/x", "/turn/x", "/plan/x"]) {
            using caller = connectCaller(setup);
            caller.socket.write(post(path, path));
            const end = path === "/pay/x" || path === "/look/x" ? `answer to ${path}` : "data: three\n\n\r\n0\r\n\r\n";
            await waitUntil(() => caller.text().endsWith(end) || caller.text().startsWith("HTTP/1.1 502"), "an answer");
            assert.match(caller.text(), /^HTTP\/1.1 200 /, `${path}: ${caller.text()}`);
            assert.equal(setup.runs.get(path), 1);
        }
    });
}
