import { createRandom } from "@tamarackgauge/core";
import type { Arrival } from "@tamarackgauge/standin";
import { setTimeout as sleep } from "node:timers/promises";
import { buildDeployedProgram } from "../test/gatewayProcess.ts";
import { call, type CallerAnswer, type TestCall, turnCall } from "../test/harness.ts";
import { type SoakFleet, type SoakGateway, startSoakFleet } from "./soakFleet.ts";
import { eventsPerTurn, findLimitViolations, findViolations, type SoakCall, type SoakOutcome, type SoakTurn,
    type Violation } from "./soakJudge.ts";
import { type Fault, planFaults, planLimits, type PlannedLimit } from "./soakPlan.ts";

/** Options of a soak. */
export interface SoakOptions {
    readonly seed: number;
    readonly durationMs: number;
    readonly gateways: number;
    readonly callers: number;
    /** Starts the built gateway as it is deployed, on VMs with this memory; when omitted, the sources are run. */
    readonly memoryMb?: number;
    /** Maximum number of open descriptors of a gateway. */
    readonly maxDescriptors?: number;
    /** Seconds from SIGTERM until the platform kills a gateway. */
    readonly graceS?: number;
}

/** Result of a soak. */
export interface SoakResult {
    readonly plan: readonly Fault[];
    readonly limits: readonly PlannedLimit[];
    readonly calls: number;
    readonly completeAnswers: number;
    readonly violations: readonly Violation[];
    /** Starts that took longer than a gateway should need. */
    readonly slowStarts: readonly string[];
    /** The most memory that a process had, in megabytes. */
    readonly maxMegabytes: number;
    /** Log lines of the calls of the first violations. */
    readonly logLines: readonly string[];
}

const turnsPerProgram = 4;
/** Token budgets, used alternately: the first covers all turns of a program (50 tokens each), the second only some. */
const budgets = [1_000, 130];
const maxTurnAttempts = 3;
const paymentRequired = 402;
const retryDelayMs = 100;
/** Time after which a caller stops waiting for an answer; longer than any call may take. */
const answerTimeoutMs = 12_000;
/** Time after the last fault within which all gateways must serve calls again. */
const recoveryTimeoutMs = 5_000;
const explainedViolations = 3;
/** Two engines and a tool. */
const upstreamCount = 3;
/** Time for which an interruption excuses the requests of its gateway from rate limits. */
const excusedMs = 3_000;

