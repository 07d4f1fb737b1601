import { createRandom } from "@tamarackgauge/core";
import { setTimeout as sleep } from "node:timers/promises";
import { call, type CallerAnswer, type TestCall, turn } from "../test/harness.ts";
import { type SoakFleet, type SoakGateway, startSoakFleet } from "./soakFleet.ts";
import { type Breach, eventsOfTurn, judge, type SoakCall, type SoakEnd, type SoakTurn } from "./soakJudge.ts";
import { type Fault, planFaults } from "./soakPlan.ts";

/** What a soak is like. */
export interface SoakOptions {
    readonly seed: number;
    /** Milliseconds. */
    readonly time: number;
    readonly gateways: number;
    readonly callers: number;
}

/** What a soak has shown. */
export interface SoakResult {
    readonly plan: readonly Fault[];
    readonly calls: number;
    readonly answered: number;
    readonly breaches: readonly Breach[];
    /** Log lines of the calls of the first breaches. */
    readonly lines: readonly string[];
}

const turnsOfProgram = 4;
/** Token budgets of programs in turn: one holds all turns of 50 tokens, the other only some. */
const budgets = [1_000, 130];
const triesOfTurn = 3;
const budgetSpent = 402;
const pauseAfterFailure = 100;
/** Nobody can wait longer than that for an answer, in ms. */
const patience = 12_000;
/** Service is back within this after the last fault, in ms. */
const recoveryTime = 5_000;
const explainedBreaches = 3;

/** Plays programs against gateways that faults strike, and judges what callers and upstreams saw. */
export async function soak(options: SoakOptions): Promise<SoakResult> {
    const random = createRandom(options.seed);
    const plan = planFaults(options.time, options.gateways * 3, random);
    await using fleet = await startSoakFleet(options.gateways);
    const ends: SoakEnd[] = [];
    const startedAt = performance.now();
    let isOver = false;
    const callers = Array.from({ length: options.callers }, (_, index) => callOn(index));
    await Promise.all(plan.map(async fault => {
        await sleep(fault.at);
        await fleet.strike(fault);
    }));
    await sleep(Math.max(0, startedAt + options.time - performance.now()));
    isOver = true;
    await Promise.all(callers);
    const breaches = [...judge(ends, fleet.runs()), ...fleet.exits().map(exitBreach), ...await recoveryBreaches(fleet)];
    return {
        plan,
        calls: ends.length,
        answered: ends.filter(({ answer }) => answer?.status === 200 && answer.whole).length,
        breaches,
        lines: breaches.slice(0, explainedBreaches).flatMap(breach => fleet.linesOf(breach.call)),
    };

    async function callOn(caller: number): Promise<void> {
        for (let serial = 0; !isOver; serial += 1) {
            await playProgram(`p${caller}-${serial}`, budgets[serial % budgets.length]!);
        }
    }

    async function playProgram(program: string, budget: number): Promise<void> {
        const before: string[] = [];
        while (before.length < turnsOfProgram && !isOver) {
            const id = await playTurn({ program, budget, before: [...before] });
            if (id === undefined) {
                return;
            }
            before.push(id);
            await make({ path: "/pay/x", id: `${id}-pay`, body: "x" }, { turn: undefined,
                expected: toolAnswer(`${id}-pay`) });
        }
    }

    /** The identity of the try that was answered whole. */
    async function playTurn(played: SoakTurn): Promise<string | undefined> {
        for (let tries = 0; tries < triesOfTurn && !isOver; tries += 1) {
            const id = `${played.program}-${played.before.length}-${tries}`;
            const answer = await make(turn(id, played.program, played.before.at(-1), played.budget), { turn: played,
                expected: turnAnswer(id) });
            if (answer?.status === 200 && answer.whole) {
                return id;
            }
            if (answer?.status === budgetSpent) {
                return undefined;
            }
            await sleep(pauseAfterFailure);
        }
        return undefined;
    }

    async function make(outgoing: TestCall, { turn: played, expected }: Pick<SoakCall, "turn" | "expected">) {
        const gateway = pickGateway();
        const sentAt = performance.now();
        const answer = await answerOf(gateway, outgoing);
        ends.push({ call: { id: outgoing.id, turn: played, expected }, answer, time: performance.now() - sentAt,
            excused: gateway.undisturbedSince > sentAt });
        return answer;
    }

    /** Also one that is about to stop: what it takes until then it must answer. */
    function pickGateway(): SoakGateway {
        return fleet.gateways[Math.floor(Math.random() * fleet.gateways.length)]!;
    }
}

/** Undefined if the connection ends without an answer. */
async function answerOf(gateway: SoakGateway, outgoing: TestCall): Promise<CallerAnswer | undefined> {
    return Promise.race([call(gateway, outgoing).catch(() => undefined), sleep(patience, undefined, { ref: false })]);
}

/** Each gateway serves a turn and a tool call soon after the last fault. */
async function recoveryBreaches(fleet: SoakFleet): Promise<readonly Breach[]> {
    const until = performance.now() + recoveryTime;
    const served = await Promise.all(fleet.gateways.map(async (gateway, index) => {
        for (let tries = 0; performance.now() < until; tries += 1) {
            const id = `after-${index}-${tries}`;
            const answers = await Promise.all([answerOf(gateway, turn(id, id)),
                answerOf(gateway, { path: "/pay/x", id: `${id}-pay`, body: "x" })]);
            if (answers.every(answer => answer?.status === 200)) {
                return true;
            }
            await sleep(pauseAfterFailure);
        }
        return false;
    }));
    return served.flatMap((isServed, index) =>
        isServed ? [] : [{ promise: "service is back after the last fault", call: `after-${index}-0`, detail: "" }]
    );
}

function exitBreach(detail: string): Breach {
    return { promise: "no process ends by itself", call: "", detail };
}

function turnAnswer(id: string): RegExp {
    const events = Array.from({ length: eventsOfTurn },
        (_, index) => `id: ${index + 1}\ndata: event ${index + 1} of ${id}\n\n`);
    return new RegExp(`^${events.join("")}$`);
}

function toolAnswer(id: string): RegExp {
    return new RegExp(`^answer of \\S+ to ${id}$`);
}
