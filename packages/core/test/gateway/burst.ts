import { chooseUpstream, decideAdmission, modelCosts, retryDelay, ServiceEstimate, turnPriority,
    UpstreamState } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";

/** Parameters of a simulated load. Times are in milliseconds, rates in programs per millisecond. */
export interface BurstLoad {
    readonly engines: number;
    /** Slots per engine. */
    readonly slots: number;
    /** Latency of a call with `baselineEvents` events on an engine without load. */
    readonly baselineLatency: number;
    readonly baseRate: number;
    readonly burstRate: number;
    readonly burstFrom: number;
    readonly burstTo: number;
    readonly lastArrival: number;
    /** Turns per program, and the pause after each turn. */
    readonly turns: number;
    readonly pause: number;
    /** How long a call waits in an engine's queue before its caller gives up. */
    readonly queueTimeout: number;
    readonly gateways: number;
    /** A program is on time if its duration is less than this multiple of its duration without load. */
    readonly maxStretch: number;
    /** Share of the engines whose calls take 2.5 times as long during an interval of 600 ms. */
    readonly slowEngineShare: number;
    /** Relative increase of the latency on an engine whose slots are all in use. */
    readonly batchSlowdown: number;
    /** Spread of the number of events per call; 0 for equal numbers. */
    readonly eventCountSpread: number;
}

/** Modelled on a burst from which the engines of a growing site never recovered. */
const defaultLoad: BurstLoad = { engines: 10, slots: 16, baselineLatency: 300, baseRate: 0.06, burstRate: 0.2,
    burstFrom: 3_000, burstTo: 9_000, lastArrival: 24_000, turns: 5, pause: 150, queueTimeout: 2_000, gateways: 20,
    maxStretch: 2.3, slowEngineShare: 0, batchSlowdown: 0, eventCountSpread: 0 };

interface QueuedCall {
    readonly start: () => void;
    readonly priority: number;
}

const maxTries = 6;
const baselineEvents = 9;
/** Interval after which the set of slow engines is drawn again. */
const slowIntervalMs = 600;

/** Options of a simulation. */
export interface BurstOptions {
    readonly admissionControl: boolean;
    readonly load?: Partial<BurstLoad>;
    /** Priority in an engine's queue of a turn after this many earlier turns; 0 is the most urgent. */
    readonly priorityOf?: (turns: number) => number;
}

/** Results of a simulation, as shares. */
export interface BurstResult {
    /** Share of programs that finished on time, of those started at least a second after the burst. */
    readonly onTimeAfterBurst: number;
    /** Share of programs that finished on time, of all. */
    readonly onTime: number;
    /** Share of first turns that were refused. */
    readonly refused: number;
}

const defaultPriority = (turns: number) => turnPriority(0, turns);

