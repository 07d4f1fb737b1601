import { partitionOf } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { keys } from "../src/rows.ts";
import type { TestAnswer } from "./client.ts";
import { createCluster } from "./cluster.ts";
import type { Cluster, DaemonProcess } from "./cluster.ts";

let cluster: Cluster;
const killedDaemons = new Set<string>();

before(async () => {
    // With the shorter lease of other tests, slow daemons on a loaded machine would be fenced, and programs would have no
    // owner during the store outage.
    const flags = ["--tool-timeout", "2500", "--lease-ttl", "3000", "--lease-renewal", "500"];
    cluster = await createCluster({ daemons: 9, services: ["waiver"], flags });
});

afterEach(() => cluster.platform.setFaults({ mode: "none" }));

after(() => cluster[Symbol.asyncDispose]());

/** The owner of a program and two other daemons that serve as entries. */
async function rolesOf(program: string) {
    const owner = await cluster.ownerOf(`plan/${program}`);
    const [entry, other] = [...cluster.daemons.values()].filter(({ name }) =>
        name !== owner && !killedDaemons.has(name)
    );
    return { owner: cluster.daemon(owner), entry: entry!, other: other! };
}

function callTool(daemon: DaemonProcess, program: string, standin: object = {}): Promise<TestAnswer> {
    const content = JSON.stringify({ rider: 1, standin });
    return daemon.client.call({ program, request: "file", tool: "waiver/file", content, atMostOnce: true });
}

function callModel(daemon: DaemonProcess, program: string): Promise<TestAnswer> {
    return daemon.client.call({ program, request: "file", content: "Ask [tokens=8]", atMostOnce: true });
}

function findService() {
    return cluster.services.get("waiver")!;
}

function executions(program: string): number {
    const serviceExecutions = findService().counts().byIdempotencyKey[`plan/${program}/file`] ?? 0;
    return cluster.engines.reduce((sum, engine) => sum + (engine.counts().byProgram[`plan/${program}`] ?? 0),
        serviceExecutions);
}

/** Waits until the service executes a call; fails the test with the call's outcome if it is answered before. */
async function untilExecuted(program: string, answer: Promise<TestAnswer>): Promise<void> {
    let earlyOutcome: string | undefined;
    void answer.then(answered => {
        earlyOutcome = describeOutcome(answered);
    });
    await cluster.waitUntil("the service executes", () => earlyOutcome !== undefined || executions(program) === 1);
    assert.equal(executions(program), 1, `the call ended before it ran: ${earlyOutcome}`);
}

function describeOutcome({ done, error }: TestAnswer): string {
    return done ? "answered" : `${error?.code} ${error?.run}`;
}

/**
 * Blocks the owner of a program after an intent was stored: replies to its journal writes are lost, and reads of its lease,
 * which would show that a write took effect, hang.
 */
function loseIntentReply(owner: DaemonProcess, program: string): void {
    cluster.platform.setFaults([
        { mode: "loseReply", match: "txn", keyPrefix: journalPrefixOf(program) },
        { mode: "hang", match: "range", keyPrefix: `lease/${owner.name}` },
    ]);
}

function faultCount(mode: string): number {
    return cluster.platform.counts().faults[mode] ?? 0;
}

function kill(daemon: DaemonProcess): void {
    killedDaemons.add(daemon.name);
    daemon.signal("SIGKILL");
}

/** Key prefix of the journal rows of a program's partition. */
function journalPrefixOf(program: string): string {
    return keys.journal(partitionOf(`plan/${program}`, 64));
}

const callKinds = [{ kind: "service", call: callTool }, { kind: "model", call: callModel }] as const;

