import { EventSplitter } from "@tamarackgauge/core/gateway";
import { decodeAnswer, decodeDeclaration, decodeRequest, decodeUpstream } from "@tamarackgauge/platform";
import fc from "fast-check";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { decodePeerAnswer, decodePeerRequest } from "../src/peerMessage.ts";

const fuzzOptions = { seed: 20_261, numRuns: 400 };
const bytes = fc.uint8Array({ maxLength: 200 }).map(array => Buffer.from(array));
const messages = fc.oneof(bytes, fc.anything({ maxDepth: 3 }).map(value => Buffer.from(pack(value))),
    fc.json().map(text => Buffer.from(text)));

test("malformed messages and rows are decoded to undefined (guards against a process that crashes on one message)", () => {
    fc.assert(fc.property(messages, data => {
        const request = decodePeerRequest(data);
        assert.ok(request === undefined || typeof request.id === "number");
        const answer = decodePeerAnswer(data);
        assert.ok(answer === undefined || typeof answer.id === "number");
        decodeUpstream("id", data);
        try {
            decodeDeclaration(data);
        }
        catch (error) {
            // The gateway logs it and keeps the declaration in force.
            assert.ok(error instanceof Error);
        }
    }), fuzzOptions);
});

test("request and answer heads with arbitrary values are decoded to valid numbers (guards against one header that corrupts counters)", () => {
    const text = fc.oneof(fc.string(), fc.double().map(String),
        fc.constantFrom("-1", "1e400", "1,2,3", ",,,", "a:b,c:1e9"));
    fc.assert(fc.property(text, text, text, (one, two, three) => {
        const head = decodeRequest({ "x-request-id": "1", "x-token-usage": `${one},${two}`, "x-prompt-prefix": three,
            "x-token-budget": one, "x-deadline-ms": two, "x-program-deadline-ms": three })!;
        const counts = [head.promptTokens, head.maxTokens, ...head.parts.map(({ tokens }) => tokens)];
        assert.ok(counts.every(figure => Number.isSafeInteger(figure) && figure >= 0));
        for (const figure of [head.tokenBudget, head.deadline, head.programDeadline]) {
            assert.ok(figure === undefined || (Number.isFinite(figure) && figure >= 0));
        }
        const { load } = decodeAnswer(200, { "x-server-load": `${one},${two},${three}` });
        assert.ok(load === undefined ||
            [load.running, load.waiting, load.slots, load.slowness].every(figure =>
                Number.isFinite(figure) && figure >= 0
            ));
    }), fuzzOptions);
});

test("events do not depend on how the stream is split into chunks (guards against a missed end of an event)", () => {
    const line = fc.constantFrom("data: a", "id: 7", "data:", ": comment", "data: \r", "x");
    const end = fc.constantFrom("\n", "\r\n", "\n\n", "\r\n\r\n", "\n\r\n");
    const stream = fc.array(fc.tuple(line, end), { maxLength: 30 })
        .map(parts => Buffer.from(parts.map(([text, stop]) => text + stop).join("")));
    fc.assert(fc.property(stream, fc.array(fc.nat(12), { minLength: 1, maxLength: 60 }), (streamBytes, sizes) => {
        const splitter = new EventSplitter();
        const expected = splitter.push(streamBytes).map(({ raw }) => raw.toString());
        const chunkedSplitter = new EventSplitter();
        const events: string[] = [];
        for (let offset = 0, index = 0; offset < streamBytes.length; index += 1) {
            const size = 1 + sizes[index % sizes.length]!;
            events.push(
                ...chunkedSplitter.push(streamBytes.subarray(offset, offset + size)).map(({ raw }) => raw.toString()),
            );
            offset += size;
        }
        assert.deepEqual(events, expected);
        assert.equal(chunkedSplitter.remainder().toString(), splitter.remainder().toString());
    }), fuzzOptions);
});
