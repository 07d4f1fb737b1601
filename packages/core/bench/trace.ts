import type { Random } from "../src/index.ts";
import { defaultEngineModel } from "./engine.ts";
import type { Program, Turn } from "./world.ts";

/** Parameters of a kind of program; ranges are uniform and inclusive. The first prompt includes the instructions. */
interface ProgramKind {
    readonly kind: string;
    readonly firstPromptTokens: readonly [number, number];
    readonly turns: readonly [number, number];
    readonly newTokens: readonly [number, number];
    readonly outputTokens: readonly [number, number];
}

/** Programs of a few short questions, and long programs whose history grows to 25,000-90,000 tokens. */
const shortKind: ProgramKind = { kind: "short", turns: [2, 5], firstPromptTokens: [400, 2_000], newTokens: [150, 600],
    outputTokens: [20, 80] };
const longKind: ProgramKind = { kind: "long", turns: [20, 40], firstPromptTokens: [400, 2_000], newTokens: [500, 2_500],
    outputTokens: [60, 200] };

const pauseMs = [200, 1_000] as const;
const longShare = 0.05;
const planCount = 4;

/** Engine time of a program, assuming a full batch and that every prefix is cached. */
export function engineTimeMs(turns: readonly Turn[]): number {
    const tokenMs = defaultEngineModel.sequenceMs + defaultEngineModel.stepMs / defaultEngineModel.maxBatchSize;
    return turns.reduce(
        (sum, turn) => sum + turn.newTokens * defaultEngineModel.prefillMsPerToken + turn.outputTokens * tokenMs,
        0,
    );
}

/** A phase of a trace; the load is a share of the engines' capacity. */
export interface Phase {
    readonly fromMs: number;
    readonly toMs: number;
    readonly load: number;
}

/** Creates programs with Poisson arrivals in the given phases; most of them are short. */
export function createTrace(random: Random, engines: number, phases: readonly Phase[]): Program[] {
    const meanEngineMs = (1 - longShare) * meanEngineTimeMs(shortKind) + longShare * meanEngineTimeMs(longKind);
    const programs: Program[] = [];
    for (const { fromMs, toMs, load } of phases) {
        const meanGapMs = meanEngineMs / (engines * load);
        for (let startMs = fromMs - meanGapMs * Math.log(1 - random()); startMs < toMs;
            startMs -= meanGapMs * Math.log(1 - random())) {
            const kind = random() < longShare ? longKind : shortKind;
            const name = `p${programs.length}`;
            programs.push({ name, plan: `plan${Math.floor(random() * planCount)}`, kind: kind.kind, startMs,
                turns: createTurns(kind, random) });
        }
    }
    return programs;
}

function createTurns(kind: ProgramKind, random: Random): Turn[] {
    const draw = ([low, high]: readonly [number, number]) => low + Math.floor(random() * (high - low + 1));
    return Array.from({ length: draw(kind.turns) },
        () => ({ newTokens: draw(kind.newTokens), outputTokens: draw(kind.outputTokens), pauseMs: draw(pauseMs) }));
}

function meanEngineTimeMs(
    { turns, firstPromptTokens, newTokens, outputTokens }: ProgramKind,
): number {
    const mean = ([low, high]: readonly [number, number]) => (low + high) / 2;
    const turn = (prompt: readonly [number, number]) => ({ newTokens: mean(prompt), outputTokens: mean(outputTokens),
        pauseMs: 0 });
    return engineTimeMs([turn(firstPromptTokens)]) + (mean(turns) - 1) * engineTimeMs([turn(newTokens)]);
}
