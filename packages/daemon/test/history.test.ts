import { partitionOf } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { keys } from "../src/rows.ts";
import type { TestAnswer } from "./client.ts";
import { createCluster } from "./cluster.ts";
import type { Cluster, DaemonProcess } from "./cluster.ts";
import { createConversation } from "./conversation.ts";

let cluster: Cluster;
const killed = new Set<string>();

before(async () => {
    cluster = await createCluster({ daemons: 7, plans: { plan: {}, other: {} } });
});

after(() => cluster[Symbol.asyncDispose]());

async function partsOf(program: string) {
    const owner = await cluster.ownerOf(`plan/${program}`);
    const others = [...cluster.daemons.values()].filter(({ name }) => name !== owner && !killed.has(name));
    return { owner: cluster.daemon(owner), entry: others[0]!, other: others[1]! };
}

function kill(daemon: DaemonProcess): void {
    killed.add(daemon.name);
    daemon.signal("SIGKILL");
}

/** Calls back once, when so many pieces of text have arrived. */
function afterPieces(count: number, act: () => void) {
    let pieces = 0;
    return () => {
        pieces += 1;
        if (pieces === count) {
            act();
        }
    };
}

function struck(mode: string): number {
    return cluster.platform.counts().faults[mode] ?? 0;
}

function assertComplete(answer: TestAnswer, durability = "stored"): void {
    assert.equal(answer.done, true, JSON.stringify(answer.error));
    assert.equal(answer.durability, durability);
}

describe("the history of a program", () => {
    test("the same program name under two plans (guards against one history for both)", async () => {
        const [mine, theirs] = [createConversation(cluster, "same"), createConversation(cluster, "same", "other")];
        const { entry, other } = await partsOf("same");
        for (const content of ["First", "Second"]) {
            assertComplete(await mine.say(entry, content));
            assertComplete(await theirs.say(other, `${content} of the other plan`));
        }
        assertComplete(await mine.say(other, "Third"));
    });

    test("reply to the write of a turn lost (guards against losing or doubling a turn)", async () => {
        const talk = createConversation(cluster, "reply");
        const { entry, other } = await partsOf("reply");
        const lost = struck("loseReply");
        const keyPrefix = keys.journal(partitionOf("plan/reply", 64));
        cluster.platform.setFaults({ mode: "loseReply", match: "txn", keyPrefix, count: 1 });
        assertComplete(await talk.say(entry, "First"));
        assert.equal(struck("loseReply"), lost + 1);
        assertComplete(await talk.say(other, "Second"));
    });

    test("owner killed between turns (guards against a history that only its owner knew)", async () => {
        const talk = createConversation(cluster, "between");
        const { owner, entry, other } = await partsOf("between");
        assertComplete(await talk.say(entry, "First"));
        assertComplete(await talk.say(other, "Second"));
        kill(owner);
        assertComplete(await talk.say(entry, "Third"));
        await cluster.settled();
    });

    for (const { name, maxTokens } of [{ name: "during", maxTokens: 400 }, { name: "limit", maxTokens: 60 }]) {
        test(`owner killed during a turn, ${name} (guards against a broken, repeated or longer answer)`, async () => {
            const talk = createConversation(cluster, name);
            const { owner, entry, other } = await partsOf(name);
            assertComplete(await talk.say(entry, "First"));
            const onText = afterPieces(10, () => kill(owner));
            assertComplete(await talk.say(entry, "Second [tokens=120]", { maxTokens, onText }));
            assertComplete(await talk.say(other, "Third"));
            await cluster.settled();
        });
    }

    test("owner killed before the turn is stored (guards against a second ending of a complete text)", async () => {
        const talk = createConversation(cluster, "commit");
        const { owner, entry, other } = await partsOf("commit");
        assertComplete(await talk.say(entry, "First"));
        const hung = struck("hang");
        const keyPrefix = keys.journal(partitionOf("plan/commit", 64));
        cluster.platform.setFaults({ mode: "hang", match: "txn", keyPrefix });
        const second = talk.say(entry, "Second [tokens=30]", { maxTokens: 20 });
        await cluster.until("the turn was sent to the store", () => struck("hang") > hung);
        kill(owner);
        cluster.platform.setFaults({ mode: "none" });
        assertComplete(await second);
        assertComplete(await talk.say(other, "Third"));
        await cluster.settled();
    });

    test("owner paused past its lease during a turn and continued (guards against two owners of one history)", async () => {
        const talk = createConversation(cluster, "paused");
        const { owner, entry, other } = await partsOf("paused");
        assertComplete(await talk.say(entry, "First"));
        const onText = afterPieces(10, () => owner.signal("SIGSTOP"));
        const second = talk.say(entry, "Second [tokens=200]", { maxTokens: 400, onText });
        assertComplete(await second);
        const third = talk.say(other, "Third [tokens=100]", { maxTokens: 200, onText: afterPieces(5, () => {
            owner.signal("SIGCONT");
        }) });
        assertComplete(await third);
        assertComplete(await talk.say(owner, "Fourth"));
        await cluster.settled();
    });

    test("store down, then owner killed before it returns (guards against a stored turn that is lost and a caller's turn that cannot come back)", async () => {
        const talk = createConversation(cluster, "outage");
        const { owner, entry, other } = await partsOf("outage");
        assertComplete(await talk.say(entry, "First"));
        cluster.platform.setFaults({ mode: "down", match: "table" });
        assertComplete(await talk.say(entry, "Second [tokens=2]", { maxTokens: 2 }), "caller");
        assertComplete(await talk.say(other, "Third [tokens=2]", { maxTokens: 2 }), "caller");
        kill(owner);
        cluster.platform.setFaults({ mode: "none" });
        await cluster.until("the owner was taken over",
            async () => await cluster.ownerOf("plan/outage") !== owner.name);
        const seal = { "tg-seal": talk.seal() };
        const refused = await talk.say(other, "Fourth", { headers: seal });
        assert.equal(refused.error?.code, 4092, JSON.stringify(refused));
        assert.equal(refused.error?.run, "notRun");
        assertComplete(await talk.say(entry, "Fourth", { headers: seal, history: [...talk.history] }));
        assertComplete(await talk.say(other, "Fifth"));
        await cluster.settled();
    });

    test("the engines continued only texts of their own (guards against a text of another program)", () => {
        assert.deepEqual(cluster.engines.map(engine => engine.counts().foreignPartials), [0, 0]);
    });
});
