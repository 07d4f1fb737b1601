import { createRandom } from "@tamarackgauge/core";
import type { Random } from "@tamarackgauge/core";
import type { Experiment, Kind } from "./experiment.ts";
import type { CallStep, Program, Step } from "./program.ts";
import { callsOf, minEngineTimeMs } from "./work.ts";

/** A time span in ms of model time, with the load as a share of the first pool's capacity. */
export interface Phase {
    readonly fromMs: number;
    readonly toMs: number;
    readonly load: number;
}

/** Number of programs sampled to estimate the mean engine time of a program, which determines the arrival rate. */
const sampledPrograms = 2_000;

/** Generates programs with Poisson arrivals over the phases. The same arguments always give the same programs. */
export function generateTrace(experiment: Experiment, seed: number, phases: readonly Phase[]): readonly Program[] {
    const meanEngineTimeMs = computeMeanEngineTimeMs(experiment);
    const random = createRandom(seed);
    const programs: Program[] = [];
    for (const { fromMs, toMs, load } of phases) {
        const meanGapMs = meanEngineTimeMs / (experiment.pools[0].engines * load);
        const nextArrival = (previousMs: number) => previousMs - meanGapMs * Math.log(1 - random());
        for (let arrivalMs = nextArrival(fromMs); arrivalMs < toMs; arrivalMs = nextArrival(arrivalMs)) {
            programs.push(generateProgram(experiment, `p${programs.length}`, arrivalMs, random));
        }
    }
    return programs;
}

/** The phases of the steady runs. */
export function steadyPhases({ steadyMs }: Experiment, load: number): readonly Phase[] {
    return [{ fromMs: 0, toMs: steadyMs, load }];
}

/** The phases of the crest run: normal load, a burst, and normal load again. */
export function crestPhases({ crest }: Experiment): readonly Phase[] {
    const { load, burstLoad, fromMs, lengthMs, tailMs } = crest;
    const toMs = fromMs + lengthMs;
    return [
        { fromMs: 0, toMs: fromMs, load },
        { fromMs, toMs, load: burstLoad },
        { fromMs: toMs, toMs: toMs + tailMs, load },
    ];
}

function computeMeanEngineTimeMs(experiment: Experiment): number {
    // A fixed seed keeps the arrival rate the same for every seed of the trace.
    const random = createRandom(0);
    let sumMs = 0;
    for (let index = 0; index < sampledPrograms; index += 1) {
        sumMs += minEngineTimeMs(callsOf(generateProgram(experiment, "p", 0, random)), experiment.pools[0]);
    }
    return sumMs / sampledPrograms;
}

function generateProgram(experiment: Experiment, name: string, startMs: number, random: Random): Program {
    const kind = drawKind(experiment.kinds, random);
    const turns = drawInteger(kind.turns, random);
    const agentTurn = random() < kind.agentShare ? Math.floor(random() * turns) : -1;
    const steps: Step[] = [];
    for (let turn = 0; turn < turns; turn += 1) {
        steps.push(...generateTurn(experiment, kind, turn, random));
        if (turn === agentTurn) {
            steps.push(generateAgent(experiment, kind, random));
        }
    }
    const last = steps.at(-1)!;
    // The last step must be a model turn, because its request marks the end of the program.
    const completeSteps = last.type === "model"
        ? steps
        : [...steps, generateModelStep(experiment.pools[0].model, kind, 1, random)];
    return { name, plan: kind.plan, kind: kind.kind, long: kind.long, startMs, steps: completeSteps };
}

function generateTurn(experiment: Experiment, kind: Kind, turn: number, random: Random): CallStep[] {
    const model = generateModelStep(experiment.pools[0].model, kind, turn, random);
    if (random() >= kind.toolShare) {
        return [model];
    }
    const atMostOnce = random() < kind.atMostOnceShare;
    return [model, { type: "tool", service: experiment.service, atMostOnce, pauseMs: 0 }];
}

function generateAgent(experiment: Experiment, kind: Kind, random: Random): Step {
    const { model } = experiment.pools[1];
    const steps = Array.from({ length: drawInteger(kind.agentTurns, random) },
        (_, turn) => generateModelStep(model, kind, turn, random));
    return { type: "agent", steps };
}

function generateModelStep(model: string, kind: Kind, turn: number, random: Random): CallStep {
    return {
        type: "model",
        model,
        promptTokens: drawInteger(turn === 0 ? kind.firstTokens : kind.promptTokens, random),
        outputTokens: drawInteger(kind.outputTokens, random),
        pauseMs: drawInteger(kind.pauseMs, random),
    };
}

function drawKind(kinds: readonly Kind[], random: Random): Kind {
    let remaining = random() * kinds.reduce((sum, { share }) => sum + share, 0);
    return kinds.find(({ share }) => (remaining -= share) < 0) ?? kinds.at(-1)!;
}

function drawInteger([low, high]: readonly [number, number], random: Random): number {
    return Math.max(1, Math.floor(low + random() * (high - low + 1)));
}
