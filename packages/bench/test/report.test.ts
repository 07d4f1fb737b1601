import assert from "node:assert/strict";
import { test } from "node:test";
import { escapeHtml, renderHtml } from "../src/html.ts";
import { computeSpread, measures, meetsTarget, percentile, spreadOf } from "../src/measures.ts";
import type { PolicyRecord, ProgramRecord, RunRecord } from "../src/record.ts";
import { formatMarkdownTable, measureTable } from "../src/table.ts";

function program(ms: number, change: Partial<ProgramRecord> = {}): ProgramRecord {
    return { name: "p", kind: "k", long: false, startMs: 0, endMs: ms, outcome: "completed", refusalMs: [], turns: [],
        ...change };
}

function run(name: string, programs: ProgramRecord[], bound?: number): RunRecord {
    return { name, programs, loopDelayMs: 1, callerCpu: 0.1, wallMs: 1, loadAverage: 1,
        engines: { promptTokens: 1_000, recomputedTokens: 5, recomputedHistoryTokens: 20, generatedTokens: 1,
            requests: 1 }, ...bound === undefined ? {} : { bound } };
}

function record(policy: string, runs: RunRecord[]): PolicyRecord {
    return { experiment: "e", title: "<b>\"Záhorie\"</b>", policy, scale: 1, daemons: 1, seeds: [{ seed: 1, runs }] };
}

const own = record("attainedService", [
    run("load80", [program(220), program(9_000, { long: true }), program(1, { outcome: "refused" })]),
    run("alone", [program(200)]),
    run("crest", [program(10), program(5, { outcome: "left" }), program(5, { outcome: "refused", refusalMs: [40] })],
        2),
]);
const baseline = record("leastConnections", [run("load80", [program(440), program(18_000, { long: true })])]);

test("measures of a known record (guards against swapped terms and against counting unserved programs)", () => {
    const figure = (name: string) =>
        spreadOf(measures.find(each => each.name.startsWith(name))!, own, [own, baseline])?.median ?? NaN;
    const near = (name: string, value: number) =>
        assert.ok(Math.abs(figure(name) - value) < 0.01 * value, `${name}: ${figure(name)}`);
    near("head-of-line", 1.1);
    near("service at the crest", 0.5);
    near("p99 time to refusal", 40);
    near("wasted cache", 0.02);
    near("p50 against leastConnections, 80%", 0.5);
    near("p99 against leastConnections, 80%", 0.5);
    assert.ok(Number.isNaN(figure("p50 against leastConnections, 20%")), "a run that was not made gives no figure");
});

test("percentiles and spreads (guards against units mixed up in the histogram)", () => {
    const times = Array.from({ length: 100 }, (_, index) => index + 1);
    assert.ok(Math.abs(percentile(times, 50)! - 50) < 0.1);
    assert.ok(Math.abs(percentile(times, 99)! - 99) < 0.1);
    assert.equal(percentile([], 50), undefined);
    assert.deepEqual(computeSpread([3, 1, 2]), { low: 1, median: 2, high: 3 });
});

test("targets are met at the bound, in their sense (guards against a miss reported as met)", () => {
    const at = (sense: "most" | "least", value: number) =>
        meetsTarget({ name: "", unit: "", target: { direction: sense, value: 1 }, compute: () => value }, { low: value,
            median: value, high: value });
    assert.deepEqual([at("most", 1), at("most", 1.01), at("least", 1), at("least", 0.99)], [true, false, true, false]);
});

test("the page escapes all text and loads nothing (guards against markup from names and a page that is not whole)", () => {
    const page = renderHtml([record("<script>alert('1')</script>", own.seeds[0]!.runs), baseline]);
    assert.ok(!page.includes("<script"));
    assert.ok(!page.includes("<b>"));
    assert.ok(page.includes("&lt;b&gt;&quot;Záhorie&quot;"));
    assert.ok(!/(src|href)=|@import|url\(/.test(page));
    assert.ok(page.includes("<svg"));
    assert.equal(escapeHtml(`<a b="c" d='e'>&`), "&lt;a b=&quot;c&quot; d=&#39;e&#39;&gt;&amp;");
});

test("a table in Markdown keeps its columns (guards against a bar in a name that splits a cell)", () => {
    const lines = formatMarkdownTable(measureTable([record("a|b", [])])).split("\n");
    assert.ok(lines.every(line => line.replaceAll("\\|", "").split("|").length === 5));
});
