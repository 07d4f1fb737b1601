import assert from "node:assert/strict";
import { test } from "node:test";
import { buildDeployedProgram, residentMegabytes, startProcess } from "./gatewayProcess.ts";
import { call, createFleet, declaration, type Fleet, turnCall } from "./harness.ts";

const largeBody = "x".repeat(4_000_000);
const turnsAtOnce = 12;
const rounds = 3;
const samplingIntervalMs = 20;

function declareLargeBodies(fleet: Fleet): void {
    fleet.declare({ routes: declaration.routes.map(route => ({ ...route, timeoutMs: 20_000 })),
        limits: { ...declaration.limits, maxBodyBytes: 4_194_304 } });
}

for (const memoryMb of [178, 220]) {
    test(`twelve turns of 4 MB at once stay within a VM of ${memoryMb} MB, and those that are taken are kept (guards against a process that ends and cuts all its calls)`, async () => {
        await using fleet = await createFleet();
        await using deployed = await buildDeployedProgram();
        declareLargeBodies(fleet);
        await using gateway = await startProcess(fleet, { ...deployed, memoryMb });
        let ended = false;
        void gateway.exited.then(() => ended = true);
        let maxMegabytes = 0;
        const sampling = setInterval(
            () => maxMegabytes = Math.max(maxMegabytes, residentMegabytes(gateway)),
            samplingIntervalMs,
        );
        const statuses: number[] = [];
        for (let round = 0; round < rounds; round += 1) {
            const answers = await Promise.all(Array.from({ length: turnsAtOnce }, (_, index) => {
                const id = `t${round}.${index}`;
                return call(gateway, { ...turnCall(id, id), body: largeBody }).catch(() => ({ status: 0,
                    whole: false })
                );
            }));
            statuses.push(...answers.map(({ status, whole }) => whole ? status : 0));
        }
        clearInterval(sampling);
        assert.equal(ended, false);
        assert.deepEqual(statuses.filter(status => status !== 200 && status !== 503), []);
        assert.ok(statuses.filter(status => status === 200).length >= rounds, String(statuses));
        assert.ok(maxMegabytes < memoryMb, `${maxMegabytes} MB`);
        assert.equal((await call(gateway, { path: "/look/x", id: "small" })).status, 200);
    });
}
