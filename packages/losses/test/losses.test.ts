import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createAnalysis } from "../src/analysis.ts";
import { renderHtml } from "../src/html.ts";
import { readLogs } from "../src/read.ts";
import { renderText } from "../src/text.ts";

const line = (time: number, vm: string, event: string, fields: object) => ({ time, vm, event,
    fields: fields as Record<string, unknown> });
const refused = (call: string, program: string, retryAfter: number) => ({ call, program, route: "chat", status: 503,
    reason: "the store does not answer", begun: false, retryAfter });
const noSummary = { badLines: 0, examples: [], unreadable: [] };

/** A program that is served at its third try, and one that gives up after two. */
function analyseOutage() {
    const analysis = createAnalysis();
    analysis.add(line(1_000, "a", "call.refused", refused("1", "p", 100)));
    analysis.add(line(1_200, "b", "call.refused", refused("2", "p", 300)));
    analysis.add(line(2_100, "a", "call.answered", { call: "3", program: "p", route: "chat" }));
    analysis.add(line(2_200, "a", "send.failed", { call: "4", program: "q", upstream: "u1" }));
    analysis.add(line(2_300, "a", "call.left", { call: "4", program: "q", route: "chat", phase: "sent" }));
    analysis.add(line(2_400, "a", "call.refused", { ...refused("5", "q", 200), status: 504, reason: "late" }));
    return analysis.report();
}

test("calls are counted by second and reason, and tries by turn (guards against a bad quarter of an hour that logs do not explain)", () => {
    const report = analyseOutage();
    assert.deepEqual(report.reasons.map(({ kind, reason, calls, programs }) => ({ kind, reason, calls, programs })), [
        { kind: "refused", reason: "the store does not answer", calls: 2, programs: 1 },
        { kind: "left", reason: "the caller left (sent)", calls: 1, programs: 1 },
        { kind: "late", reason: "late", calls: 1, programs: 1 },
    ]);
    assert.equal(report.reasons[0]!.retryAfter, 300);
    assert.deepEqual(report.reasons[1]!.upstreams, [{ name: "u1", count: 1 }]);
    assert.deepEqual(report.seconds.map(({ second, served, losses }) => [second, served, losses.length]), [[1, 0, 1], [
        2,
        1,
        2,
    ]]);
    assert.deepEqual(report.tries, { served: [{ name: "3", count: 1 }], givenUp: [{ name: "2", count: 1 }] });
    assert.equal(report.lostPrograms, 1);
});

test("a turn that was answered is forgotten, and so is one that was given up long ago (guards against memory that grows with the log)", () => {
    const analysis = createAnalysis();
    analysis.add(line(0, "a", "call.refused", refused("1", "p", 100)));
    analysis.add(line(60_000, "a", "call.refused", refused("2", "q", 100)));
    analysis.add(line(60_100, "a", "call.answered", { call: "3", program: "p", route: "chat" }));
    assert.deepEqual(analysis.report().tries, { served: [{ name: "1", count: 1 }],
        givenUp: [{ name: "1", count: 2 }] });
});

test("files are merged by time, and lines that no gateway wrote are counted (guards against one bad line that hides all others)", async () => {
    const folder = await mkdtemp(join(tmpdir(), "losses-"));
    const entry = (time: number, vm: string) => `prefix ${JSON.stringify({ time, vm, event: "e", level: 30 })}`;
    const files = [join(folder, "a"), join(folder, "b")];
    await writeFile(files[0]!, [entry(1, "a"), "no line", "{\"time\":", "", entry(4, "a")].join("\n"));
    await writeFile(files[1]!, [entry(2, "b"), entry(3, "b"), "{\"time\":\"x\",\"vm\":1}"].join("\n"));
    const times: number[] = [];
    const summary = await readLogs([...files, join(folder, "missing")], ({ time }) => times.push(time));
    await rm(folder, { recursive: true });
    assert.deepEqual(times, [1, 2, 3, 4]);
    assert.equal(summary.badLines, 3);
    assert.deepEqual(summary.examples[0], { source: files[0], number: 2 });
    assert.match(summary.unreadable[0]!.reason, /ENOENT/);
});

test("the report is readable as text and as a page without scripts (guards against markup in a logged reason)", () => {
    assert.match(renderText(analyseOutage(), noSummary),
        /2 +1 +refused +the store does not answer +300 ms +a: 1, b: 1/);
    const hostile = createAnalysis();
    hostile.add(line(0, "<i>", "call.refused", { ...refused("1", "p", 100), reason: "<script>x</script>" }));
    const page = renderHtml(hostile.report(), { ...noSummary, badLines: 1, examples: [{ source: "<b>", number: 1 }] });
    assert.match(page, /<svg/);
    assert.doesNotMatch(page, /<script|<b>|<i>/);
});
