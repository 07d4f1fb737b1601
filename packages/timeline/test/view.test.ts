import { run } from "cmd-ts";
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { test } from "node:test";
import { runInNewContext } from "node:vm";
import { createTimeline, createView, type Excerpt, goldenText, handleTimeline, mergeTimelines, phases, readRecord,
    renderHtml, renderJson, renderText, showTimeline, timelineCommand } from "../src/index.ts";

const recordedFolder = new URL("recorded/", import.meta.url);
const recorded = readFileSync(new URL("session.ndjson", recordedFolder), "utf8");
const callerAnswers = [
    { program: "rides/waiver-17", request: "6b1d1c1e-02f4-4d0b-9a55-2f3f8e4d1a01",
        text: "Please confirm that you read the waiver." },
    { program: "rides/waiver-17", request: "6b1d1c1e-02f4-4d0b-9a55-2f3f8e4d1a03",
        text: "5031 store_unavailable, notRun, retry after 1200 ms" },
];

function mergeSession() {
    return mergeTimelines(readRecord(recorded));
}

test("the phases of each request add up to its time (guards against time that is counted twice or not at all)", () => {
    const [program] = createView(mergeSession()).programs;
    assert.deepEqual(program!.requests.map(({ result }) => result), ["done", "done", "refused"]);
    for (const { start, end, phases: times } of program!.requests) {
        assert.ok(Math.abs(times.reduce((sum, { duration }) => sum + duration, 0) - (end - start)) < 1e-6);
    }
    const queue = program!.requests[0]!.phases.find(({ phase }) => phase === "queue");
    assert.equal(Math.round(queue!.duration), 830);
});

test("reasons for slow and refused requests are named (guards against a page that shows times without causes)", () => {
    const [slow, , refused] = createView(mergeSession()).programs[0]!.requests.map(({ why }) => why.join("\n"));
    assert.match(slow!, /66% of the time .*: queue/);
    assert.match(slow!, /moved from e1/);
    assert.match(slow!, /Meanwhile at d2: e1 set aside/);
    assert.match(refused!, /Refused with 5031 .* It did not run\. Ask again after 1200 ms\./);
    assert.match(refused!, /Meanwhile at d2: store down/);
    assert.doesNotMatch(slow!, /store down/);
});

test("history stored after the answer does not prolong a request (guards against an outage shown as a slow call)", () => {
    let now = 0;
    const timeline = createTimeline({ process: "d1", incarnation: 1,
        clock: { wall: () => now, monotonic: () => now } });
    for (const event of ["callReceived", "callDispatched", "callFinished", "answerSent", "turnCommitted"] as const) {
        timeline.record({ part: "owner", event, program: "p/a", request: "r" });
        now += event === "answerSent" ? 60_000 : 10;
    }
    const { start, end, result } = createView(mergeTimelines([timeline.read()])).programs[0]!.requests[0]!;
    assert.deepEqual([end - start, result], [30, "done"]);
});

test("a program is shown with its sub-agents (guards against a parent that waits for a program not shown)", () => {
    const timeline = createTimeline({ process: "d1", incarnation: 1, clock: { wall: () => 0, monotonic: () => 0 } });
    const open = (program: string, parent?: string) =>
        timeline.record({ part: "owner", event: "programOpened", program,
            fields: parent === undefined ? {} : { parent } });
    open("p/a");
    open("p/c", "b");
    open("p/b", "a");
    open("p/other", "z");
    const view = createView(mergeTimelines([timeline.read()]), { program: "a" });
    assert.deepEqual(view.programs.map(({ program }) => program).sort(), ["p/a", "p/b", "p/c"]);
});

