/** Counts of the requests and the work of an engine. Programs are keyed by their cache salt; sizes are in tokens. */
export interface EngineCounts {
    readonly requests: number;
    readonly finished: number;
    readonly cancelled: number;
    readonly byProgram: Readonly<Record<string, number>>;
    readonly byIdempotencyKey: Readonly<Record<string, number>>;
    /** Generated tokens, whether or not the client was still connected. */
    readonly tokensByPlan: Readonly<Record<string, number>>;
    readonly generatedTokens: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Prompt tokens computed again because this engine had evicted them from its cache. */
    readonly recomputedTokens: number;
    /**
     * Prompt tokens of the history that were computed here although this or another engine had computed them before.
     */
    readonly recomputedHistoryTokens: number;
    /** Highest number of distinct programs with a call in the engine, running or waiting. */
    readonly peakProgramsByPlan: Readonly<Record<string, number>>;
    /** Highest number of sequences that ran at once. */
    readonly peakRunning: number;
    /** Requests to continue from a text that this engine would not have produced. */
    readonly foreignPartials: number;
    readonly ordersRefused: number;
    readonly ordersDone: number;
}

/** Collects the counts of an engine. */
export interface EngineCounter {
    /** `foreign`: the call continues from a text that this engine would not have produced. */
    requestReceived(key: string, idempotencyKey: string | undefined, foreign: boolean): void;
    requestEnded(key: string, outcome: "finished" | "cancelled"): void;
    sequenceStarted(promptTokens: number, cachedTokens: number, seenTokens: number, historyTokens: number): void;
    tokensGenerated(key: string, tokens: number): void;
    sequencesRunning(sequences: number): void;
    orderHandled(outcome: "ordersDone" | "ordersRefused"): void;
    counts(): EngineCounts;
    reset(): void;
}

/** The plan of a program key: what is before the first "/". */
export function planOf(key: string): string {
    return key.split("/", 1)[0]!;
}

/** Creates a counter with all counts at zero. */
export function createEngineCounter(): EngineCounter {
    let counted = emptyCounts();
    // Calls in the engine, by plan and program.
    const activeCalls = new Map<string, Map<string, number>>();

    function addCall(key: string): void {
        const plan = planOf(key);
        const programs = activeCalls.get(plan) ?? new Map<string, number>();
        programs.set(key, (programs.get(key) ?? 0) + 1);
        activeCalls.set(plan, programs);
        counted.peakProgramsByPlan[plan] = Math.max(counted.peakProgramsByPlan[plan] ?? 0, programs.size);
    }

    function removeCall(key: string): void {
        const programs = activeCalls.get(planOf(key));
        const calls = (programs?.get(key) ?? 0) - 1;
        if (calls > 0) {
            programs?.set(key, calls);
        }
        else {
            programs?.delete(key);
        }
    }

    return {
        requestReceived(key, idempotencyKey, foreign) {
            counted.requests += 1;
            counted.foreignPartials += foreign ? 1 : 0;
            increment(counted.byProgram, key, 1);
            if (idempotencyKey !== undefined) {
                increment(counted.byIdempotencyKey, idempotencyKey, 1);
            }
            addCall(key);
        },
        requestEnded(key, outcome) {
            counted[outcome] += 1;
            removeCall(key);
        },
        sequenceStarted(promptTokens, cachedTokens, seenTokens, historyTokens) {
            counted.promptTokens += promptTokens;
            counted.cachedTokens += cachedTokens;
            counted.recomputedTokens += Math.max(0, Math.min(seenTokens, promptTokens) - cachedTokens);
            counted.recomputedHistoryTokens += Math.max(0, historyTokens - cachedTokens);
        },
        tokensGenerated(key, tokens) {
            counted.generatedTokens += tokens;
            increment(counted.tokensByPlan, planOf(key), tokens);
        },
        sequencesRunning(sequences) {
            counted.peakRunning = Math.max(counted.peakRunning, sequences);
        },
        orderHandled(outcome) {
            counted[outcome] += 1;
        },
        counts: () => structuredClone(counted),
        reset() {
            counted = emptyCounts();
        },
    };
}

type Writable<Type> = { -readonly [Key in keyof Type]: Type[Key] extends number ? number : Record<string, number>; };

function emptyCounts(): Writable<EngineCounts> {
    return {
        requests: 0,
        finished: 0,
        cancelled: 0,
        byProgram: {},
        byIdempotencyKey: {},
        tokensByPlan: {},
        generatedTokens: 0,
        promptTokens: 0,
        cachedTokens: 0,
        recomputedTokens: 0,
        recomputedHistoryTokens: 0,
        peakProgramsByPlan: {},
        peakRunning: 0,
        foreignPartials: 0,
        ordersRefused: 0,
        ordersDone: 0,
    };
}

function increment(record: Record<string, number>, key: string, by: number): void {
    record[key] = (record[key] ?? 0) + by;
}
