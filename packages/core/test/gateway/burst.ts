import { chooseUpstream, modelCosts, refuseBeginning, ServiceEstimate,
    UpstreamState } from "../../src/gateway/index.ts";
import { createRandom } from "../../src/index.ts";

/** A burst as on a day of the grown site whose engines never recovered from it; times in milliseconds. */
const usualLoad = { engines: 10, slots: 16, callTime: 300, usualRate: 0.06, burstRate: 0.2, burstFrom: 3_000,
    burstTo: 9_000, lastArrival: 24_000, turns: 5, pause: 150, patience: 2_000, gateways: 20, aim: 2.3 };

interface Waiting {
    readonly start: () => void;
    readonly urgent: boolean;
    left: boolean;
}

const mostTries = 6;

/** What differs between two plays of a burst. */
export interface BurstOptions {
    readonly admits: boolean;
    readonly load?: Partial<typeof usualLoad>;
}

/** Shares of the programs. */
export interface BurstResult {
    /** In time, of those that came after the burst had ended. */
    readonly inTime: number;
    /** In time, of all. */
    readonly inTimeOfAll: number;
    /** Too late by less than the time that they had, of all. */
    readonly late: number;
}

/** Plays a burst in virtual time. */
export function playBurst({ admits, load: changes }: BurstOptions, seed: number): BurstResult {
    const load = { ...usualLoad, ...changes };
    const random = createRandom(seed);
    const events: { at: number; act: () => void; }[] = [];
    let now = 0;
    const after = (delay: number, act: () => void) => void events.push({ at: now + delay, act });
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
    let late = 0;

    function run(urgent: boolean, done: (answered: boolean, comeBack?: number) => void): void {
        const gateway = gateways[Math.floor(random() * gateways.length)]!;
        if (!urgent && admits) {
            const wait = refuseBeginning({ occupancy: gateway.estimate.occupancy(now),
                delay: gateway.estimate.delay(now), callTime: gateway.estimate.callTime, target: 250, priority: 0 },
                random);
            if (wait !== undefined) {
                done(false, wait);
                return;
            }
        }
        const state = chooseUpstream(gateway.states, { parts: [], promptTokens: 0, dataCentre: "a", tried: new Set(),
            preferred: undefined }, modelCosts, now, random)!;
        const engine = engines[Number(state.entry.id)]!;
        state.inFlight += 1;
        const sentAt = now;
        const waiting: Waiting = { urgent, left: false, start() {
            engine.running += 1;
            const report = { running: engine.running, waiting: engine.queue.length, slots: load.slots, slowness: 1 };
            state.report(report, now);
            const beginning = now - sentAt;
            state.service.takeBeginning({ time: beginning, read: undefined, load: report }, now);
            after(load.callTime, () => {
                engine.running -= 1;
                state.inFlight -= 1;
                state.service.takeCall({ time: now - sentAt, beginning, events: 9 }, now);
                next();
                done(!waiting.left);
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
                const first = engine.queue.findIndex(each => each.urgent);
                engine.queue.splice(Math.max(0, first), 1)[0]!.start();
            }
        }
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
            run(left < load.turns, (answered, comeBack = 0) => {
                tries = answered ? 0 : tries + 1;
                left -= answered ? 1 : 0;
                if (left === 0) {
                    const ideal = load.turns * (load.callTime + load.pause);
                    const isInTime = now - startedAt < ideal * load.aim;
                    inTime += counts && isInTime ? 1 : 0;
                    inTimeOfAll += isInTime ? 1 : 0;
                    late += !isInTime && now - startedAt < ideal * load.aim * 2 ? 1 : 0;
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
        const next = events.reduce((least, event, index) => event.at < events[least]!.at ? index : least, 0);
        const [event] = events.splice(next, 1);
        now = event!.at;
        event!.act();
    }
    return { inTime: inTime / owed, inTimeOfAll: inTimeOfAll / begun, late: late / begun };
}