/** A record in which every text attempts to inject code into HTML, a script or a terminal. */
function createHostileRecord(): Excerpt[] {
    const text = `</script><script>alert(1)</script><img src=x onerror="alert(2)">' \u001b[2J\n\u202e`;
    const timeline = createTimeline({ process: text, incarnation: text, capacity: 3,
        clock: { wall: () => 0, monotonic: () => 0 } });
    for (const event of ["linkDown", "callReceived", "callRefused", "linkDown"] as const) {
        const general = event === "linkDown";
        timeline.record({ part: text, event, program: general ? undefined : text, request: general ? undefined : text,
            cause: text, fields: { daemon: text, target: text, code: text, name: text, message: text, run: text } });
    }
    return [timeline.read()];
}

test("data in the page is escaped (guards against script injection by names and messages)", () => {
    const page = renderHtml(createView(mergeTimelines(createHostileRecord())));
    assert.doesNotMatch(page, /<img|alert\(1\)<\/script>|onerror="/);
    assert.equal(page.match(/<script/g)!.length, 1);
    assert.doesNotMatch(page.replaceAll("\n", ""), /[\p{Cc}\p{Cf}]/u);
    assert.match(page, /script-src 'sha256-/);
    assert.doesNotMatch(renderHtml(createView(mergeSession())), /(?:src|href)=|url\(|@import/);
});

test("text output escapes control characters in data (guards against records that control the terminal)", () => {
    const text = renderText(createView(mergeTimelines(createHostileRecord())));
    assert.doesNotMatch(text.replaceAll("\n", ""), /[\p{Cc}\p{Cf}]/u);
    assert.match(text, /lost events\n {2}.*events 1 to 1/);
});

test("the filter hides other programs and requests (guards against a page that cannot be searched)", () => {
    const page = renderHtml(createView(mergeSession()));
    const script = /<script>([^]*)<\/script>/.exec(page)![1]!;
    const part = (request: string) => ({ hidden: false, dataset: { request } });
    const section = (program: string, parts: ReturnType<typeof part>[]) => ({ hidden: false, dataset: { program },
        querySelectorAll: () => parts });
    const sections = [section("p/a", [part("r1"), part("r2")]), section("p/b", [part("r1")])];
    const input = { value: "", addEventListener: (_: string, listener: () => void) => apply = listener };
    let apply = () => {};
    const fields: Record<string, { value: string; }> = { program: { ...input }, request: { ...input } };
    runInNewContext(script, {
        document: { getElementById: (id: string) => fields[id], querySelectorAll: () => sections },
    });
    fields["request"]!.value = "r2";
    apply();
    assert.deepEqual(sections.map(({ hidden }) => hidden), [false, true]);
    assert.deepEqual(sections[0]!.querySelectorAll().map(({ hidden }) => hidden), [true, false]);
});

test("JSON lists the event ids of each request (guards against output that cannot be joined)", () => {
    const { programs, entries, lines } = JSON.parse(
        renderJson(createView(mergeSession(), { program: "waiver-17" })),
    ) as {
        programs: { requests: { events: string[]; phases: { phase: string; }[]; }[]; }[];
        entries: { id: string; sentence: string; }[];
        lines: unknown[];
    };
    const ids = new Set(entries.map(({ id }) => id));
    const requests = programs.flatMap(program => program.requests);
    assert.equal(lines.length, 2);
    assert.ok(requests.flatMap(({ events }) => events).every(id => ids.has(id)));
    assert.ok(requests.flatMap(one => one.phases).every(({ phase }) => Object.hasOwn(phases, phase)));
});

test("the recorded session matches its golden file (guards against changed order, sentences or answers)", () => {
    assert.equal(goldenText(mergeSession(), callerAnswers),
        readFileSync(new URL("session.golden.txt", recordedFolder), "utf8"));
});

test("other times, ids and ports produce the same golden text (guards against golden files that fail at random)", () => {
    const changed = recorded
        .replaceAll("6b1d1c1e-02f4-4d0b-9a55", "0c0ffee0-aaaa-4bbb-8ccc")
        .replace(/"incarnation":"3"/g, "\"incarnation\":\"9\"").replaceAll("d1/3/", "d1/9/")
        .replace(/"wall":(\d+)/g, (_, wall: string) => `"wall":${Number(wall) + 77_000}`)
        .replace("\"retryAfterMs\":1200", "\"retryAfterMs\":1777")
        .replace("for 5000 ms", "for 5123 ms");
    const renamed = callerAnswers.map(answer => ({ ...answer,
        request: answer.request.replace("6b1d1c1e-02f4-4d0b-9a55", "0c0ffee0-aaaa-4bbb-8ccc"),
        text: answer.text.replace("1200", "1777") })
    );
    const merged = mergeTimelines(readRecord(changed).reverse());
    assert.equal(goldenText(merged, renamed), goldenText(mergeSession(), callerAnswers));
    const lost = mergeTimelines(readRecord(recorded.replace(/.*"event":"turnCommitted".*\n/, "")));
    assert.notEqual(goldenText(lost, callerAnswers), goldenText(mergeSession(), callerAnswers));
});

test("the command reads files and fails when none can be read (guards against an empty page that looks idle)", async () => {
    const temporary = mkdtempSync(`${tmpdir()}/timeline-`);
    const out = `${temporary}/page.html`;
    try {
        await run(timelineCommand, ["--from", new URL("session.ndjson", recordedFolder).pathname, "--from",
            `${temporary}/none`, "--format", "html", "--out", out, "--request",
            "6b1d1c1e-02f4-4d0b-9a55-2f3f8e4d1a02"]);
        const page = readFileSync(out, "utf8");
        assert.match(page, /tool sign/);
        assert.doesNotMatch(page, /tool pay/);
        const nothing = { from: [`${temporary}/none`], format: "text", operatorKeyEnv: "NONE" } as const;
        assert.equal(await showTimeline(nothing), false);
    }
    finally {
        rmSync(temporary, { recursive: true });
    }
});

test("the command sends the operator key and reads daemons (guards against a key that is not passed on)", async () => {
    const timeline = createTimeline({ process: "d1", incarnation: 1, clock: { wall: () => 0, monotonic: () => 0 } });
    timeline.record({ part: "entry", event: "callReceived", program: "p/a", request: "r", fields: { target: "m1" } });
    const server = createServer((request, response) => {
        const allowed = request.headers.authorization === "Bearer key1" && request.url === "/timeline";
        return allowed ? void handleTimeline(timeline, request, response) : response.writeHead(401).end();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const temporary = mkdtempSync(`${tmpdir()}/timeline-`);
    const out = `${temporary}/view.txt`;
    const from = [`http://127.0.0.1:${(server.address() as AddressInfo).port}`];
    process.env["TIMELINE_TEST_KEY"] = "key1";
    try {
        assert.ok(await showTimeline({ from, format: "text", out, operatorKeyEnv: "TIMELINE_TEST_KEY" }));
        assert.match(readFileSync(out, "utf8"), /call received for m1/);
        assert.equal(await showTimeline({ from, format: "text", out, operatorKeyEnv: "TIMELINE_TEST_NONE" }), false);
    }
    finally {
        server.close();
        server.closeAllConnections();
        rmSync(temporary, { recursive: true });
    }
});

test("a disturbance explains only the requests that it overlaps (guards against outdated explanations)", () => {
    let now = 0;
    const timeline = createTimeline({ process: "d1", incarnation: 1,
        clock: { wall: () => now, monotonic: () => now } });
    const request = (name: string) => {
        timeline.record({ part: "entry", event: "callReceived", program: "p/a", request: name });
        now += 10;
        timeline.record({ part: "entry", event: "answerSent", program: "p/a", request: name });
        now += 10;
    };
    timeline.record({ part: "store", event: "storeSlow" });
    now += 5;
    timeline.record({ part: "store", event: "storeSlow" });
    now += 5;
    request("during");
    timeline.record({ part: "store", event: "storeUp" });
    now += 10;
    request("after");
    const [during, after] = createView(mergeTimelines([timeline.read()])).programs[0]!.requests;
    assert.ok(during!.why.includes("Meanwhile at d1: store slow."));
    assert.ok(!after!.why.some(sentence => sentence.startsWith("Meanwhile")));
});
