import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { buildDeployedProgram, type GatewayProcess, residentMegabytes, startProcess,
    startProcessUnready } from "./gatewayProcess.ts";
import { call, collectText, createFleet, declaration, type Fleet, turnCall, waitUntil } from "./harness.ts";

const largeBody = "x".repeat(4_000_000);
const turnsAtOnce = 12;
const rounds = 3;
const samplingIntervalMs = 20;

function declareLargeBodies(fleet: Fleet): void {
    fleet.declare({ routes: declaration.routes.map(route => ({ ...route, timeoutMs: 20_000 })),
        limits: { ...declaration.limits, maxBodyBytes: 4_194_304 } });
}

/** Measures the resident memory of a process until it is disposed of. */
function sampleMemory(gateway: GatewayProcess) {
    let megabytes = 0;
    const sampling = setInterval(() => megabytes = Math.max(megabytes, residentMegabytes(gateway)), samplingIntervalMs);
    return { maxMegabytes: () => megabytes, [Symbol.dispose]: () => clearInterval(sampling) };
}

for (const memoryMb of [178, 220]) {
    test(`twelve turns of 4 MB at once stay within a VM of ${memoryMb} MB, and those that are taken are kept (guards against a process that ends and cuts all its calls)`, async () => {
        await using fleet = await createFleet();
        await using deployed = await buildDeployedProgram();
        declareLargeBodies(fleet);
        await using gateway = await startProcess(fleet, { ...deployed, memoryMb });
        let ended = false;
        void gateway.exited.then(() => ended = true);
        using memory = sampleMemory(gateway);
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
        assert.equal(ended, false);
        assert.deepEqual(statuses.filter(status => status !== 200 && status !== 503), []);
        assert.ok(statuses.filter(status => status === 200).length >= rounds, String(statuses));
        assert.ok(memory.maxMegabytes() < memoryMb, `${memory.maxMegabytes()} MB`);
        assert.equal((await call(gateway, { path: "/look/x", id: "small" })).status, 200);
    });
}

const largeHeadBytes = 60_000;
const headerValueBytes = 15_000;
/** Heads of that size that may be held at once, at most. */
const headsWithinShare = 50;

/** A head of `largeHeadBytes` without the empty line at its end. */
function largeHead(path: string, id: string): string {
    const value = "y".repeat(headerValueBytes);
    const padding = Array.from({ length: largeHeadBytes / headerValueBytes },
        (_, index) => `x-pad-${index}: ${value}\r\n`);
    return `GET ${path} HTTP/1.1\r\nhost: fleet.test\r\nx-request-id: ${id}\r\n${padding.join("")}`;
}

async function metricsText({ settings }: GatewayProcess): Promise<string> {
    return (await fetch(`http://127.0.0.1:${settings.metricsAddress.port}/metrics`)).text();
}

interface RawCaller {
    readonly socket: Socket;
    /** Status of the first answer; empty if there is none. */
    readonly status: () => string;
}

/** Opens connections that each send some bytes at once, and waits until all are open. */
async function openConnections(gateway: GatewayProcess, count: number,
    bytes: (id: string) => string): Promise<readonly RawCaller[]> {
    const callers = Array.from({ length: count }, (_, index) => {
        const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
        const text = collectText(socket);
        socket.on("error", () => undefined);
        socket.write(bytes(`c${index}`));
        return { socket, status: () => text().slice(9, 12) };
    });
    await Promise.all(callers.map(({ socket }) => once(socket, "connect")));
    return callers;
}

/** Asserts that there are only the given statuses. A connection that still sends may be reset before its answer is read. */
function assertStatuses(callers: readonly RawCaller[], allowed: readonly string[]): void {
    const statuses = new Set(callers.map(({ status }) => status()));
    assert.ok(statuses.has(allowed.at(-1)!), [...statuses].join());
    assert.deepEqual([...statuses].filter(status => status !== "" && !allowed.includes(status)), []);
}

test("2,500 heads of 60 KB that do not end stay within a VM of 220 MB, and other callers are served (guards against a process killed for its memory)", async () => {
    await using fleet = await createFleet();
    await using deployed = await buildDeployedProgram();
    fleet.declare({ limits: { ...declaration.limits, maxHeaderBytes: 65_536 } });
    await using gateway = await startProcess(fleet, { ...deployed, memoryMb: 220 });
    using memory = sampleMemory(gateway);
    const callers = await openConnections(gateway, 2_500, id => largeHead("/look/x", id));
    assert.equal((await call(gateway, { path: "/look/x", id: "small" })).status, 200);
    await waitUntil(() => callers.filter(({ socket }) => !socket.destroyed).length <= headsWithinShare,
        "heads beyond their share have been refused");
    await waitUntil(async () => /connections_closed_total{cause="headMemory"} \d{4}/.test(await metricsText(gateway)),
        "the closed connections are counted");
    assert.match(await metricsText(gateway), /caller_bytes{part="heads"} \d+/);
    callers.forEach(({ socket }) => socket.destroy());
    assertStatuses(callers, ["408"]);
    assert.match(gateway.output(), /"event":"connections.closed","headMemory":\d+/);
    assert.ok(memory.maxMegabytes() < 220, `${memory.maxMegabytes()} MB`);
});

test("1,500 calls with heads of 60 KB that wait for the first declaration do not end the process (guards against a heap that is full)", async () => {
    await using fleet = await createFleet();
    await using deployed = await buildDeployedProgram();
    const endpoint = await fleet.rowStore.open();
    endpoint.setFault({ mode: "silent" });
    await using gateway = await startProcessUnready(endpoint, { ...deployed, memoryMb: 220 });
    using memory = sampleMemory(gateway);
    let ended = false;
    void gateway.exited.then(() => ended = true);
    const callers = await openConnections(gateway, 1_500, id => `${largeHead("/look/x", id)}\r\n`);
    await waitUntil(() => ended || callers.every(({ socket, status }) => socket.destroyed || status() !== ""),
        "all calls have been refused");
    callers.forEach(({ socket }) => socket.destroy());
    assert.equal(ended, false, gateway.errors());
    assert.match(await metricsText(gateway), /memory_refusals_total{part="call"} \d+/);
    assertStatuses(callers, ["408", "503"]);
    assert.ok(memory.maxMegabytes() < 220, `${memory.maxMegabytes()} MB`);
});
