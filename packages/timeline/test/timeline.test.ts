import { systemClock } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createStreamSink, createTimeline, eventNames, handleTimeline, idOf, readRecord, RecordError, sentenceOf,
    writeRecord } from "../src/index.ts";

function createTestTimeline(capacity = 4) {
    return createTimeline({ process: "d1", incarnation: 7, clock: systemClock, capacity });
}

test("an overflowing ring keeps the newest events in order (guards against mixed old and new events)", () => {
    const timeline = createTestTimeline();
    const ids = Array.from({ length: 11 }, () => timeline.record({ part: "entry", event: "callReceived" }));
    const excerpt = timeline.read();
    assert.deepEqual(excerpt.events.map(event => event.sequence), [8, 9, 10, 11]);
    assert.deepEqual(excerpt.events.map(idOf), ids.slice(7));
    assert.equal(excerpt.first, 8);
    assert.equal(excerpt.next, 12);
    assert.deepEqual(timeline.read({ after: 10 }).events.map(event => event.sequence), [11]);
    assert.deepEqual(timeline.read({ after: 99 }).events, []);
});

test("stamps only raise the clock, and invalid ones are ignored (guards against a clock stopped by bad input)", () => {
    const timeline = createTestTimeline();
    for (const stamp of [41, 3, Number.NaN, Infinity, -1, 1.5, 2 ** 53]) {
        timeline.observe(stamp);
    }
    timeline.record({ part: "peer", event: "linkUp", fields: { daemon: "d2" } });
    assert.equal(timeline.read().events[0]!.lamport, 42);
    assert.equal(timeline.stamp(), 42);
});

test("a program is selected by key or name, with the events of no program (guards against missing explanations)", () => {
    const timeline = createTestTimeline(10);
    timeline.record({ part: "owner", event: "callQueued", program: "rides/p1", request: "r" });
    timeline.record({ part: "owner", event: "callQueued", program: "rides/p11", request: "r" });
    timeline.record({ part: "store", event: "storeSlow" });
    for (const program of ["p1", "rides/p1"]) {
        assert.deepEqual(timeline.read({ program }).events.map(event => event.sequence), [1, 3]);
    }
});

test("a record that is written and read again is unchanged (guards against lost fields)", () => {
    const timeline = createTestTimeline();
    timeline.record({ part: "owner", event: "callRefused", program: "a/b\n", request: "\u2028\"<", cause: "d2/1/3",
        fields: { code: 4293, again: true } });
    const text = [...writeRecord(timeline.read())].join("");
    assert.deepEqual(JSON.parse(JSON.stringify(readRecord(text))), JSON.parse(JSON.stringify([timeline.read()])));
    assert.equal(readRecord(text + "{\"proc").length, 1);
    assert.throws(() => readRecord("{}\n" + text), RecordError);
    assert.throws(() => readRecord("nonsense\n" + text), RecordError);
});

test("sentences omit parts without values and mark missing required values (guards against unreadable lines)", () => {
    assert.equal(sentenceOf({ event: "callDispatched", fields: { upstream: "e1", reason: "prefixCached" } }),
        "call dispatched to e1, because it holds the prefix of the program");
    assert.equal(sentenceOf({ event: "linkDown" }), "link to ? down");
    for (const event of eventNames) {
        assert.doesNotMatch(sentenceOf({ event }), /[[\]{}]/);
    }
});

test("a sink batches the events of a turn and drops events when its stream is full (guards against memory growth)", async () => {
    const stream = new PassThrough({ highWaterMark: 1 });
    const sink = createStreamSink(stream, { maxBufferedBytes: 100 });
    const timeline = createTimeline({ process: "d1", incarnation: 1, clock: systemClock, sink });
    for (let turn = 0; turn < 3; turn += 1) {
        timeline.record({ part: "entry", event: "callReceived" });
        timeline.record({ part: "entry", event: "callReceived" });
        await nextTurn();
        await nextTurn();
    }
    assert.ok(stream.writableLength < 1000);
    const [excerpt] = readRecord(String(stream.read()));
    assert.deepEqual(excerpt!.events.slice(0, 2).map(event => event.sequence), [1, 2]);
});

test("the route returns events after a number and refuses invalid numbers (guards against unintended full dumps)", async () => {
    const timeline = createTestTimeline(5000);
    for (let count = 0; count < 3000; count += 1) {
        timeline.record({ part: "entry", event: "callReceived", program: "p/q" });
    }
    const server = createServer((request, response) => void handleTimeline(timeline, request, response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/timeline`;
    try {
        const all = readRecord(await (await fetch(url)).text());
        assert.equal(all[0]!.events.length, 3000);
        const tail = readRecord(await (await fetch(`${url}?after=2998&program=q`)).text());
        assert.deepEqual(tail[0]!.events.map(event => event.sequence), [2999, 3000]);
        const refused = await fetch(`${url}?after=-1`);
        assert.equal(refused.status, 400);
        await refused.text();
    }
    finally {
        server.close();
        server.closeAllConnections();
    }
});

test("a long response takes many turns of the event loop (guards against calls that a timeline reader delays)", async () => {
    const timeline = createTestTimeline(5000);
    for (let count = 0; count < 5000; count += 1) {
        timeline.record({ part: "entry", event: "callReceived", program: "p/q" });
    }
    let turns = 0;
    let done = false;
    const count = () => {
        turns += 1;
        if (!done) {
            setImmediate(count);
        }
    };
    // A stream that accepts all data at once, as it nearly does with a fast reader.
    const response = Object.assign(new PassThrough({ highWaterMark: 1 }).resume(), { writeHead: () => undefined });
    count();
    const request = { url: "/timeline" } as IncomingMessage;
    await handleTimeline(timeline, request, response as unknown as ServerResponse);
    done = true;
    assert.ok(turns >= 40, `${turns} turns`);
});
