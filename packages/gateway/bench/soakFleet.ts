import type { FleetBehaviour, FleetEngine, RowStoreDoor, RowStoreTrouble } from "@tamarackgauge/standin";
import { setTimeout as sleep } from "node:timers/promises";
import { chooseAddresses, type GatewayAddresses, type GatewayProcess, startAt } from "../test/gatewayProcess.ts";
import { createFleet, type Fleet } from "../test/harness.ts";
import type { SoakRun } from "./soakJudge.ts";
import type { Fault, FaultKind } from "./soakPlan.ts";

/** A gateway of a soak, over all processes that serve at its addresses. */
export interface SoakGateway {
    readonly settings: GatewayAddresses;
    /** Not since then has its process been killed or paused, in monotonic milliseconds. */
    undisturbedSince: number;
}

/** Gateways as processes, stand-ins for all else, and faults that strike them. */
export interface SoakFleet extends AsyncDisposable {
    readonly gateways: readonly SoakGateway[];
    /** Strikes, and resolves when the fault is over. */
    strike(fault: Fault): Promise<void>;
    runs(): readonly SoakRun[];
    /** Exits that no fault has caused. */
    exits(): readonly string[];
    /** Lines of all gateways that name a call. */
    linesOf(call: string): readonly string[];
}

interface Member extends SoakGateway {
    readonly name: string;
    readonly door: RowStoreDoor;
    process: GatewayProcess;
    /** A fault ends its process, so that an exit is expected. */
    mayExit: boolean;
    /** The last change of its process; changes come one after another. */
    changing: Promise<void>;
}

const storeTroubles: Partial<Record<FaultKind, RowStoreTrouble>> = {
    storeReset: { mode: "reset" },
    storeSilent: { mode: "silent" },
    storeBusy: { mode: "busy" },
    storeSlow: { mode: "slow", ms: 250 },
    storeLostReply: { mode: "lostReply", count: 3 },
    storeLateWrite: { mode: "lateWrite", ms: 400, count: 3 },
};
/** Calls that an upstream in trouble treats so. */
const struckCalls = 4;

/** Starts the fleet. */
export async function startSoakFleet(count: number): Promise<SoakFleet> {
    const fleet = await createFleet();
    fleet.register(fleet.spare);
    const processes: GatewayProcess[] = [];
    const exits: string[] = [];
    const members = await Promise.all(Array.from({ length: count }, (_, index) => startMember(fleet, `g${index}`)));
    members.forEach(watch);

    function watch(member: Member): void {
        const { process } = member;
        processes.push(process);
        void process.ended.then(code => {
            if (!member.mayExit && member.process === process) {
                exits.push(`${member.name} ended with ${code}`);
            }
        });
    }

    async function replace(member: Member, signal: "SIGTERM" | "SIGKILL"): Promise<void> {
        member.mayExit = true;
        member.process.child.kill(signal);
        const code = await member.process.ended;
        if (signal === "SIGTERM" && code !== 0) {
            exits.push(`${member.name} ended with ${code} after SIGTERM`);
        }
        await member.process[Symbol.asyncDispose]();
        member.process = await startAt(member.door, member.settings, member.name);
        watch(member);
        member.mayExit = false;
    }

    async function kill(member: Member): Promise<void> {
        member.undisturbedSince = Infinity;
        await replace(member, "SIGKILL");
        member.undisturbedSince = performance.now();
    }

    async function pause(member: Member, length: number): Promise<void> {
        member.undisturbedSince = Infinity;
        member.process.child.kill("SIGSTOP");
        await sleep(length);
        member.process.child.kill("SIGCONT");
        member.undisturbedSince = performance.now();
    }

    function change(member: Member, act: () => Promise<void>): Promise<void> {
        member.changing = member.changing.then(act);
        return member.changing;
    }

    async function trouble(doors: readonly RowStoreDoor[], kind: RowStoreTrouble, length: number): Promise<void> {
        doors.forEach(door => door.setTrouble(kind));
        await sleep(length);
        doors.forEach(door => door.setTrouble(undefined));
    }

    async function leave(length: number): Promise<void> {
        fleet.register(fleet.spare, { state: "draining", sequence: 2 });
        await sleep(length);
        fleet.register(fleet.spare, { sequence: 3 });
    }

    async function strike({ kind, target, length }: Fault): Promise<void> {
        const member = members[target % members.length]!;
        const storeTrouble = storeTroubles[kind];
        if (storeTrouble !== undefined) {
            return trouble([member.door], storeTrouble, length);
        }
        switch (kind) {
            case "stop":
                return change(member, () => replace(member, "SIGTERM"));
            case "kill":
                return change(member, () => kill(member));
            case "pause":
                return change(member, () => pause(member, length));
            case "reload":
                return change(member, async () => void member.process.child.kill("SIGHUP"));
            case "storeAway":
                return trouble(members.map(({ door }) => door), { mode: "reset" }, length);
            case "leave":
                return leave(length);
            default:
                upstreamOf(fleet, target).behave(...Array<FleetBehaviour>(struckCalls).fill(kind as FleetBehaviour));
        }
    }

    return {
        gateways: members,
        strike,
        runs: () => [fleet.engine, fleet.spare, fleet.tool].flatMap(({ ran }) => ran),
        exits: () => exits,
        linesOf: call =>
            processes.flatMap(process => process.log().split("\n")).filter(line => line.includes(`"${call}"`)),
        async [Symbol.asyncDispose]() {
            await Promise.all(members.map(member => member.changing));
            members.forEach(member => member.mayExit = true);
            await Promise.all(members.map(({ process }) => process[Symbol.asyncDispose]()));
            await fleet[Symbol.asyncDispose]();
        },
    };
}

async function startMember(fleet: Fleet, name: string): Promise<Member> {
    const door = await fleet.rows.open();
    const settings = await chooseAddresses();
    const process = await startAt(door, settings, name);
    return { name, door, settings, process, undisturbedSince: performance.now(), mayExit: false,
        changing: Promise.resolve() };
}

function upstreamOf(fleet: Fleet, target: number): FleetEngine {
    return [fleet.engine, fleet.spare, fleet.tool][target % 3]!;
}
