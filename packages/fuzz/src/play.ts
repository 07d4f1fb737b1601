import { createDisposal, inProcessDefaults, type InProcessGateway, type RecordedLogLine,
    startInProcess } from "@tamarackgauge/gateway";
import { createRowStore, freeAddress, gatewayDeclaration, gatewayReadinessPath, ownHost,
    type RowStore } from "@tamarackgauge/standin";
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { playConnection, type PlayedConnection } from "./callerPeer.ts";
import type { Observation, ObservedAttempt, ObservedConnection, ObservedEntryChange } from "./observation.ts";
import { callIdOf, type CallScript, type Script, scriptDefaults, soundReaction } from "./script.ts";
import { startStorePeer } from "./storePeer.ts";
import { startUpstreamPeer, type UpstreamPeer } from "./upstreamPeer.ts";

/** A play of a script. */
export interface Play {
    readonly observation: Observation;
    readonly logLines: readonly RecordedLogLine[];
}

/** Time in which a gateway may still send a call whose caller has got its answer. */
/** Room for the longest body of a script. */
const maxBodyBytes = 4_194_304;
const settleMs = 40;
const readinessIntervalMs = 3;
const maxStartMs = 30_000;
/** Log lines that the error for a gateway that does not become ready shows. */
const maxShownLines = 20;

/** Index of the first connection that continues turns after the script. */
const firstContinuation = 100;

/** Plays a script against a gateway of its own. */
export async function playScript(script: Script): Promise<Play> {
    const recorder = createRecorder(script);
    await using rowStore = createRowStore();
    await using disposal = createDisposal();
    const upstreams = await Promise.all(
        script.upstreams.map(async ({ service, refusedConnections }, index) =>
            disposal.own(await startUpstreamPeer({ ...recorder, name: `${service}-${index}`, refusedConnections }))
        ),
    );
    rowStore.put("op", "", "config", { ...gatewayDeclaration, limits: { ...gatewayDeclaration.limits, maxBodyBytes } });
    script.upstreams.forEach(({ service }, index) => register(rowStore, upstreams[index]!, service, "ready"));
    const store = disposal.own(await startStorePeer((await rowStore.open()).port));
    const gateway = disposal.own(await startGateway(store.port));
    store.react(script.store);

    const changes = changeEntries(script, upstreams, rowStore, recorder.entryChanges);
    const { port } = gateway.settings.callerAddress;
    const played = await Promise.all(
        script.connections.map((connection, index) => playConnection(port, index, connection)),
    );
    await changes;
    store.react([]);
    const connections = connectionsOf(played, 0);
    const logLines = [...gateway.logLines];
    if (script.store.length > 0) {
        script.upstreams.forEach(({ service }, index) => register(rowStore, upstreams[index]!, service, "ready"));
        const other = disposal.own(await startGateway(store.port));
        connections.push(...connectionsOf(await continueTurns(other, played, recorder.calls), 1));
        logLines.push(...other.logLines);
    }
    await sleep(settleMs);
    return { observation: { ...recorder, script, connections }, logLines };
}

function connectionsOf(played: readonly PlayedConnection[], gateway: number): ObservedConnection[] {
    return played.flatMap(({ connections }) => connections.map(connection => ({ ...connection, gateway })));
}

/** Collects what upstreams see, and gives each attempt its reaction. */
function createRecorder({ connections }: Script) {
    const calls = new Map<string, CallScript>(
        connections.flatMap((connection, index) =>
            connection.calls.map((call, number) => [callIdOf(index, number), call] as const)
        ),
    );
    const attemptCounts = new Map<string, number>();
    const attempts: ObservedAttempt[] = [];
    const malformedRequests: string[] = [];
    const entryChanges: ObservedEntryChange[] = [];

    function takeReaction(id: string) {
        const call = calls.get(id);
        const count = attemptCounts.get(id) ?? 0;
        attemptCounts.set(id, count + 1);
        return call === undefined ? undefined : { call, reaction: call.reactions[count] ?? soundReaction };
    }

    return { calls, attempts, malformedRequests, entryChanges, takeReaction,
        onAttempt: (attempt: ObservedAttempt) => void attempts.push(attempt),
        onMalformed: (reason: string) => void malformedRequests.push(reason) };
}

async function changeEntries({ upstreams: scripts }: Script, upstreams: readonly UpstreamPeer[], rowStore: RowStore,
    entryChanges: ObservedEntryChange[]): Promise<void> {
    await Promise.all(scripts.map(async ({ service, entry }, index) => {
        if (entry === undefined) {
            return;
        }
        await sleep(entry.atMs);
        const upstream = upstreams[index]!;
        if (entry.change === "removed") {
            rowStore.remove("servers", "", upstream.name);
        }
        else {
            register(rowStore, upstream, service, "draining");
        }
        entryChanges.push({ upstream: upstream.name, atMs: performance.now() });
    }));
}

/** Continues at another gateway the last turn of each connection that was answered whole. */
function continueTurns(gateway: InProcessGateway, played: readonly PlayedConnection[],
    calls: Map<string, CallScript>): Promise<readonly PlayedConnection[]> {
    const { port } = gateway.settings.callerAddress;
    const call: CallScript = { ...scriptDefaults.call, route: "turn" };
    return Promise.all(played.flatMap(({ lastWholeTurn }, index) => {
        if (lastWholeTurn === undefined) {
            return [];
        }
        calls.set(callIdOf(firstContinuation + index, 0), call);
        return [
            playConnection(port, firstContinuation + index, { ...scriptDefaults.connection, calls: [call] },
                lastWholeTurn),
        ];
    }));
}

function register(rowStore: RowStore, { name, address }: UpstreamPeer, service: string, state: string): void {
    rowStore.put("servers", "", name, { backend: service, address, zone: "a", slots: 12, state, sequence: 1, born: 1 });
}

async function startGateway(storePort: number): Promise<InProcessGateway> {
    const [callerAddress, readinessAddress, peerAddress] = await Promise.all([freeAddress(ownHost),
        freeAddress(ownHost), freeAddress(ownHost)]);
    const gateway = await startInProcess({ ...inProcessDefaults, callerAddress, readinessAddress, peerAddress,
        storeAddress: { host: ownHost, port: storePort } });
    const startedAt = performance.now();
    while (await readinessStatus(readinessAddress.port) !== 200) {
        if (performance.now() - startedAt > maxStartMs) {
            await gateway[Symbol.asyncDispose]();
            throw new Error(
                `the gateway does not become ready: ${JSON.stringify(gateway.logLines.slice(-maxShownLines))}`,
            );
        }
        await sleep(readinessIntervalMs);
    }
    return gateway;
}

function readinessStatus(port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        const outgoing = request({ host: ownHost, port, path: gatewayReadinessPath, agent: false }, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        });
        outgoing.on("error", reject);
        outgoing.end();
    });
}
