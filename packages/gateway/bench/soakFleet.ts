import type { GatewayUpstream, RowStoreFault, RowStoreListener, UpstreamBehaviour } from "@tamarackgauge/standin";
import { setTimeout as sleep } from "node:timers/promises";
import { chooseAddresses, type GatewayAddresses, type GatewayProcess, occupyPort, type ProcessOptions,
    residentMegabytes, spawnProcessAt, waitUntilProcessReady } from "../test/gatewayProcess.ts";
import { createFleet, type Fleet } from "../test/harness.ts";
import type { LimitedUpstream, SoakExecution } from "./soakJudge.ts";
import type { Fault, FaultKind, PlannedLimit } from "./soakPlan.ts";

/** A gateway of a soak. It keeps its addresses when its process is restarted. */
export interface SoakGateway {
    readonly settings: GatewayAddresses;
    /** Monotonic time in ms at which its process last recovered from a kill or a pause; `Infinity` meanwhile. */
    undisturbedSince: number;
    /** Its current process. */
    readonly process: GatewayProcess;
    /** Times at which its process was not running or had just begun to run. */
    readonly interruptions: readonly Interruption[];
}

/** A time at which a gateway was killed, stopped or paused, in monotonic ms; `to` is infinite while it lasts. */
export interface Interruption {
    readonly from: number;
    to: number;
}

/** Gateway processes and stand-ins for everything else, with fault injection. */
export interface SoakFleet extends AsyncDisposable {
    readonly gateways: readonly SoakGateway[];
    /** Injects a fault and resolves when it is over. */
    injectFault(fault: Fault): Promise<void>;
    /** Lets an upstream name a rate limit and resolves when it has ended. */
    limit(limit: PlannedLimit): Promise<void>;
    executions(): readonly SoakExecution[];
    upstreams(): readonly LimitedUpstream[];
    /** Ends of processes that no fault caused, each with what the process wrote. */
    unexpectedExits(): readonly string[];
    /** Starts that took longer than a gateway should need, with what the process logged. */
    slowStarts(): readonly string[];
    /** The most memory that a process had, in megabytes. */
    maxMegabytes(): number;
    /** Log lines of all gateways that contain the id of a call. */
    linesOf(call: string): readonly string[];
}

interface GatewayMember extends SoakGateway {
    readonly name: string;
    readonly storeEndpoint: RowStoreListener;
    process: GatewayProcess;
    /** A fault is ending the process, so its exit is expected. */
    exitExpected: boolean;
    /** The latest kill, restart, pause or reload of the process; each waits for the previous one. */
    lastChange: Promise<void>;
    readonly interruptions: Interruption[];
}

const storeFaults: Partial<Record<FaultKind, RowStoreFault>> = {
    storeReset: { mode: "reset" },
    storeSilent: { mode: "silent" },
    storeBusy: { mode: "busy" },
    storeSlow: { mode: "slow", ms: 250 },
    storeLostReply: { mode: "lostReply", count: 3 },
    storeLateWrite: { mode: "lateWrite", ms: 400, count: 3 },
};
/** Number of calls that a fault of an upstream affects. */
const affectedCalls = 4;

const memorySamplingIntervalMs = 50;
/** Time after which the platform starts a process anew that has ended by itself. */
const restartDelayMs = 500;
/** A start that takes longer is reported. */
const maxStartMs = 3_000;
const portsOfGateway = ["callerAddress", "readinessAddress", "peerAddress", "metricsAddress"] as const;

