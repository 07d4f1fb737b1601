import assert from "node:assert/strict";
import { test } from "node:test";
import { createCluster } from "./cluster.ts";

test("a program's calls through three daemons are one conversation (guards against a path that only works at its owner)", async () => {
    await using cluster = await createCluster({ services: ["waiver"] });
    const clients = [...cluster.daemons.values()].map(daemon => daemon.client);
    const [first, second, third] = clients;
    const opened = await first!.call({ program: "rider", sequence: 0, content: "Hello [tokens=8]" });
    assert.equal(opened.done, true);
    assert.equal(opened.durability, "stored");
    const filed = await second!.call({
        program: "rider",
        request: "file",
        sequence: 1,
        tool: "waiver/file",
        content: "{\"rider\":1}",
        atMostOnce: true,
    });
    assert.equal(filed.status, 200);
    const again = await third!.call({
        program: "rider",
        request: "file",
        sequence: 1,
        tool: "waiver/file",
        content: "{\"rider\":1}",
        atMostOnce: true,
    });
    assert.equal(again.text, filed.text, "the repetition gets the recorded answer");
    const last = await third!.call({ program: "rider", sequence: 2, content: "Bye [tokens=4]", end: true });
    assert.equal(last.done, true);
    const late = await first!.call({ program: "rider", sequence: 3, content: "More" });
    assert.equal(late.error?.code, 4096);
    await cluster.until("the engines have released the program",
        () => cluster.engines.every(engine => engine.cacheEntries().length === 0));
});
