import fc from "fast-check";
import { scriptArbitrary, type Side } from "./arbitrary.ts";
import { judge, type Violation } from "./oracle.ts";
import { type Play, playScript } from "./play.ts";
import type { Script } from "./script.ts";

/** What a run of the fuzzer plays. */
export interface RunOptions {
    readonly side: Side;
    readonly seed: number;
    readonly runs: number;
    /** No further script is started after this time. */
    readonly maxMs?: number;
    readonly concurrency?: number;
    /** Time for finding the shortest script. */
    readonly maxShrinkMs?: number;
}

/** Where a script comes from. */
interface ScriptPlace {
    readonly side: Side;
    readonly seed: number;
    /** Number of the script among those of its seed. */
    readonly run: number;
}

/** A script that broke a rule. */
export interface Find extends ScriptPlace {
    readonly script: Script;
    readonly violations: readonly Violation[];
    readonly logLines: Play["logLines"];
    /** Whether the script, played again as it was, broke a rule again. */
    readonly isReproduced: boolean;
}

/** Result of a run. */
export interface RunResult {
    readonly plays: number;
    readonly elapsedMs: number;
    readonly find: Find | undefined;
}

const defaultConcurrency = 16;
const defaultMaxShrinkMs = 60_000;
/** Plays at once of one script while it is shrunk, so that a failure that depends on timing is seen again. */
const shrinkPlays = 4;

/** Plays a script and returns the rules that it broke. */
export async function playAndJudge(script: Script): Promise<Play & { readonly violations: readonly Violation[]; }> {
    const play = await playScript(script);
    return { ...play, violations: judge(play.observation) };
}

/** Plays the scripts of a seed until one of them breaks a rule, and shrinks that one. */
export async function runFuzzer(
    { side, seed, runs, maxMs = Infinity, concurrency = defaultConcurrency, maxShrinkMs = defaultMaxShrinkMs }:
        RunOptions,
): Promise<RunResult> {
    const startedAt = performance.now();
    const scripts = fc.sample(scriptArbitrary(side), { seed, numRuns: runs });
    let next = 0;
    let plays = 0;
    let failed: { readonly run: number; readonly violations: readonly Violation[]; } | undefined;

    async function work(): Promise<void> {
        while (failed === undefined && next < scripts.length && performance.now() - startedAt < maxMs) {
            const run = next;
            next += 1;
            const { violations } = await playAndJudge(scripts[run]!);
            plays += 1;
            if (violations.length > 0) {
                failed ??= { run, violations };
            }
        }
    }

    await Promise.all(Array.from({ length: concurrency }, work));
    const elapsedMs = performance.now() - startedAt;
    if (failed === undefined) {
        return { plays, elapsedMs, find: undefined };
    }
    const { run, violations } = failed;
    const shortest = await shrink({ side, seed, run, maxMs: maxShrinkMs });
    const find = shortest ?? { script: scripts[run]!, violations, logLines: [] };
    return { plays, elapsedMs, find: { side, seed, run, ...find, isReproduced: shortest !== undefined } };
}

/** Finds the shortest script that breaks a rule; undefined if the original one does not break one again. */
async function shrink({ side, seed, run, maxMs }: ScriptPlace & { readonly maxMs: number; }) {
    let shortest: Pick<Find, "script" | "violations" | "logLines"> | undefined;
    await fc.check(
        fc.asyncProperty(scriptArbitrary(side), async script => {
            const plays = await Promise.all(Array.from({ length: shrinkPlays }, () => playAndJudge(script)));
            const broken = plays.find(({ violations }) => violations.length > 0);
            shortest = broken === undefined ? shortest : { ...broken, script };
            return broken === undefined;
        }),
        { seed, path: String(run), numRuns: 1, interruptAfterTimeLimit: maxMs },
    );
    return shortest;
}
