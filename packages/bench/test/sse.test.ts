import assert from "node:assert/strict";
import { test } from "node:test";
import { readEventData } from "../src/sse.ts";

test("events are complete wherever the bytes are split (guards against lost tokens and wrong timings)", async () => {
    const bytes = Buffer.from("id: 4\ndata: {\"a\":\"š\"}\n\n: waiting\n\nevent: error\ndata: b\n\ndata: [DONE]\n\n");
    for (let size = 1; size <= bytes.length; size += 1) {
        async function* split() {
            for (let offset = 0; offset < bytes.length; offset += size) {
                yield bytes.subarray(offset, offset + size);
            }
        }
        const events: string[] = [];
        for await (const data of readEventData(split())) {
            events.push(data);
        }
        assert.deepEqual(events, ["{\"a\":\"š\"}", "b", "[DONE]"]);
    }
});