describe("a call that may not be repeated, with processes", () => {
    for (const { kind, call } of callKinds) {
        test(`${kind}, owner killed before the intent is durable (guards against losing a call that never ran)`, async () => {
            const program = `before-${kind}`;
            const { owner, entry, other } = await rolesOf(program);
            const hungBefore = faultCount("hang");
            cluster.platform.setFaults({ mode: "hang", match: "txn", keyPrefix: journalPrefixOf(program) });
            const first = call(entry, program);
            await cluster.waitUntil("the intent was sent", () => faultCount("hang") > hungBefore);
            kill(owner);
            cluster.platform.setFaults({ mode: "none" });
            assert.equal(describeOutcome(await first), "answered");
            assert.equal(describeOutcome(await call(other, program)), "answered");
            assert.equal(executions(program), 1);
            await cluster.waitUntilSettled();
        });

        test(`${kind}, owner killed between intent and dispatch (guards against a dispatch by a successor)`, async () => {
            const program = `between-${kind}`;
            const { owner, entry, other } = await rolesOf(program);
            const lostBefore = faultCount("loseReply");
            loseIntentReply(owner, program);
            const first = call(entry, program);
            await cluster.waitUntil("the intent was stored", () => faultCount("loseReply") > lostBefore);
            kill(owner);
            cluster.platform.setFaults({ mode: "none" });
            assert.equal(describeOutcome(await first), "5041 unknown");
            assert.equal(describeOutcome(await call(other, program)), "5041 unknown");
            assert.equal(executions(program), 0);
            await cluster.waitUntilSettled();
        });

        test(`${kind}, owner paused between intent and dispatch until a takeover (guards against a late dispatch)`, async () => {
            const program = `paused-${kind}`;
            const { owner, entry, other } = await rolesOf(program);
            const lostBefore = faultCount("loseReply");
            loseIntentReply(owner, program);
            const first = call(entry, program);
            await cluster.waitUntil("the intent was stored", () => faultCount("loseReply") > lostBefore);
            owner.signal("SIGSTOP");
            cluster.platform.setFaults({ mode: "none" });
            assert.equal(describeOutcome(await call(other, program)), "5041 unknown");
            owner.signal("SIGCONT");
            assert.equal(describeOutcome(await first), "5041 unknown");
            await cluster.waitUntilSettled();
            assert.equal(describeOutcome(await call(owner, program)), "5041 unknown");
            assert.equal(executions(program), 0);
        });

        test(`${kind}, reply to the write of the intent lost (guards against a refusal or a second run)`, async () => {
            const program = `lost-${kind}`;
            const { entry, other } = await rolesOf(program);
            const lostBefore = faultCount("loseReply");
            cluster.platform.setFaults({ mode: "loseReply", match: "txn", keyPrefix: journalPrefixOf(program),
                count: 1 });
            const first = await call(entry, program);
            assert.equal(faultCount("loseReply"), lostBefore + 1);
            assert.equal(describeOutcome(first), "answered");
            const retried = await call(other, program);
            assert.equal(retried.text, first.text);
            assert.equal(executions(program), 1);
        });

        test(`${kind}, store down (guards against a call without a stored intent)`, async () => {
            const program = `down-${kind}`;
            const { entry, other } = await rolesOf(program);
            // Opens the program, so that it has a slot and the next call reaches the write of its intent.
            assert.equal((await entry.client.call({ program, content: "Open [tokens=1]" })).done, true);
            const executedBefore = executions(program);
            cluster.platform.setFaults({ mode: "down", match: "table" });
            const refusals = await Promise.all([entry, other].map(each => call(each, program)));
            for (const { error } of refusals) {
                // An owner without an allotment of the plan's budget refuses a model call before it writes the intent.
                assert.ok(error?.code === 5031 || (kind === "model" && error?.code === 4291), JSON.stringify(error));
                assert.equal(error?.run, "notRun");
            }
            assert.equal(executions(program), executedBefore);
            cluster.platform.setFaults({ mode: "none" });
            await cluster.waitUntil("the call is answered", async () =>
                describeOutcome(await call(other, program)) === "answered");
            assert.equal(executions(program), executedBefore + 1);
            // An owner that has not renewed its lease yet would refuse the call of the next test with 5031.
            await cluster.waitUntilLeasesRenewed();
        });
    }

    test("owner killed during the execution (guards against a second execution by a successor)", async () => {
        const program = "during";
        const { owner, entry, other } = await rolesOf(program);
        const first = callTool(entry, program, { hang: "after" });
        await untilExecuted(program, first);
        kill(owner);
        assert.equal(describeOutcome(await first), "5041 unknown");
        assert.equal(describeOutcome(await callTool(other, program, { hang: "after" })), "5041 unknown");
        assert.equal(executions(program), 1);
        await cluster.waitUntilSettled();
    });

    test("owner killed before the outcome is durable (guards against an answer that a retry contradicts)", async () => {
        const program = "outcome";
        const { owner, entry, other } = await rolesOf(program);
        const hungBefore = faultCount("hang");
        const first = callTool(entry, program, { delayMs: 300 });
        await untilExecuted(program, first);
        cluster.platform.setFaults({ mode: "hang", match: "txn", keyPrefix: journalPrefixOf(program) });
        await cluster.waitUntil("the outcome was sent", () => faultCount("hang") > hungBefore);
        kill(owner);
        cluster.platform.setFaults({ mode: "none" });
        assert.equal(describeOutcome(await first), "5041 unknown");
        assert.equal(describeOutcome(await callTool(other, program, { delayMs: 300 })), "5041 unknown");
        assert.equal(executions(program), 1);
        await cluster.waitUntilSettled();
    });

    test("a tool that hangs (guards against a caller that waits for ever and against a second execution)", async () => {
        const program = "hang";
        const { entry, other } = await rolesOf(program);
        const [first, second] = await Promise.all(
            [entry, other].map(each => callTool(each, program, { hang: "after" })),
        );
        assert.equal(describeOutcome(first!), "5041 unknown");
        assert.equal(describeOutcome(second!), "5041 unknown");
        assert.equal(describeOutcome(await callTool(other, program, { hang: "after" })), "5041 unknown");
        assert.equal(executions(program), 1);
    });

    test("entry killed during the execution (guards against a second execution by the caller's retry)", async () => {
        const program = "entry";
        const { entry, other } = await rolesOf(program);
        const first = callTool(entry, program, { delayMs: 600 });
        await untilExecuted(program, first);
        kill(entry);
        assert.equal((await first).connectionLost, true);
        assert.equal(describeOutcome(await callTool(other, program, { delayMs: 600 })), "answered");
        assert.equal(executions(program), 1);
        await cluster.waitUntilSettled();
    });
});