/** Starts the fleet. `processOptions` apply to each gateway. */
export async function startSoakFleet(count: number, processOptions: ProcessOptions = {}): Promise<SoakFleet> {
    const fleet = await createFleet();
    fleet.registerUpstream(fleet.spareEngine);
    const processes: GatewayProcess[] = [];
    const unexpectedExits: string[] = [];
    const slowStarts: string[] = [];
    let maxMegabytes = 0;
    const members = await Promise.all(
        Array.from({ length: count }, (_, index) => createMember(fleet, { ...processOptions, name: `g${index}` })),
    );
    await Promise.all(members.map(becomeReady));
    const memorySampling = setInterval(() => {
        maxMegabytes = Math.max(maxMegabytes, ...members.map(({ process }) => residentMegabytes(process)));
    }, memorySamplingIntervalMs);

    /** Waits until the current process of the member is ready or ends; if no fault ends it, now or later, it is replaced. */
    async function becomeReady(member: GatewayMember): Promise<void> {
        const { process } = member;
        const startedAt = performance.now();
        processes.push(process);
        const ended = process.exited.then(code => {
            if (!member.exitExpected && member.process === process) {
                void replaceEnded(member, code);
            }
        });
        await Promise.race([waitUntilProcessReady(process), ended]);
        recordStart(member, performance.now() - startedAt);
    }

    /** Starts a process that ended by itself anew after a short delay, as the platform does. */
    async function replaceEnded(member: GatewayMember, code: number | string): Promise<void> {
        unexpectedExits.push(describeExit(member, code));
        member.undisturbedSince = Infinity;
        await runAfterLastChange(member, async () => {
            await sleep(restartDelayMs);
            await start(member);
            member.undisturbedSince = performance.now();
        });
    }

    async function start(member: GatewayMember): Promise<void> {
        await member.process[Symbol.asyncDispose]();
        member.process = await spawnProcessAt(member.storeEndpoint, member.settings, { ...processOptions,
            name: member.name });
        member.exitExpected = false;
        await becomeReady(member);
    }

    async function restart(member: GatewayMember, signal: "SIGTERM" | "SIGKILL",
        beforeStart = async () => undefined as unknown): Promise<void> {
        member.exitExpected = true;
        member.process.child.kill(signal);
        const code = await member.process.exited;
        if (signal === "SIGTERM" && code !== 0) {
            unexpectedExits.push(`after SIGTERM, ${describeExit(member, code)}`);
        }
        await beforeStart();
        await start(member);
    }

    function recordStart({ name, process }: GatewayMember, durationMs: number): void {
        if (durationMs > maxStartMs) {
            slowStarts.push(`${name} was ready after ${Math.round(durationMs)} ms\n${process.output()}`);
        }
    }

    async function kill(member: GatewayMember, beforeStart?: () => Promise<unknown>): Promise<void> {
        member.undisturbedSince = Infinity;
        await restart(member, "SIGKILL", beforeStart);
        member.undisturbedSince = performance.now();
    }

    /** Another process takes one of the gateway's ports while the gateway is down, and keeps it for some time. */
    async function occupyWhileDown(member: GatewayMember, target: number, durationMs: number): Promise<void> {
        const occupied = await occupyPort(member.settings[portsOfGateway[target % portsOfGateway.length]!]);
        setTimeout(() => void occupied[Symbol.asyncDispose](), durationMs);
    }

    async function pause(member: GatewayMember, durationMs: number): Promise<void> {
        member.undisturbedSince = Infinity;
        member.process.child.kill("SIGSTOP");
        await sleep(durationMs);
        member.process.child.kill("SIGCONT");
        member.undisturbedSince = performance.now();
    }

    function runAfterLastChange(member: GatewayMember, action: () => Promise<void>): Promise<void> {
        member.lastChange = member.lastChange.then(action);
        return member.lastChange;
    }

    function interrupt(member: GatewayMember, action: () => Promise<void>): Promise<void> {
        return runAfterLastChange(member, async () => {
            const interruption = { from: performance.now(), to: Infinity };
            member.interruptions.push(interruption);
            await action();
            interruption.to = performance.now();
        });
    }

    async function disturbStore(storeEndpoints: readonly RowStoreListener[], storeFault: RowStoreFault,
        durationMs: number): Promise<void> {
        storeEndpoints.forEach(storeEndpoint => storeEndpoint.setFault(storeFault));
        await sleep(durationMs);
        storeEndpoints.forEach(storeEndpoint => storeEndpoint.setFault(undefined));
    }

    async function drainSpareEngine(durationMs: number): Promise<void> {
        fleet.registerUpstream(fleet.spareEngine, { state: "draining", sequence: 2 });
        await sleep(durationMs);
        fleet.registerUpstream(fleet.spareEngine, { sequence: 3 });
    }

    async function injectFault({ kind, target, durationMs }: Fault): Promise<void> {
        const member = members[target % members.length]!;
        const storeFault = storeFaults[kind];
        if (storeFault !== undefined) {
            return disturbStore([member.storeEndpoint], storeFault, durationMs);
        }
        switch (kind) {
            case "stop":
                return interrupt(member, () => restart(member, "SIGTERM"));
            case "kill":
                return interrupt(member, () => kill(member));
            case "portInUse":
                return interrupt(member, () => kill(member, () => occupyWhileDown(member, target, durationMs)));
            case "pause":
                return interrupt(member, () => pause(member, durationMs));
            case "reload":
                return runAfterLastChange(member, async () => void member.process.child.kill("SIGHUP"));
            case "storeAway":
                return disturbStore(members.map(({ storeEndpoint }) => storeEndpoint), { mode: "reset" }, durationMs);
            case "leave":
                return drainSpareEngine(durationMs);
            default:
                pickUpstream(fleet, target).behave(
                    ...Array<UpstreamBehaviour>(affectedCalls).fill(kind as UpstreamBehaviour),
                );
        }
    }

    return {
        gateways: members,
        injectFault,
        async limit({ target, durationMs, requestsPerSecond }) {
            pickUpstream(fleet, target).limit(requestsPerSecond);
            await sleep(durationMs);
            pickUpstream(fleet, target).limit(undefined);
        },
        upstreams: () => [fleet.engine, fleet.spareEngine, fleet.tool],
        executions: () => [fleet.engine, fleet.spareEngine, fleet.tool].flatMap(({ executed }) => executed),
        unexpectedExits: () => unexpectedExits,
        slowStarts: () => slowStarts,
        maxMegabytes: () => maxMegabytes,
        linesOf: call =>
            processes.flatMap(process => process.output().split("\n")).filter(line => line.includes(`"${call}"`)),
        async [Symbol.asyncDispose]() {
            await Promise.all(members.map(member => member.lastChange));
            clearInterval(memorySampling);
            members.forEach(member => member.exitExpected = true);
            await Promise.all(members.map(({ process }) => process[Symbol.asyncDispose]()));
            await fleet[Symbol.asyncDispose]();
        },
    };
}

async function createMember(fleet: Fleet,
    options: ProcessOptions & { readonly name: string; }): Promise<GatewayMember> {
    const storeEndpoint = await fleet.rowStore.open();
    const settings = await chooseAddresses();
    const process = await spawnProcessAt(storeEndpoint, settings, options);
    return { name: options.name, storeEndpoint, settings, process, undisturbedSince: performance.now(),
        exitExpected: false, lastChange: Promise.resolve(), interruptions: [] };
}

function describeExit({ name, process }: GatewayMember, code: number | string): string {
    return `${name} ended with ${code}\n${process.output()}${process.errors()}`;
}

function pickUpstream(fleet: Fleet, target: number): GatewayUpstream {
    return [fleet.engine, fleet.spareEngine, fleet.tool][target % 3]!;
}
