import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import type { TestAnswer } from "./client.ts";
import { createCluster } from "./cluster.ts";
import type { Cluster, DaemonProcess } from "./cluster.ts";
import { answerWithoutFaults } from "./conversation.ts";

let cluster: Cluster;
const stoppedDaemons = new Set<string>();

before(async () => {
    // A takeover waits for a whole lease TTL, so programs that are served sooner were handed over.
    cluster = await createCluster({ daemons: 6, flags: ["--lease-ttl", "15000"] });
});

after(() => cluster[Symbol.asyncDispose]());

async function rolesOf(program: string) {
    const owner = await cluster.ownerOf(`plan/${program}`);
    const entries = [...cluster.daemons.values()].filter(({ name }) => name !== owner && !stoppedDaemons.has(name));
    return { owner: cluster.daemon(owner), entry: entries[0]!, other: entries[1]! };
}

function terminate(daemon: DaemonProcess): void {
    stoppedDaemons.add(daemon.name);
    daemon.signal("SIGTERM");
}

const longPrompt = "Long [tokens=300]";

/** Starts a long stream; `onStart` is called when its first chunk has arrived. */
function startLongStream(daemon: DaemonProcess, program: string, onStart: () => void): Promise<TestAnswer> {
    let started = false;
    const onText = () => {
        if (!started) {
            started = true;
            onStart();
        }
    };
    return daemon.client.call({ program, content: longPrompt, maxTokens: 400, onText });
}

async function assertComplete(answer: TestAnswer, program: string): Promise<void> {
    assert.equal(answer.done, true, JSON.stringify(answer.error));
    const messages = [{ role: "user", content: longPrompt }];
    assert.equal(answer.text, await answerWithoutFaults(cluster, `plan/${program}`, messages, 400));
}

/** Names of `count` other programs with the same owner. */
async function otherProgramsOf(owner: DaemonProcess, count: number): Promise<readonly string[]> {
    const found: string[] = [];
    for (let index = 0; found.length < count; index += 1) {
        const name = `beside-${owner.name}-${index}`;
        if (await cluster.ownerOf(`plan/${name}`) === owner.name) {
            found.push(name);
        }
    }
    return found;
}

/** Calls programs whose owner is shutting down; returns the time until each was answered, in ms. */
async function measureResponseTimes(entry: DaemonProcess, programs: readonly string[],
    sequence: number): Promise<readonly number[]> {
    const started = performance.now();
    return Promise.all(programs.map(async program => {
        const answer = await entry.client.call({ program, content: "Next [tokens=1]", sequence });
        assert.equal(answer.done, true, JSON.stringify(answer.error));
        return performance.now() - started;
    }));
}

/**
 * Checks that programs were handed over: their answers came well before the lease TTL of 15 s. The time itself depends on the
 * machine's load.
 */
function assertHandedOver(responseTimes: readonly number[]): void {
    const slowest = Math.max(...responseTimes);
    assert.ok(slowest < 5_000, `the next call took ${slowest} ms`);
}

describe("a graceful shutdown", () => {
    test("of the entry of a long stream (guards against a cut stream and against accepting new calls)", async () => {
        const program = "entry";
        const { entry, other } = await rolesOf(program);
        let refused: Promise<TestAnswer> | undefined;
        const answer = await startLongStream(entry, program, () => {
            terminate(entry);
            refused = cluster.waitUntil("the daemon refuses new calls", async () => {
                const { error, connectionLost } = await entry.client.call({ program: "new",
                    content: "New [tokens=1]" });
                return error?.code === 5035 || connectionLost;
            }).then(() => other.client.call({ program: "new", content: "New [tokens=1]" }));
        });
        await assertComplete(answer, program);
        assert.equal((await refused)?.done, true);
        assert.equal(await entry.exited, 0);
        await cluster.waitUntilSettled();
    });

    test("of the owner of a long stream (guards against a cut stream and against programs without an owner)", async () => {
        const program = "owner";
        const { owner, entry, other } = await rolesOf(program);
        const programs = await otherProgramsOf(owner, 3);
        for (const name of programs) {
            assert.equal((await other.client.call({ program: name, content: "Open [tokens=1]", sequence: 0 })).done,
                true);
        }
        let responseTimes: Promise<readonly number[]> | undefined;
        const answer = await startLongStream(entry, program, () => {
            terminate(owner);
            responseTimes = measureResponseTimes(other, programs, 1);
        });
        await assertComplete(answer, program);
        assertHandedOver(await responseTimes ?? [Infinity]);
        assert.equal(await owner.exited, 0);
        await cluster.waitUntilSettled();
    });

    test("of the owner of a slow tool call (guards against one call that delays the hand-over of all programs)", async () => {
        const program = "tool";
        const { owner, entry, other } = await rolesOf(program);
        const programs = await otherProgramsOf(owner, 3);
        for (const name of programs) {
            assert.equal((await other.client.call({ program: name, content: "Open [tokens=1]", sequence: 0 })).done,
                true);
        }
        const content = JSON.stringify({ standin: { delayMs: 3_000 } });
        const executions = () => cluster.services.get("waiver")?.counts().executions ?? 0;
        const slowCall = entry.client.call({ program, tool: "waiver/slow", content, atMostOnce: true });
        await cluster.waitUntil("the service executes", () => executions() === 1);
        terminate(owner);
        assertHandedOver(await measureResponseTimes(other, programs, 1));
        assert.equal((await slowCall).done, true);
        assert.equal(executions(), 1);
        assert.equal(await owner.exited, 0);
        await cluster.waitUntilSettled();
    });

    test("a second signal (guards against an exit without answers)", async () => {
        const program = "hurry";
        const { entry } = await rolesOf(program);
        const answer = await startLongStream(entry, program, () => {
            terminate(entry);
            void cluster.waitUntil("the first signal has been handled", async () => {
                const { error, connectionLost } = await entry.client.call({ program: "new",
                    content: "New [tokens=1]" });
                return error?.code === 5035 || connectionLost;
            }).then(() => entry.signal("SIGTERM"));
        });
        assert.equal(answer.done, false);
        assert.equal(answer.error?.run, "unknown", JSON.stringify(answer));
        assert.equal(await entry.exited, 1);
    });
});
