import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { test } from "node:test";
import { createLineBuffer, createLog } from "../src/log.ts";

interface Line {
    readonly event: string;
    readonly lines?: number;
}

const parseLines = (lines: readonly string[]) => lines.map(line => JSON.parse(line) as Line);

test("the log rate is limited and warnings are kept (guards against a log that fills the disk under load)", () => {
    const lines: string[] = [];
    let time = 0;
    const log = createLog("g", line => lines.push(line) > 0, () => time);
    for (let call = 0; call < 4_000; call += 1) {
        time += 1;
        log.info("call.ended", { call });
        if (call % 20 === 0) {
            log.warn("call.refused", { call });
        }
    }
    const events = parseLines(lines);
    const count = (name: string) => events.filter(({ event }) => event === name).length;
    assert.ok(events.length <= 4 * 121);
    assert.equal(count("call.refused"), 200);
    const omitted = events.reduce((sum, line) => sum + (line.lines ?? 0), 0);
    assert.ok(omitted >= 4_000 - count("call.ended") - 1_000);
});

test("lines are dropped when the reader stops reading (guards against a gateway blocked by its log)", async () => {
    const pendingWrites: (() => void)[] = [];
    const stream = new Writable({ write: (_chunk, _encoding, next) => void pendingWrites.push(next) });
    const buffer = createLineBuffer(stream);
    const line = `${"x".repeat(100_000)}\n`;
    const results: boolean[] = [];
    for (let index = 0; index < 8; index += 1) {
        results.push(buffer.write(line));
        buffer.flush();
    }
    assert.equal(results[0], true);
    assert.equal(results[7], false);
    assert.ok(stream.writableLength < 500_000);
});

test("a field that JSON cannot hold does not lose its line (guards against an error in place of a log line)", () => {
    const lines: string[] = [];
    const log = createLog("g", line => lines.push(line) > 0, () => 0);
    const circular: { self?: object; } = {};
    circular.self = circular;
    log.warn("call.refused", { call: "1", circular, size: 1n, missing: undefined, rate: NaN });
    const { event, call, size } = parseLines(lines)[0] as Line & { readonly call: string; readonly size: string; };
    assert.deepEqual([event, call, size], ["call.refused", "1", "1"]);
    assert.ok(lines[0]!.endsWith("}\n"));
});
