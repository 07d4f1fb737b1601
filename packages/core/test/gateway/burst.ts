import { chooseUpstream, modelCosts, refuseBeginning, ServiceEstimate, turnPriority,
    UpstreamState } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";

/** A load; times in milliseconds, rates in programs a millisecond. */
export interface BurstLoad {
    readonly engines: number;
    /** Places of an engine. */
    readonly slots: number;
    /** Time of a call of the usual length that nothing holds up. */
    readonly callTime: number;
    readonly usualRate: number;
    readonly burstRate: number;
    readonly burstFrom: number;
    readonly burstTo: number;
    readonly lastArrival: number;
    /** Turns of a program, and the pause after each. */
    readonly turns: number;
    readonly pause: number;
    /** How long a caller waits for an engine to begin. */
    readonly patience: number;
    readonly gateways: number;
    /** The time of a program that is in time, as a share of the time that nothing holds up. */
    readonly aim: number;
    /** Share of the engines that work 2.5 times as long for 600 ms. */
    readonly noisyShare: number;
    /** By how much longer calls take on an engine whose places are all taken. */
    readonly batchSlowdown: number;
    /** By how much the number of events differs between calls: 0 for not at all. */
    readonly sizeSpread: number;
}

/** A burst as on a day of the grown site whose engines never recovered from it. */
const usualLoad: BurstLoad = { engines: 10, slots: 16, callTime: 300, usualRate: 0.06, burstRate: 0.2, burstFrom: 3_000,
    burstTo: 9_000, lastArrival: 24_000, turns: 5, pause: 150, patience: 2_000, gateways: 20, aim: 2.3, noisyShare: 0,
    batchSlowdown: 0, sizeSpread: 0 };

interface Waiting {
    readonly start: () => void;
    readonly priority: number;
}

const mostTries = 6;
const usualEvents = 9;
/** The engines that are slow for a while change after this, in ms. */
const noiseTime = 600;

/** What differs between two plays of a burst. */
export interface BurstOptions {
    readonly admits: boolean;
    readonly load?: Partial<BurstLoad>;
    /** Priority in an engine's queue of a turn that follows this many; 0 is the most urgent. */
    readonly priorityOf?: (turns: number) => number;
}

/** Shares of the programs. */
export interface BurstResult {
    /** In time, of those that came after the burst had ended. */
    readonly inTime: number;
    /** In time, of all. */
    readonly inTimeOfAll: number;
    /** First turns that were refused, of all. */
    readonly refused: number;
}

const usualPriority = (turns: number) => turnPriority(0, turns);

