import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import type { TestAnswer } from "./client.ts";
import { createCluster, operatorKey } from "./cluster.ts";
import type { Cluster, DaemonProcess } from "./cluster.ts";
import { answerWithoutFaults } from "./conversation.ts";

let cluster: Cluster;
const stoppedDaemons = new Set<string>();

before(async () => {
    cluster = await createCluster({ daemons: 5 });
});

after(() => cluster[Symbol.asyncDispose]());

async function rolesOf(program: string) {
    const owner = await cluster.ownerOf(`plan/${program}`);
    const entries = [...cluster.daemons.values()].filter(({ name }) => name !== owner && !stoppedDaemons.has(name));
    return { owner: cluster.daemon(owner), entries };
}

/** Number of a program's calls that waited for earlier calls at a daemon, according to its timeline. */
async function countWaitingCalls(daemon: DaemonProcess, program: string): Promise<number> {
    const url = `http://127.0.0.1:${daemon.port}/timeline?program=${program}`;
    const response = await fetch(url, { headers: { authorization: `Bearer ${operatorKey}` } });
    const lines = (await response.text()).split("\n").filter(line => line.includes("\"callWaiting\""));
    return new Set(lines.map(line => /"request":"([^"]+)"/.exec(line)?.[1])).size;
}

const ownerChanges = {
    "no owner change": async () => undefined,
    "the owner killed": async (owner: DaemonProcess) => {
        stoppedDaemons.add(owner.name);
        owner.signal("SIGKILL");
    },
    "a hand-over": async (owner: DaemonProcess) => {
        stoppedDaemons.add(owner.name);
        owner.signal("SIGTERM");
        assert.equal(await owner.exited, 0);
    },
};

describe("the order of a program's calls", () => {
    for (const [change, changeOwner] of Object.entries(ownerChanges)) {
        test(`${change} between calls that arrive out of order (guards against running calls in the order of arrival)`, async () => {
            const program = change.replaceAll(" ", "-");
            const { owner, entries } = await rolesOf(program);
            const contents = ["First", "Second", "Third", "Fourth"];
            const send = (daemon: DaemonProcess, sequence: number): Promise<TestAnswer> =>
                daemon.client.call({ program, sequence, request: `r${sequence}`, content: contents[sequence]! });
            const opened = await send(entries[0]!, 0);
            // The last call is sent first, and each call is sent a second time through another daemon.
            const earlyCalls = [send(entries[0]!, 3), send(entries[1]!, 2), send(entries[1]!, 3), send(entries[0]!, 2)];
            await cluster.waitUntil("the calls wait at the owner", async () =>
                await countWaitingCalls(owner, program) === 2);
            await changeOwner(owner);
            const lateCalls = [send(entries[1]!, 1), send(entries[0]!, 1)];
            const [third, second, thirdAgain, secondAgain] = await Promise.all(earlyCalls);
            const [first, firstAgain] = await Promise.all(lateCalls);
            const history: object[] = [];
            for (const [index, answers] of [[opened], [first, firstAgain], [second, secondAgain], [third, thirdAgain]]
                .entries()) {
                const user = { role: "user", content: contents[index] };
                const expected = await answerWithoutFaults(cluster, `plan/${program}`, [...history, user]);
                for (const answer of answers) {
                    assert.equal(answer?.done, true, `call ${index}: ${JSON.stringify(answer?.error)}`);
                    assert.equal(answer.text, expected, `call ${index} has another history`);
                }
                history.push(user, { role: "assistant", content: expected });
            }
            await cluster.waitUntilSettled();
        });
    }

    test("a retry of a call that has finished (guards against a second run at a later position)", async () => {
        const program = "retry";
        const { entries } = await rolesOf(program);
        const send = (index: number, request: string, sequence: number, content: string) =>
            entries[index]!.client.call({ program, request, sequence, content });
        const first = await send(0, "a", 0, "First");
        const second = await send(1, "b", 1, "Second");
        assert.deepEqual([(await send(1, "a", 0, "First")).text, (await send(0, "b", 1, "Second")).text], [first.text,
            second.text]);
        const pastAnswer = await send(1, "c", 0, "Other");
        assert.deepEqual([pastAnswer.error?.code, pastAnswer.error?.run], [4094, "notRun"]);
    });
});
