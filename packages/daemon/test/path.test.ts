import assert from "node:assert/strict";
import { test } from "node:test";
import { createCluster } from "./cluster.ts";

test("a program's calls through three daemons form one conversation (guards against calls that work only at its owner)", async () => {
    await using cluster = await createCluster({ services: ["waiver"] });
    const clients = [...cluster.daemons.values()].map(daemon => daemon.client);
    const [first, second, third] = clients;
    const openingAnswer = await first!.call({ program: "rider", sequence: 0, content: "Hello [tokens=8]" });
    assert.equal(openingAnswer.done, true);
    assert.equal(openingAnswer.durability, "stored");
    const filedAnswer = await second!.call({
        program: "rider",
        request: "file",
        sequence: 1,
        tool: "waiver/file",
        content: "{\"rider\":1}",
        atMostOnce: true,
    });
    assert.equal(filedAnswer.status, 200);
    const repeated = await third!.call({
        program: "rider",
        request: "file",
        sequence: 1,
        tool: "waiver/file",
        content: "{\"rider\":1}",
        atMostOnce: true,
    });
    assert.equal(repeated.text, filedAnswer.text, "the repetition gets the recorded answer");
    const lastAnswer = await third!.call({ program: "rider", sequence: 2, content: "Bye [tokens=4]", end: true });
    assert.equal(lastAnswer.done, true);
    const lateAnswer = await first!.call({ program: "rider", sequence: 3, content: "More" });
    assert.equal(lateAnswer.error?.code, 4096);
    await cluster.waitUntil("the engines have released the program",
        () => cluster.engines.every(engine => engine.cacheEntries().length === 0));
});
