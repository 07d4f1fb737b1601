import { type DispatchCall, type DispatchDecision, DispatchQueue, incarnationOf,
    type UpstreamEntry } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";

/** A simulated load in virtual time. Times are in milliseconds, rates in programs per second. */
export interface DispatchLoad {
    readonly engines: number;
    readonly slots: number;
    readonly memoryTokens: number;
    /** Rate of new programs at a time. */
    readonly rate: (now: number) => number;
    /** Picks the team of a new program. */
    readonly team: (now: number, random: () => number) => string;
    readonly until: number;
    readonly sharedPrompts: number;
    readonly privateTokens: number;
    readonly dataCentres: readonly string[];
    /** Factor on the time that an engine takes for everything. */
    readonly slowness: (engine: number, now: number) => number;
    readonly isFailing: (engine: number, now: number) => boolean;
    /** When the dispatcher is replaced by one that knows nothing. */
    readonly restartAt: number | undefined;
}

/** A turn that ended or was refused for the last time. */
export interface TurnRecord {
    readonly team: string;
    readonly turn: number;
    readonly arrivedAt: number;
    readonly outcome: "answered" | "refused";
    /** How long it waited for its place. */
    readonly wait: number;
    readonly timeToFirstEvent: number;
    readonly engine: number;
    /** Whether it came back after a refusal. */
    readonly attempts: number;
}

/** Results of a simulation. */
export interface DispatchResult {
    /** Every attempt at a turn. */
    readonly turns: readonly TurnRecord[];
    readonly programs: readonly { readonly startedAt: number; readonly stretch: number; readonly retried: boolean; }[];
    readonly abandoned: number;
    readonly mostCalls: number;
    /** Largest share of an engine's memory that was in use. */
    readonly mostMemory: number;
    readonly callsByEngine: readonly number[];
}

const prefillTokensPerMs = 200;
const sharedTokens = 12_600;
const events = 20;
const eventMs = 12;
/** Relative increase of the time between events on an engine whose slots are all in use. */
const fullSlowdown = 0.6;
const pauseMs = 150;
const firstTurnWaitMs = 125;
const laterTurnWaitMs = 375;
const timeoutMs = 5_000;
const maxAttempts = 4;
const checkMs = 20;

const defaultLoad: DispatchLoad = { engines: 12, slots: 12, memoryTokens: 285_628, rate: () => 30, team: () => "",
    until: 20_000, sharedPrompts: 6, privateTokens: 1_200, dataCentres: ["a"], slowness: () => 1,
    isFailing: () => false, restartAt: undefined };

interface RunningEngine {
    readonly calls: Map<number, DispatchCall>;
    readonly cache: Set<string>;
    prefillUntil: number;
}