/** Runs programs against gateways while faults are injected, and checks what callers and upstreams observed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const random = createRandom(options.seed);
    const plan = planFaults(options.durationMs, options.gateways * 3, random);
    const limits = planLimits(options.durationMs, upstreamCount, random);
    const { memoryMb, maxDescriptors, graceS } = options;
    await using deployed = memoryMb === undefined ? undefined : await buildDeployedProgram();
    await using fleet = await startSoakFleet(options.gateways, { maxDescriptors, graceS,
        ...deployed === undefined ? {} : { program: deployed.program, memoryMb } });
    const outcomes: SoakOutcome[] = [];
    const gatewayOfCall = new Map<string, SoakGateway>();
    const startedAt = performance.now();
    let isOver = false;
    const callers = Array.from({ length: options.callers }, (_, index) => runCaller(index));
    await Promise.all([
        ...plan.map(fault => sleep(fault.startMs).then(() => fleet.injectFault(fault))),
        ...limits.map(limit => sleep(limit.startMs).then(() => fleet.limit(limit))),
    ]);
    await sleep(Math.max(0, startedAt + options.durationMs - performance.now()));
    isOver = true;
    await Promise.all(callers);
    const violations = [...findViolations(outcomes, fleet.executions()),
        ...findLimitViolations(fleet.upstreams(), isExcused), ...fleet.unexpectedExits().map(exitViolation),
        ...await findRecoveryViolations(fleet), ...findMemoryViolations(fleet, memoryMb)];
    return {
        plan,
        limits,
        calls: outcomes.length,
        completeAnswers: outcomes.filter(({ answer }) => answer?.status === 200 && answer.whole).length,
        violations,
        slowStarts: fleet.slowStarts(),
        maxMegabytes: fleet.maxMegabytes(),
        logLines: violations.slice(0, explainedViolations).flatMap(violation => fleet.linesOf(violation.call)),
    };

    async function runCaller(caller: number): Promise<void> {
        for (let programIndex = 0; !isOver; programIndex += 1) {
            await runProgram(`p${caller}-${programIndex}`, budgets[programIndex % budgets.length]!);
        }
    }

    async function runProgram(program: string, budget: number): Promise<void> {
        const previousTurns: string[] = [];
        while (previousTurns.length < turnsPerProgram && !isOver) {
            const id = await runTurn({ program, budget, previousTurns: [...previousTurns] });
            if (id === undefined) {
                return;
            }
            previousTurns.push(id);
            await makeCall({ path: "/pay/x", id: `${id}-pay`, body: "x" }, { turn: undefined,
                expected: expectedToolAnswer(`${id}-pay`) });
        }
    }

    /** Returns the id of the attempt that got a complete answer; undefined if none did. */
    async function runTurn(soakTurn: SoakTurn): Promise<string | undefined> {
        for (let attempt = 0; attempt < maxTurnAttempts && !isOver; attempt += 1) {
            const id = `${soakTurn.program}-${soakTurn.previousTurns.length}-${attempt}`;
            const answer = await makeCall(
                turnCall(id, soakTurn.program, soakTurn.previousTurns.at(-1), soakTurn.budget),
                { turn: soakTurn, expected: expectedTurnAnswer(id) },
            );
            if (answer?.status === 200 && answer.whole) {
                return id;
            }
            if (answer?.status === paymentRequired) {
                return undefined;
            }
            await sleep(retryDelayMs);
        }
        return undefined;
    }

    async function makeCall(outgoing: TestCall, { turn: soakTurn, expected }: Pick<SoakCall, "turn" | "expected">) {
        const gateway = pickGateway();
        gatewayOfCall.set(outgoing.id, gateway);
        const sentAt = performance.now();
        const answer = await tryCall(gateway, outgoing);
        outcomes.push({ call: { id: outgoing.id, turn: soakTurn, expected }, answer,
            durationMs: performance.now() - sentAt, disturbed: gateway.undisturbedSince > sentAt });
        return answer;
    }

    /** Whether a request comes from a gateway that was interrupted shortly before, and so may not know of a limit. */
    function isExcused({ id, at }: Arrival): boolean {
        const interruptions = gatewayOfCall.get(id)?.interruptions ?? [];
        return interruptions.some(({ from, to }) => at >= from && at < to + excusedMs);
    }

    /** Includes gateways that are shutting down, because they must answer every call that they accept. */
    function pickGateway(): SoakGateway {
        return fleet.gateways[Math.floor(Math.random() * fleet.gateways.length)]!;
    }
}

/** Makes a call; undefined if the connection ends without an answer or the answer takes too long. */
async function tryCall(gateway: SoakGateway, outgoing: TestCall): Promise<CallerAnswer | undefined> {
    return Promise.race([call(gateway, outgoing).catch(() => undefined),
        sleep(answerTimeoutMs, undefined, { ref: false })]);
}

/** Checks that each gateway serves a turn and a tool call soon after the last fault. */
async function findRecoveryViolations(fleet: SoakFleet): Promise<readonly Violation[]> {
    const deadline = performance.now() + recoveryTimeoutMs;
    const recovered = await Promise.all(fleet.gateways.map(async (gateway, index) => {
        for (let attempt = 0; performance.now() < deadline; attempt += 1) {
            const id = `after-${index}-${attempt}`;
            const answers = await Promise.all([tryCall(gateway, turnCall(id, id)),
                tryCall(gateway, { path: "/pay/x", id: `${id}-pay`, body: "x" })]);
            if (answers.every(answer => answer?.status === 200)) {
                return true;
            }
            await sleep(retryDelayMs);
        }
        return false;
    }));
    return recovered.flatMap((hasRecovered, index) =>
        hasRecovered
            ? []
            : [{ invariant: "calls are served after the last fault", call: `after-${index}-0`, detail: "" }]
    );
}

function findMemoryViolations(fleet: SoakFleet, memoryMb = Infinity): readonly Violation[] {
    const maxMegabytes = fleet.maxMegabytes();
    return maxMegabytes <= memoryMb
        ? []
        : [{ invariant: "a process stays within the memory of its VM", call: "", detail: `${maxMegabytes} MB` }];
}

function exitViolation(detail: string): Violation {
    return { invariant: "no process exits unexpectedly", call: "", detail };
}

function expectedTurnAnswer(id: string): RegExp {
    const events = Array.from({ length: eventsPerTurn },
        (_, index) => `id: ${index + 1}\ndata: event ${index + 1} of ${id}\n\n`);
    return new RegExp(`^${events.join("")}$`);
}

function expectedToolAnswer(id: string): RegExp {
    return new RegExp(`^answer of \\S+ to ${id}$`);
}
