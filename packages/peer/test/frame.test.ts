import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { QueryError } from "../src/index.ts";
import { ProtocolError } from "../src/reason.ts";
import { messageKinds, pack, readFrame } from "../src/wire.ts";
import { closeCode, collect, completion, connectRaw, createCall, idleHeartbeat, neverAborted, setAllMembers, sleep,
    startPeers } from "./support.ts";

const packedCall = pack(createCall(1));

/** Frames that violate the protocol, each with the expected close code. */
const invalidFrames: readonly (readonly [what: string, frame: Buffer | string, code: number])[] = [
    ["bytes that are not msgpack", Buffer.from([0xc1, 0xff, 0x00]), 4400],
    ["a truncated array", Buffer.from([0xdc, 0xff, 0xff]), 4400],
    ["bytes after the value", Buffer.concat([pack([]), pack([])]), 4400],
    ["a frame that is not an array", pack({ a: 1 }), 4400],
    ["an unknown kind", pack([[99, 1]]), 4400],
    ["a text frame", "hello", 4400],
    ["a negative id", pack([[messageKinds.cancel, -1]]), 4400],
    ["a call that does not match its schema", pack([[messageKinds.call, 1, pack({ plan: 7 })]]), 4400],
    ["a heartbeat that does not match its schema", pack([[messageKinds.heartbeat, false, pack([1, 2])]]), 4400],
    ["a heartbeat with an unknown engine number",
        pack([[messageKinds.heartbeat, false, pack([null, 1, 1, false, [], [5, 1], null])]]), 4400],
    ["a stream id used twice", pack([[messageKinds.call, 1, packedCall], [messageKinds.call, 1, packedCall]]), 4409],
    ["a stream id lower than the last one",
        pack([[messageKinds.call, 2, packedCall], [messageKinds.call, 1, packedCall]]), 4409],
    ["credit for a stream that was never opened", pack([[messageKinds.credit, 7, 1]]), 4409],
    ["an event for a call that was never made", pack([[messageKinds.text, 1, 0, "x"]]), 4409],
    ["a response to a query that was never sent", pack([[messageKinds.queryResult, 1, pack(1)]]), 4409],
    ["a frame that is too large", Buffer.alloc(2_000_000), 4413],
];

test("an invalid frame closes only the link that it came on, with the expected code (guards against one faulty peer that breaks other links)", async () => {
    await using a = await startPeers("a");
    await using b = await startPeers("b", { maxMessageBytes: 1_000_000 });
    setAllMembers({ a, b });
    const otherCall = collect(a.call("b", createCall(30_000), neverAborted));
    for (const [what, frame, code] of invalidFrames) {
        const socket = await connectRaw("b", b.port);
        socket.on("error", () => {});
        const closed = closeCode(socket);
        socket.send(frame);
        // The WebSocket library itself closes the connection with code 1009 before it has read an oversized frame.
        assert.equal(await closed, code === 4413 ? 1009 : code, what);
    }
    assert.equal((await otherCall).length, 30_001);
    assert.equal(a.links()[0]?.up, true);
});

test("a link is closed when the peer sends more than its credit (guards against unbounded memory at the receiver)", async () => {
    await using b = await startPeers("b");
    const socket = await connectRaw("b", b.port);
    const events = b.call("raw", createCall(1), neverAborted)[Symbol.asyncIterator]();
    socket.on("message", data => {
        const opened = readFrame(data as Buffer).find(message => message[0] === messageKinds.call);
        if (opened !== undefined) {
            const text = "x".repeat(8192);
            socket.send(
                pack(Array.from({ length: 6 }, (_, index) => [messageKinds.text, opened[1], 8192 * index, text])),
            );
        }
    });
    const closed = closeCode(socket);
    await events.next();
    assert.equal(await closed, 4414);
});

test("arbitrary bytes are either decoded as a frame or rejected with ProtocolError (guards against a crash of the process)", () => {
    const bytes = fc.oneof(
        fc.uint8Array({ maxLength: 200 }),
        fc.array(fc.array(fc.jsonValue(), { maxLength: 5 })).map(value => new Uint8Array(pack(value))),
    );
    fc.assert(
        fc.property(bytes, frame => {
            try {
                readFrame(frame);
            }
            catch (error) {
                assert.ok(error instanceof ProtocolError);
            }
        }),
        { numRuns: 2000 },
    );
});

test("tokens of concurrent streams are batched into shared frames (guards against a frame for each token)", async () => {
    await using a = await startPeers("a", { heartbeatIntervalMs: 1000, silenceTimeoutMs: 3000 });
    await using b = await startPeers("b", {
        heartbeatIntervalMs: 1000,
        silenceTimeoutMs: 3000,
        handleCall: async function*() {
            for (let index = 0; index < 50; index += 1) {
                yield { type: "text", offset: index, text: "x" };
                await sleep(1);
            }
            yield { type: "done", completion };
        },
    });
    setAllMembers({ a, b });
    await a.query("b", "echo", 1, 500);
    const startedAt = performance.now();
    const before = b.traffic().framesSent;
    await Promise.all(Array.from({ length: 100 }, () => collect(a.call("b", createCall(1), neverAborted))));
    const frames = b.traffic().framesSent - before;
    const batchIntervals = (performance.now() - startedAt) / 5;
    assert.ok(frames <= batchIntervals + 3, `${frames} frames for 5,100 events in ${batchIntervals} batch intervals`);
});

test("a call on an idle link is sent without waiting for the batch interval (guards against added latency on idle links)", async () => {
    const longIntervals = { batchIntervalMs: 200, heartbeatIntervalMs: 5000, silenceTimeoutMs: 15_000 };
    await using a = await startPeers("a", longIntervals);
    await using b = await startPeers("b", longIntervals);
    setAllMembers({ a, b });
    await a.query("b", "echo", 1, 500);
    await sleep(500);
    const startedAt = performance.now();
    await a.call("b", createCall(1), neverAborted)[Symbol.asyncIterator]().next();
    const elapsedMs = performance.now() - startedAt;
    assert.ok(elapsedMs < 100, `the first event took ${elapsedMs} ms`);
});

test("a failed, late or oversized response fails only its own query (guards against queries that never settle)", async () => {
    await using a = await startPeers("a", { maxMessageBytes: 100_000 });
    await using b = await startPeers("b", {
        maxMessageBytes: 100_000,
        handleQuery: async (_from, kind) => {
            if (kind === "late") {
                await sleep(200);
            }
            if (kind === "fault") {
                throw new Error("no such thing");
            }
            return kind === "large" ? "x".repeat(200_000) : kind === "function" ? () => 1 : 1;
        },
    });
    setAllMembers({ a, b });
    for (const [kind, message] of [["late", /within 100 ms/], ["fault", /no such thing/], ["large",
        /limit/]] as const) {
        await assert.rejects(
            a.query("b", kind, undefined, 100),
            (error: unknown) => error instanceof QueryError && message.test(error.message),
        );
    }
    await assert.rejects(a.query("b", "plain", "x".repeat(200_000), 100), /4131/);
    assert.equal(await a.query("b", "plain", idleHeartbeat, 100), 1);
});
