import assert from "node:assert/strict";
import { test } from "node:test";
import { call, createFleet, turnCall, waitUntil, waitUntilReady } from "./harness.ts";

const nested = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
const validEntry = { backend: "tools", zone: "a", slots: 12, state: "ready", sequence: 1, born: 1 };
/** Entries that another writer may leave among those of the upstreams. */
const oddEntries: Readonly<Record<string, unknown>> = {
    "port out of range": { ...validEntry, address: "127.0.0.1:99999" },
    "port 0": { ...validEntry, address: "127.0.0.1:0" },
    "no address": { ...validEntry, address: "999.999.1.1:80" },
    "dots": { ...validEntry, address: "....:80" },
    "many slots": { ...validEntry, address: "127.0.0.1:9", slots: 1e300 },
    "nested": Buffer.from(nested),
    "nested field": Buffer.from(`{"backend":"tools","address":${nested}}`),
    "not JSON": Buffer.from([0xff, 0x00]),
    "empty": Buffer.alloc(0),
};

test("calls are served whatever entries another writer leaves (guards against calls closed without an answer, and a list that is followed no more)", async () => {
    await using fleet = await createFleet();
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    for (const [id, entry] of Object.entries(oddEntries)) {
        fleet.rowStore.put("servers", "", id, entry);
        await waitUntil(
            () => gateway.logLines.some(({ event, fields }) => event === "upstream.unreadable" && fields.id === id),
            `${id} is logged`,
        );
        for (let index = 0; index < 15; index += 1) {
            const answer = await call(gateway, { path: "/look/x", id: `${id} ${index}`.replaceAll(" ", "-") });
            assert.equal(answer.status, 200, id);
        }
    }
    fleet.registerUpstream(fleet.tool, { sequence: 2 });
    assert.equal(gateway.logLines.filter(({ event }) => event === "upstream.unreadable").length,
        Object.keys(oddEntries).length);
    fleet.registerUpstream(fleet.engine, { state: "draining" });
    fleet.registerUpstream(fleet.spareEngine);
    await waitUntil(async () =>
        (await call(gateway, turnCall(`t${performance.now()}`, "p"))).status === 200 &&
        fleet.spareEngine.executed.length > 0, "the list is still followed");
});