/** Plays a burst in virtual time. */
export function playBurst({ admits, load: changes, priorityOf = usualPriority }: BurstOptions,
    seed: number): BurstResult {
    const load = { ...usualLoad, ...changes };
    const random = createRandom(seed);
    /** The next one is the last of the list. */
    const events: { at: number; act: () => void; }[] = [];
    let now = 0;

    /** Of two events at the same moment the one that was added first is the next. */
    function after(delay: number, act: () => void): void {
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

    const engines = Array.from({ length: load.engines }, () => ({ running: 0, queue: [] as Waiting[] }));
    const gateways = Array.from({ length: load.gateways }, () => {
        const estimate = new ServiceEstimate();
        const states = engines.map((_, index) =>
            new UpstreamState({ id: String(index), service: "s", address: "10.0.0.1", port: 1, dataCentre: "a",
                slots: load.slots, draining: false, born: 1 }, 1e5, estimate)
        );
        return { estimate, states };
    });
    let owed = 0;
    let inTime = 0;
    let begun = 0;
    let inTimeOfAll = 0;
    let asked = 0;
    let refused = 0;

    function run(turns: number, done: (answered: boolean, comeBack?: number) => void): void {
        const gateway = gateways[Math.floor(random() * gateways.length)]!;
        asked += turns === 0 ? 1 : 0;
        if (turns === 0 && admits) {
            const wait = refuseBeginning({ occupancy: gateway.estimate.occupancy(now),
                delay: gateway.estimate.delay(now), callTime: gateway.estimate.callTime, target: 250, priority: 0 },
                random);
            if (wait !== undefined) {
                refused += 1;
                done(false, wait);
                return;
            }
        }
        const state = chooseUpstream(gateway.states, { parts: [], promptTokens: 0, dataCentre: "a", tried: new Set(),
            preferred: undefined }, modelCosts, now, random)!;
        const engine = engines[Number(state.entry.id)]!;
        state.inFlight += 1;
        const sentAt = now;
        const waiting: Waiting = { priority: priorityOf(turns), start() {
            engine.running += 1;
            const slowness = noiseOf(Number(state.entry.id));
            const report = { running: engine.running, waiting: engine.queue.length, slots: load.slots, slowness };
            state.report(report, now);
            const beginning = now - sentAt;
            state.service.takeBeginning({ time: beginning, read: undefined, load: report }, now);
            const events = drawEvents();
            const crowding = 1 + load.batchSlowdown * engine.running / load.slots;
            const time = load.callTime * (0.1 + 0.9 * events / usualEvents) * slowness * crowding;
            after(time, () => {
                engine.running -= 1;
                state.inFlight -= 1;
                state.service.takeCall({ time: now - sentAt, beginning, events, slowness }, now);
                next();
                done(true);
            });
        } };
        engine.queue.push(waiting);
        after(load.patience, () => {
            const at = engine.queue.indexOf(waiting);
            if (at >= 0) {
                engine.queue.splice(at, 1);
                state.inFlight -= 1;
                state.service.takeWait(now - sentAt, now);
                done(false);
            }
        });
        next();

        function next(): void {
            while (engine.running < load.slots && engine.queue.length > 0) {
                const most = Math.min(...engine.queue.map(({ priority }) => priority));
                engine.queue.splice(engine.queue.findIndex(({ priority }) => priority === most), 1)[0]!.start();
            }
        }
    }

    function drawEvents(): number {
        const deviation = random() + random() + random() + random() - 2;
        return Math.max(1, Math.round(usualEvents * Math.exp(load.sizeSpread * deviation * 1.7)));
    }

    function noiseOf(index: number): number {
        const drawn = createRandom(Math.floor(now / noiseTime) * 1_000 + index + seed * 7)();
        return drawn < load.noisyShare ? 2.5 : 1;
    }

    /** A caller tries twice and heeds when it should come back; its program sends the turn anew, three times in all. */
    function pauseBefore(tries: number, comeBack: number): number {
        return tries % 2 === 1 ? Math.min(comeBack, load.patience / 3) : 100 + random() * 300;
    }

    function begin(): void {
        const startedAt = now;
        const counts = startedAt > load.burstTo + 1_000;
        owed += counts ? 1 : 0;
        begun += 1;
        let left = load.turns;
        let tries = 0;

        function turn(): void {
            run(load.turns - left, (answered, comeBack = 0) => {
                tries = answered ? 0 : tries + 1;
                left -= answered ? 1 : 0;
                if (left === 0) {
                    const ideal = load.turns * (load.callTime + load.pause);
                    const isInTime = now - startedAt < ideal * load.aim;
                    inTime += counts && isInTime ? 1 : 0;
                    inTimeOfAll += isInTime ? 1 : 0;
                }
                else if (tries < mostTries) {
                    after(answered ? load.pause : pauseBefore(tries, comeBack), turn);
                }
            });
        }
        turn();
    }

    function arrive(): void {
        begin();
        const rate = now > load.burstFrom && now < load.burstTo ? load.burstRate : load.usualRate;
        if (now < load.lastArrival) {
            after(-Math.log(1 - random()) / rate, arrive);
        }
    }

    arrive();
    while (events.length > 0) {
        const event = events.pop()!;
        now = event.at;
        event.act();
    }
    return { inTime: inTime / owed, inTimeOfAll: inTimeOfAll / begun, refused: refused / asked };
}
