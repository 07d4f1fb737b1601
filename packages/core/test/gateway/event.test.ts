import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "../../src/gateway/index.ts";

test("events are complete for any chunk size (guards against forwarding partial events)", () => {
    const text = "id: 1\ndata: one\n\nversion: 3\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: half";
    for (let size = 1; size <= text.length; size += 1) {
        const splitter = new EventSplitter();
        const events = [];
        for (let at = 0; at < text.length; at += size) {
            events.push(...splitter.push(Buffer.from(text.slice(at, at + size))));
        }
        assert.deepEqual(events.map(({ id, data }) => [id, data.toString()]), [["1", "one"], ["2", "two"]]);
        assert.equal(Buffer.concat(events.map(({ raw }) => raw)).toString() + splitter.remainder().toString(), text);
    }
});

test("data bytes that are not valid UTF-8 are preserved (guards against text decoding that changes the history sent back to the engine)", () => {
    const bytes = Buffer.from([0x64, 0x61, 0x74, 0x61, 0x3a, 0x20, 0xff, 0xc3, 0x28, 0x0a, 0x0a]);
    const [event] = new EventSplitter().push(bytes);
    assert.deepEqual(event?.data, Buffer.from([0xff, 0xc3, 0x28]));
});
