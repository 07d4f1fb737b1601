import { partitionOf } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { keys } from "../src/rows.ts";
import type { TestAnswer } from "./client.ts";
import { createCluster } from "./cluster.ts";
import type { Cluster, DaemonProcess } from "./cluster.ts";
import { createConversation } from "./conversation.ts";

let cluster: Cluster;
const killedDaemons = new Set<string>();

before(async () => {
    cluster = await createCluster({ daemons: 7, plans: { plan: {}, other: {} } });
});

after(() => cluster[Symbol.asyncDispose]());

async function rolesOf(program: string) {
    const owner = await cluster.ownerOf(`plan/${program}`);
    const others = [...cluster.daemons.values()].filter(({ name }) => name !== owner && !killedDaemons.has(name));
    return { owner: cluster.daemon(owner), entry: others[0]!, other: others[1]! };
}

function kill(daemon: DaemonProcess): void {
    killedDaemons.add(daemon.name);
    daemon.signal("SIGKILL");
}

/** A handler that calls back once, when `count` chunks of text have arrived. */
function afterChunks(count: number, callback: () => void) {
    let chunks = 0;
    return () => {
        chunks += 1;
        if (chunks === count) {
            callback();
        }
    };
}

function faultCount(mode: string): number {
    return cluster.platform.counts().faults[mode] ?? 0;
}

function assertComplete(answer: TestAnswer, durability = "stored"): void {
    assert.equal(answer.done, true, JSON.stringify(answer.error));
    assert.equal(answer.durability, durability);
}

describe("the history of a program", () => {
    test("the same program name under two plans (guards against one history for both)", async () => {
        const [ownConversation, otherConversation] = [createConversation(cluster, "same"),
            createConversation(cluster, "same", "other")];
        const { entry, other } = await rolesOf("same");
        for (const content of ["First", "Second"]) {
            assertComplete(await ownConversation.sendMessage(entry, content));
            assertComplete(await otherConversation.sendMessage(other, `${content} of the other plan`));
        }
        assertComplete(await ownConversation.sendMessage(other, "Third"));
    });

    test("reply to the write of a turn lost (guards against losing or duplicating a turn)", async () => {
        const conversation = createConversation(cluster, "reply");
        const { entry, other } = await rolesOf("reply");
        const lostBefore = faultCount("loseReply");
        const keyPrefix = keys.journal(partitionOf("plan/reply", 64));
        cluster.platform.setFaults({ mode: "loseReply", match: "txn", keyPrefix, count: 1 });
        assertComplete(await conversation.sendMessage(entry, "First"));
        assert.equal(faultCount("loseReply"), lostBefore + 1);
        assertComplete(await conversation.sendMessage(other, "Second"));
    });

    test("owner killed between turns (guards against a history that only its owner had)", async () => {
        const conversation = createConversation(cluster, "between");
        const { owner, entry, other } = await rolesOf("between");
        assertComplete(await conversation.sendMessage(entry, "First"));
        assertComplete(await conversation.sendMessage(other, "Second"));
        kill(owner);
        assertComplete(await conversation.sendMessage(entry, "Third"));
        await cluster.waitUntilSettled();
    });

    for (const { name, maxTokens } of [{ name: "during", maxTokens: 400 }, { name: "limit", maxTokens: 60 }]) {
        test(`owner killed during a turn, ${name} (guards against a broken, repeated or longer answer)`, async () => {
            const conversation = createConversation(cluster, name);
            const { owner, entry, other } = await rolesOf(name);
            assertComplete(await conversation.sendMessage(entry, "First"));
            const onText = afterChunks(10, () => kill(owner));
            assertComplete(await conversation.sendMessage(entry, "Second [tokens=120]", { maxTokens, onText }));
            assertComplete(await conversation.sendMessage(other, "Third"));
            await cluster.waitUntilSettled();
        });
    }

    test("owner killed before the turn is stored (guards against text appended to a complete answer)", async () => {
        const conversation = createConversation(cluster, "commit");
        const { owner, entry, other } = await rolesOf("commit");
        assertComplete(await conversation.sendMessage(entry, "First"));
        const hungBefore = faultCount("hang");
        const keyPrefix = keys.journal(partitionOf("plan/commit", 64));
        cluster.platform.setFaults({ mode: "hang", match: "txn", keyPrefix });
        const second = conversation.sendMessage(entry, "Second [tokens=30]", { maxTokens: 20 });
        await cluster.waitUntil("the turn was sent to the store", () => faultCount("hang") > hungBefore);
        kill(owner);
        cluster.platform.setFaults({ mode: "none" });
        assertComplete(await second);
        assertComplete(await conversation.sendMessage(other, "Third"));
        await cluster.waitUntilSettled();
    });

    test("owner paused during a turn until its lease expired, then resumed (guards against two owners of one history)", async () => {
        const conversation = createConversation(cluster, "paused");
        const { owner, entry, other } = await rolesOf("paused");
        assertComplete(await conversation.sendMessage(entry, "First"));
        const onText = afterChunks(10, () => owner.signal("SIGSTOP"));
        const second = conversation.sendMessage(entry, "Second [tokens=200]", { maxTokens: 400, onText });
        assertComplete(await second);
        const third = conversation.sendMessage(other, "Third [tokens=100]", { maxTokens: 200,
            onText: afterChunks(5, () => {
                owner.signal("SIGCONT");
            }) });
        assertComplete(await third);
        assertComplete(await conversation.sendMessage(owner, "Fourth"));
        await cluster.waitUntilSettled();
    });

    test("store down, then owner killed before the store recovers (guards against a stored turn that is lost and a caller's turn that cannot be restored)", async () => {
        const conversation = createConversation(cluster, "outage");
        const { owner, entry, other } = await rolesOf("outage");
        assertComplete(await conversation.sendMessage(entry, "First"));
        cluster.platform.setFaults({ mode: "down", match: "table" });
        assertComplete(await conversation.sendMessage(entry, "Second [tokens=2]", { maxTokens: 2 }), "caller");
        assertComplete(await conversation.sendMessage(other, "Third [tokens=2]", { maxTokens: 2 }), "caller");
        kill(owner);
        cluster.platform.setFaults({ mode: "none" });
        await cluster.waitUntil("the owner was taken over",
            async () => await cluster.ownerOf("plan/outage") !== owner.name);
        const seal = { "tg-seal": conversation.seal() };
        const refused = await conversation.sendMessage(other, "Fourth", { headers: seal });
        assert.equal(refused.error?.code, 4092, JSON.stringify(refused));
        assert.equal(refused.error?.run, "notRun");
        assertComplete(
            await conversation.sendMessage(entry, "Fourth", { headers: seal, history: [...conversation.history] }),
        );
        assertComplete(await conversation.sendMessage(other, "Fifth"));
        await cluster.waitUntilSettled();
    });

    test("engines continue only texts that they would have generated themselves (guards against continuing the text of another program)", () => {
        assert.deepEqual(cluster.engines.map(engine => engine.counts().foreignPartials), [0, 0]);
    });
});
