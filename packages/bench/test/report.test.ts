import assert from "node:assert/strict";
import { test } from "node:test";
import { escapeHtml, renderHtml } from "../src/html.ts";
import { computeSpread, measures, meetsTarget, percentile, spreadOf } from "../src/measures.ts";
import type { PolicyRecord, ProgramRecord, RunRecord } from "../src/record.ts";
import { formatMarkdownTable, measureTable } from "../src/table.ts";

function createProgramRecord(ms: number, overrides: Partial<ProgramRecord> = {}): ProgramRecord {
    return { name: "p", kind: "k", long: false, startMs: 0, endMs: ms, outcome: "completed", refusalMs: [], turns: [],
        ...overrides };
}

function createRunRecord(name: string, programs: ProgramRecord[], bound?: number): RunRecord {
    return { name, programs, loopDelayMs: 1, callerCpu: 0.1, wallMs: 1, loadAverage: 1,
        engines: { promptTokens: 1_000, recomputedTokens: 5, recomputedHistoryTokens: 20, generatedTokens: 1,
            requests: 1 }, ...bound === undefined ? {} : { bound } };
}

function createPolicyRecord(policy: string, runs: RunRecord[]): PolicyRecord {
    return { experiment: "e", title: "<b>\"Záhorie\"</b>", policy, scale: 1, daemons: 1, seeds: [{ seed: 1, runs }] };
}

const ownRecord = createPolicyRecord("attainedService", [
    createRunRecord("load80", [createProgramRecord(220), createProgramRecord(9_000, { long: true }),
        createProgramRecord(1, { outcome: "refused" })]),
    createRunRecord("alone", [createProgramRecord(200)]),
    createRunRecord("crest", [createProgramRecord(10), createProgramRecord(5, { outcome: "left" }),
        createProgramRecord(5, { outcome: "refused", refusalMs: [40] })], 2),
]);
const baselineRecord = createPolicyRecord("leastConnections", [
    createRunRecord("load80", [createProgramRecord(440), createProgramRecord(18_000, { long: true })]),
]);

test("measures of a known record are right (guards against swapped terms and counting incomplete programs)", () => {
    const medianOf = (name: string) =>
        spreadOf(measures.find(each => each.name.startsWith(name))!, ownRecord, [ownRecord, baselineRecord])?.median ??
            NaN;
    const assertNear = (name: string, expected: number) =>
        assert.ok(Math.abs(medianOf(name) - expected) < 0.01 * expected, `${name}: ${medianOf(name)}`);
    assertNear("head-of-line", 1.1);
    assertNear("service at the crest", 0.5);
    assertNear("p99 time to refusal", 40);
    assertNear("wasted cache", 0.02);
    assertNear("p50 against leastConnections, 80%", 0.5);
    assertNear("p99 against leastConnections, 80%", 0.5);
    assert.ok(Number.isNaN(medianOf("p50 against leastConnections, 20%")), "a run that was not made gives no value");
});

test("percentiles and spreads of known times are right (guards against mixed-up units in the histogram)", () => {
    const times = Array.from({ length: 100 }, (_, index) => index + 1);
    assert.ok(Math.abs(percentile(times, 50)! - 50) < 0.1);
    assert.ok(Math.abs(percentile(times, 99)! - 99) < 0.1);
    assert.equal(percentile([], 50), undefined);
    assert.deepEqual(computeSpread([3, 1, 2]), { low: 1, median: 2, high: 3 });
});

test("a target includes its bound, in its direction (guards against a missed target reported as met)", () => {
    const isMetAt = (direction: "most" | "least", value: number) =>
        meetsTarget({ name: "", unit: "", target: { direction, value: 1 }, compute: () => value }, { low: value,
            median: value, high: value });
    assert.deepEqual([isMetAt("most", 1), isMetAt("most", 1.01), isMetAt("least", 1), isMetAt("least", 0.99)], [true,
        false, true, false]);
});

test("the HTML page escapes text and loads nothing (guards against markup in names and external resources)", () => {
    const page = renderHtml([createPolicyRecord("<script>alert('1')</script>", ownRecord.seeds[0]!.runs),
        baselineRecord]);
    assert.ok(!page.includes("<script"));
    assert.ok(!page.includes("<b>"));
    assert.ok(page.includes("&lt;b&gt;&quot;Záhorie&quot;"));
    assert.ok(!/(src|href)=|@import|url\(/.test(page));
    assert.ok(page.includes("<svg"));
    assert.equal(escapeHtml(`<a b="c" d='e'>&`), "&lt;a b=&quot;c&quot; d=&#39;e&#39;&gt;&amp;");
});

test("a Markdown table keeps its columns (guards against a vertical bar in a name that splits a cell)", () => {
    const lines = formatMarkdownTable(measureTable([createPolicyRecord("a|b", [])])).split("\n");
    assert.ok(lines.every(line => line.replaceAll("\\|", "").split("|").length === 5));
});
