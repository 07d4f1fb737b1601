import { preferredOwner } from "@tamarackgauge/core";
import { goldenText, mergeTimelines, readRecord } from "@tamarackgauge/timeline";
import type { CallerAnswer } from "@tamarackgauge/timeline";
import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import type { TestAnswer, TestCall } from "./client.ts";
import { createCluster, operatorKey } from "./cluster.ts";
import type { Cluster } from "./cluster.ts";

const goldenPath = join(import.meta.dirname, "golden/session.txt");

/** Whether every daemon's map has each partition at its preferred owner; then owners depend only on the names. */
async function isSettled(cluster: Cluster): Promise<boolean> {
    const maps = await Promise.all([...cluster.daemons.values()].map(async ({ port }) => {
        const response = await fetch(`http://127.0.0.1:${port}/operator/v1/status`, {
            headers: { authorization: `Bearer ${operatorKey}` },
        });
        const { details } = await response.json() as { details: { map: { owners: string[]; }; }; };
        return details.map.owners;
    }));
    const member = { incarnation: "", address: "", port: 0, dataCentre: "", leaving: false };
    const members = Object.fromEntries([...cluster.daemons.keys()].map(name => [name, member]));
    return maps.every(owners => owners.every((owner, index) => owner === preferredOwner(members, index)));
}

function answerText(answer: TestAnswer): string {
    const { error } = answer;
    return error === undefined ? answer.text : `${error.code} ${error.name}, ${error.run}`;
}

test("the record of a whole session matches the golden file (guards against any unintended change of behaviour)", async () => {
    await using cluster = await createCluster({
        services: ["deposits"],
        plans: { rides: {}, fairs: { budgetTokens: 40 } },
    });
    await cluster.waitUntil("ownership is settled", () => isSettled(cluster));
    const answers: CallerAnswer[] = [];
    const makeCall = async (daemon: string, call: TestCall) => {
        const answer = await cluster.daemon(daemon).client.call(call);
        answers.push({ program: `${call.plan}/${call.program}`, request: call.request ?? "",
            text: answerText(answer) });
    };
    const rides = { plan: "rides", program: "waiver-1" };
    await makeCall("d1", { ...rides, request: "hello", sequence: 0, content: "Guten Tag [tokens=8]" });
    const parent = { "tg-parent": "waiver-1" };
    const subAgent = { plan: "rides", program: "claims-1", headers: parent };
    await makeCall("d2", { ...subAgent, request: "claims", sequence: 0, content: "Claims? [tokens=6]", end: true });
    const deposit = { tool: "deposits/charge", content: "{\"rider\":17}", atMostOnce: true };
    await makeCall("d3", { ...rides, request: "deposit", sequence: 1, ...deposit });
    await makeCall("d1", { ...rides, request: "deposit", sequence: 1, ...deposit });
    await makeCall("d2", { ...rides, request: "bye", sequence: 2, content: "Danke [tokens=4]", end: true });
    const fairs = { plan: "fairs", program: "setup-1" };
    await makeCall("d3", { ...fairs, request: "sheet", sequence: 0, content: "Setup sheet [tokens=10]",
        maxTokens: 30 });
    // 10 of 40 tokens are used, so the remaining budget does not cover a worst case of 40.
    await makeCall("d3", { ...fairs, request: "more", sequence: 1, content: "More [tokens=10]", maxTokens: 40 });
    await cluster.waitUntil("the engines have released the ended programs",
        () => cluster.engines.every(engine => engine.cacheEntries().every(({ key }) => !key.startsWith("rides/"))));
    const records = await Promise.all([...cluster.daemons.values()].map(async ({ port }) => {
        const response = await fetch(`http://127.0.0.1:${port}/timeline`, {
            headers: { authorization: `Bearer ${operatorKey}` },
        });
        return readRecord(await response.text());
    }));
    const text = goldenText(mergeTimelines(records.flat()), answers, {
        // Which engine is chosen, and so what it has cached, depends on load.
        drop: ["cachedTokens", "level", "retryAfterMs"],
        replace: [[/engine\d/g, "engine"]],
    });
    if (process.env["UPDATE_GOLDEN"] !== undefined) {
        writeFileSync(goldenPath, text);
    }
    assert.equal(text, readFileSync(goldenPath, "utf8"));
    assert.deepEqual(Object.values(cluster.services.get("deposits")?.counts().byIdempotencyKey ?? {}), [1]);
});
