import type { Random } from "../src/index.ts";
import { usualModel } from "./engine.ts";
import type { Program, Turn } from "./world.ts";

/** Shape of a kind of program; ranges are uniform and inclusive. The first prompt carries the instructions. */
interface Kind {
    readonly kind: string;
    readonly first: readonly [number, number];
    readonly turns: readonly [number, number];
    readonly fresh: readonly [number, number];
    readonly output: readonly [number, number];
}

/** Quick questions, and walkthroughs whose history grows to 25,000-90,000 tokens. */
const shortKind: Kind = { kind: "short", turns: [2, 5], first: [400, 2_000], fresh: [150, 600], output: [20, 80] };
const longKind: Kind = { kind: "long", turns: [20, 40], first: [400, 2_000], fresh: [500, 2_500], output: [60, 200] };

const pauseMs = [200, 1_000] as const;
const longShare = 0.05;
const plans = 4;

/** Engine time of a program in ms with a full batch and every prefix cached. */
export function engineTimeMs(turns: readonly Turn[]): number {
    const tokenMs = usualModel.sequenceMs + usualModel.stepMs / usualModel.slots;
    return turns.reduce((sum, turn) => sum + turn.fresh * usualModel.prefillMs + turn.output * tokenMs, 0);
}

/** What a trace is made of: phases with a load in shares of what the engines can do. */
export interface Phase {
    readonly from: number;
    readonly to: number;
    readonly load: number;
}

/** Programs with Poisson arrivals over the phases; the mix is mostly short programs. */
export function createTrace(random: Random, engines: number, phases: readonly Phase[]): Program[] {
    const meanMs = (1 - longShare) * meanEngineTime(shortKind) + longShare * meanEngineTime(longKind);
    const programs: Program[] = [];
    for (const { from, to, load } of phases) {
        const gapMs = meanMs / (engines * load);
        for (let at = from - gapMs * Math.log(1 - random()); at < to; at -= gapMs * Math.log(1 - random())) {
            const kind = random() < longShare ? longKind : shortKind;
            const name = `p${programs.length}`;
            programs.push({ name, plan: `plan${Math.floor(random() * plans)}`, kind: kind.kind, startMs: at,
                turns: turnsOf(kind, random) });
        }
    }
    return programs;
}

function turnsOf(kind: Kind, random: Random): Turn[] {
    const draw = ([low, high]: readonly [number, number]) => low + Math.floor(random() * (high - low + 1));
    return Array.from({ length: draw(kind.turns) },
        () => ({ fresh: draw(kind.fresh), output: draw(kind.output), pauseMs: draw(pauseMs) }));
}

function meanEngineTime({ turns, first, fresh, output }: Kind): number {
    const mean = ([low, high]: readonly [number, number]) => (low + high) / 2;
    const turn = (prompt: readonly [number, number]) => ({ fresh: mean(prompt), output: mean(output), pauseMs: 0 });
    return engineTimeMs([turn(first)]) + (mean(turns) - 1) * engineTimeMs([turn(fresh)]);
}