/** Simulates engines, callers and a dispatcher. */
export function simulateDispatch(changes: Partial<DispatchLoad>, seed: number): DispatchResult {
    const load = { ...defaultLoad, ...changes };
    const random = createRandom(seed);
    const schedule: { at: number; act: () => void; }[] = [];
    let now = 0;
    let nextKey = 1;
    const turns: TurnRecord[] = [];
    const programs: { startedAt: number; stretch: number; retried: boolean; }[] = [];
    let abandoned = 0;
    let mostCalls = 0;
    let mostMemory = 0;
    const entries: UpstreamEntry[] = Array.from({ length: load.engines },
        (_, index) => ({ id: String(index), service: "models", address: "10.0.0.1", port: 1 + index,
            dataCentre: load.dataCentres[index % load.dataCentres.length]!, slots: load.slots, draining: false,
            startedAt: 1 }));
    const engines: RunningEngine[] = entries.map(() => ({ calls: new Map(), cache: new Set(), prefillUntil: 0 }));
    const callsByEngine = entries.map(() => 0);
    const waiting = new Map<number, (decision: DispatchDecision) => void>();
    let queue = createQueue();

    function createQueue(): DispatchQueue {
        const created = new DispatchQueue({ cacheTokens: load.memoryTokens, crossDataCentreMs: 35, random,
            startedAt: now });
        created.setEngines(entries, now);
        return created;
    }

    function after(delay: number, act: () => void): void {
        const at = now + delay;
        let low = 0;
        let high = schedule.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (schedule[middle]!.at > at) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        schedule.splice(low, 0, { at, act });
    }

    function advance(): void {
        for (const { key, decision } of queue.advance(now)) {
            const resolve = waiting.get(key);
            waiting.delete(key);
            resolve?.(decision);
        }
    }

    function check(): void {
        advance();
        if (now < load.until + 10_000) {
            after(checkMs, check);
        }
    }

    function startProgram(): void {
        const id = nextKey;
        const program = { startedAt: now, team: load.team(now, random), turns: 3 + Math.floor(random() * 9),
            shared: `shared${Math.floor(random() ** 2 * load.sharedPrompts)}`,
            dataCentre: load.dataCentres[Math.floor(random() * load.dataCentres.length)]!, retried: false, ideal: 0 };
        let turn = 0;
        let preferred: string | undefined;
        runTurn(1, []);

        function runTurn(attempt: number, tried: readonly string[]): void {
            const arrivedAt = now;
            const parts = [{ id: program.shared, tokens: sharedTokens },
                ...Array.from({ length: turn + 1 },
                    (_, index) => ({ id: `p${id}.${index}`, tokens: load.privateTokens / 8 }))];
            const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
            const call: DispatchCall = { key: nextKey += 1, parts, promptTokens, maxTokens: 100,
                dataCentre: program.dataCentre, tried, excluded: [], only: undefined, preferred, priority: 0,
                precedingTurns: turn, team: program.team, program: id,
                maxWait: turn === 0 && tried.length === 0 ? firstTurnWaitMs : laterTurnWaitMs, timeLeft: timeoutMs };
            const decision = queue.place(call, now);
            if (decision === undefined) {
                waiting.set(call.key, decide);
            }
            else {
                decide(decision);
            }

            function decide(decided: DispatchDecision): void {
                const wait = now - arrivedAt;
                if (decided.kind === "placed") {
                    run(call, Number(decided.upstream), arrivedAt, attempt, wait);
                    return;
                }
                const retryAfter = decided.kind === "refused" ? decided.retryAfter : 100;
                turns.push({ team: program.team, turn, arrivedAt, outcome: "refused", wait, timeToFirstEvent: 0,
                    engine: -1, attempts: attempt });
                program.retried = true;
                if (attempt === maxAttempts) {
                    abandoned += 1;
                    return;
                }
                after(retryAfter, () => runTurn(attempt + 1, []));
            }
        }

        function run(call: DispatchCall, index: number, arrivedAt: number, attempt: number, wait: number): void {
            const engine = engines[index]!;
            const owner = queue;
            callsByEngine[index]! += 1;
            if (load.isFailing(index, now)) {
                after(2, () => {
                    owner.release({ key: call.key, upstream: String(index), incarnation: incarnationOf(entries[index]!),
                        outcome: "failed", load: undefined, timing: undefined }, now);
                    advance();
                    runTurn(attempt, [...call.tried, String(index)]);
                });
                return;
            }
            engine.calls.set(call.key, call);
            mostCalls = Math.max(mostCalls, engine.calls.size);
            mostMemory = Math.max(mostMemory, memoryOf(engine) / load.memoryTokens);
            let cached = 0;
            for (const { id: part, tokens } of call.parts) {
                if (!engine.cache.has(part)) {
                    break;
                }
                cached += tokens;
            }
            call.parts.forEach(part => engine.cache.add(part.id));
            const slowness = load.slowness(index, now);
            const prefillMs = (call.promptTokens - cached) / prefillTokensPerMs * slowness;
            engine.prefillUntil = Math.max(now, engine.prefillUntil) + prefillMs;
            const timeToFirstByte = engine.prefillUntil - now + eventMs;
            const crowding = 1 + fullSlowdown * Math.min(1, engine.calls.size / load.slots);
            const latency = timeToFirstByte + (events - 1) * eventMs * slowness * crowding;
            // Slowness is not reported, so that it has to be measured.
            const report = { running: Math.min(load.slots, engine.calls.size),
                waiting: Math.max(0, engine.calls.size - load.slots), slots: load.slots, slowness: 1 };
            program.ideal += (call.promptTokens - (turn === 0 ? sharedTokens : 0)) * 0 + events * eventMs + 20 +
                pauseMs;
            after(latency, () => {
                engine.calls.delete(call.key);
                const release = { key: call.key, upstream: String(index), incarnation: incarnationOf(entries[index]!),
                    outcome: "answered" as const, load: { ...report, age: latency - timeToFirstByte },
                    timing: { timeToFirstByte, latency, events } };
                // After a restart of the dispatcher, a gateway reports to the new one.
                queue.release(release, now);
                advance();
                turns.push({ team: program.team, turn, arrivedAt, outcome: "answered", wait,
                    timeToFirstEvent: wait + timeToFirstByte, engine: index, attempts: attempt });
                preferred = String(index);
                turn += 1;
                if (turn === program.turns) {
                    programs.push({ startedAt: program.startedAt,
                        stretch: (now + pauseMs - program.startedAt) / program.ideal, retried: program.retried });
                }
                else {
                    after(pauseMs, () => runTurn(1, []));
                }
            });
        }
    }

    function memoryOf(engine: RunningEngine): number {
        const parts = new Map<string, number>();
        let tokens = 0;
        for (const call of engine.calls.values()) {
            call.parts.forEach(part => parts.set(part.id, part.tokens));
            tokens += call.maxTokens;
        }
        return [...parts.values()].reduce((sum, part) => sum + part, tokens);
    }

    function arrive(): void {
        startProgram();
        if (now < load.until) {
            after(-Math.log(1 - random()) / load.rate(now) * 1_000, arrive);
        }
    }

    after(0, arrive);
    after(0, check);
    if (load.restartAt !== undefined) {
        after(load.restartAt, () => {
            queue = createQueue();
            const interrupted = [...waiting.values()];
            waiting.clear();
            interrupted.forEach(resolve => resolve({ kind: "noEngine" }));
        });
    }
    while (schedule.length > 0) {
        const event = schedule.pop()!;
        now = event.at;
        event.act();
    }
    return { turns, programs, abandoned, mostCalls, mostMemory, callsByEngine };
}