/** Simulates a burst in virtual time. */
export function simulateBurst({ admissionControl, load: changes, priorityOf = defaultPriority }: BurstOptions,
    seed: number): BurstResult {
    const load = { ...defaultLoad, ...changes };
    const random = createRandom(seed);
    /** Scheduled events, latest first: the next event is the last element. */
    const events: { at: number; act: () => void; }[] = [];
    let now = 0;

    /** Adds an event. Events at the same time run in the order in which they were added. */
    function schedule(delay: number, act: () => void): void {
        const at = now + delay;
        let low = 0;
        let high = events.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (events[middle]!.at > at) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        events.splice(low, 0, { at, act });
    }

    const engines = Array.from({ length: load.engines }, () => ({ running: 0, queue: [] as QueuedCall[] }));
    const gateways = Array.from({ length: load.gateways }, () => {
        const estimate = new ServiceEstimate();
        const states = engines.map((_, index) =>
            new UpstreamState({ id: String(index), service: "s", address: "10.0.0.1", port: 1, dataCentre: "a",
                slots: load.slots, draining: false, startedAt: 1 }, 1e5, estimate)
        );
        return { estimate, states };
    });
    let startedAfterBurst = 0;
    let onTimeAfterBurst = 0;
    let started = 0;
    let onTime = 0;
    let firstTurns = 0;
    let refused = 0;

    function sendTurn(turns: number, done: (answered: boolean, retryAfter?: number) => void): void {
        const gateway = gateways[Math.floor(random() * gateways.length)]!;
        firstTurns += turns === 0 ? 1 : 0;
        if (turns === 0 && admissionControl) {
            const refusal = decideAdmission({ occupancy: gateway.estimate.occupancy(now),
                excessLatency: gateway.estimate.excessLatency(now), baselineLatency: gateway.estimate.baselineLatency,
                targetLatency: 250, priority: 0 }, random);
            if (refusal !== undefined) {
                refused += 1;
                done(false, retryDelay(refusal, random));
                return;
            }
        }
        const { upstream: state } = chooseUpstream(gateway.states, { parts: [], promptTokens: 0, dataCentre: "a",
            tried: new Set(), preferred: undefined, maxPermitDelay: 0 }, modelCosts, now, random)!;
        const engine = engines[Number(state.entry.id)]!;
        state.inFlight += 1;
        const sentAt = now;
        const queuedCall: QueuedCall = { priority: priorityOf(turns), start() {
            engine.running += 1;
            const slowness = slownessOf(Number(state.entry.id));
            const report = { running: engine.running, waiting: engine.queue.length, slots: load.slots, slowness };
            state.recordLoad(report, now);
            const timeToFirstByte = now - sentAt;
            state.estimate.recordFirstByte({ timeToFirstByte, prefillTokens: undefined, load: report }, now);
            const events = drawEvents();
            const crowding = 1 + load.batchSlowdown * engine.running / load.slots;
            const time = load.baselineLatency * (0.1 + 0.9 * events / baselineEvents) * slowness * crowding;
            schedule(time, () => {
                engine.running -= 1;
                state.inFlight -= 1;
                state.estimate.recordCompletedCall({ latency: now - sentAt, timeToFirstByte, events, slowness }, now);
                startNext();
                done(true);
            });
        } };
        engine.queue.push(queuedCall);
        schedule(load.queueTimeout, () => {
            const index = engine.queue.indexOf(queuedCall);
            if (index >= 0) {
                engine.queue.splice(index, 1);
                state.inFlight -= 1;
                state.estimate.recordAbandonedCall(now - sentAt, now);
                done(false);
            }
        });
        startNext();

        function startNext(): void {
            while (engine.running < load.slots && engine.queue.length > 0) {
                const mostUrgent = Math.min(...engine.queue.map(({ priority }) => priority));
                engine.queue.splice(engine.queue.findIndex(({ priority }) => priority === mostUrgent), 1)[0]!.start();
            }
        }
    }

    function drawEvents(): number {
        const deviation = random() + random() + random() + random() - 2;
        return Math.max(1, Math.round(baselineEvents * Math.exp(load.eventCountSpread * deviation * 1.7)));
    }

    function slownessOf(index: number): number {
        const drawn = createRandom(Math.floor(now / slowIntervalMs) * 1_000 + index + seed * 7)();
        return drawn < load.slowEngineShare ? 2.5 : 1;
    }

    /**
     * Delay before the next attempt. A caller tries twice and waits for the retry delay in between; its program then
     * sends the turn anew, three times in all.
     */
    function delayBeforeRetry(tries: number, retryAfter: number): number {
        return tries % 2 === 1 ? Math.min(retryAfter, load.queueTimeout / 3) : 100 + random() * 300;
    }

    function startProgram(): void {
        const startedAt = now;
        const isAfterBurst = startedAt > load.burstTo + 1_000;
        startedAfterBurst += isAfterBurst ? 1 : 0;
        started += 1;
        let turnsLeft = load.turns;
        let tries = 0;

        function nextTurn(): void {
            sendTurn(load.turns - turnsLeft, (answered, retryAfter = 0) => {
                tries = answered ? 0 : tries + 1;
                turnsLeft -= answered ? 1 : 0;
                if (turnsLeft === 0) {
                    const ideal = load.turns * (load.baselineLatency + load.pause);
                    const isOnTime = now - startedAt < ideal * load.maxStretch;
                    onTimeAfterBurst += isAfterBurst && isOnTime ? 1 : 0;
                    onTime += isOnTime ? 1 : 0;
                }
                else if (tries < maxTries) {
                    schedule(answered ? load.pause : delayBeforeRetry(tries, retryAfter), nextTurn);
                }
            });
        }
        nextTurn();
    }

    function arrive(): void {
        startProgram();
        const rate = now > load.burstFrom && now < load.burstTo ? load.burstRate : load.baseRate;
        if (now < load.lastArrival) {
            schedule(-Math.log(1 - random()) / rate, arrive);
        }
    }

    arrive();
    while (events.length > 0) {
        const event = events.pop()!;
        now = event.at;
        event.act();
    }
    return { onTimeAfterBurst: onTimeAfterBurst / startedAfterBurst, onTime: onTime / started,
        refused: refused / firstTurns };
}
