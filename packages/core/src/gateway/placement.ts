import type { Random } from "../clock.ts";
import { hash } from "../hash.ts";
import type { PromptPart } from "./call.ts";
import { modelCosts } from "./choice.ts";
import type { EngineAccount, EngineDemand } from "./engineAccount.ts";
import { Rate } from "./statistics.ts";

/** A call that is to be placed at an engine. */
export interface PlacementDemand extends EngineDemand {
    readonly dataCentre: string;
    /** Ids of the engines that the call has been sent to; they are used again only if there is no other. */
    readonly tried: readonly string[];
    /** Ids of engines that the call must not be sent to. */
    readonly excluded: readonly string[];
    /** If given, the only engines that the call may be sent to. */
    readonly only: readonly string[] | undefined;
    /** Id of the engine that is expected to have the program's previous turn in its cache. */
    readonly preferred: string | undefined;
}

/** What the choice of an engine depends on beside the engines. Times are in milliseconds. */
export interface PlacementBasis {
    /** Prompt tokens that an engine reads in a millisecond. */
    readonly prefillTokensPerMs: number;
    /** Duration of a call without load. */
    readonly baselineLatency: number;
    /** Cost of an engine in another data centre: the round trip and the price of the traffic. */
    readonly crossDataCentreMs: number;
    readonly partRates: PartRates;
    /** Number of calls that an engine may have with this one; it also limits calls by their class. */
    readonly maxCalls: (engine: EngineAccount) => number;
}

/** A chosen engine. */
export interface ChosenEngine {
    readonly engine: EngineAccount;
    /** Expected tokens of the prompt that the engine has to read, and the time that takes. */
    readonly uncachedTokens: number;
    readonly prefillMs: number;
}

/** A call leaves its data centre only if its expected time away is shorter by this share. */
const hysteresisShare = 0.25;
/** Occupancy up to which the engines that hold a prompt part are used before the part is placed on a further one. */
const targetOccupancy = 0.6;
/** Share of the time to read a part that counts if its rate warrants a further engine: later calls benefit from it. */
const warrantedPrefillShare = 0.3;
/** An engine without calls for this long gets one that continues nothing, so that its state is known and none stays unused. */
const maxIdleMs = 15_000;
/** Advantage of such an engine over the others of its data centre, in ms. */
const idleAdvantageMs = 1_000;
/** Share of a part that nobody is known to have that is assumed on the engine to which other gateways send it. */
const assumedCachedShare = 0.9;

/** Rates at which the first parts of prompts are used, by part and data centre; calls per millisecond. */
export class PartRates {
    /** Least recently used first. */
    private readonly rates = new Map<string, Rate>();

    /** Records a use. */
    record(part: string, dataCentre: string, now: number): void {
        const key = `${dataCentre} ${part}`;
        const rate = this.rates.get(key) ?? new Rate(partRateHalfLifeMs);
        this.rates.delete(key);
        this.rates.set(key, rate);
        rate.record(now);
        if (this.rates.size > maxPartRates) {
            const [oldest] = this.rates.keys();
            this.rates.delete(oldest!);
        }
    }

    value(part: string, dataCentre: string, now: number): number {
        return this.rates.get(`${dataCentre} ${part}`)?.value(now) ?? 0;
    }
}

const partRateHalfLifeMs = 2_000;
/** Callers choose the ids of parts, so their number is bounded. */
const maxPartRates = 1_024;

/**
 * Chooses the engine with the shortest expected time to the end of the call; undefined if none has room for it. Engines that
 * failed are used only if there is no other at all.
 */
export function chooseEngine(engines: readonly EngineAccount[], demand: PlacementDemand, basis: PlacementBasis,
    now: number, random: Random): ChosenEngine | undefined {
    const candidates = candidatesFor(engines, demand, now);
    const firstPart = demand.parts[0];
    const shares = firstPart === undefined ? undefined : sharesOf(candidates, firstPart, demand, basis, now);
    let best: ChosenEngine | undefined;
    let bestAway: ChosenEngine | undefined;
    let lowest = Infinity;
    let lowestAway = Infinity;
    for (const engine of candidates) {
        const maxCalls = basis.maxCalls(engine);
        const calls = engine.estimatedCalls(now);
        if (calls >= maxCalls || engine.isPaused(now) || !engine.hasMemoryFor(demand)) {
            continue;
        }
        const slowness = engine.slowness(now);
        const uncachedTokens = Math.max(0, demand.promptTokens - cachedTokens(engine, demand, shares?.assumed));
        const prefillMs = uncachedTokens / basis.prefillTokensPerMs * slowness;
        const cost = prefillMs * prefillShareOf(engine, firstPart, shares) + engine.prefillBacklog(now) +
            loadCost(calls, engine, slowness, basis) + random() * modelCosts.jitter;
        if (engine.entry.dataCentre === demand.dataCentre) {
            const isIdle = demand.preferred === undefined && engine.idleTime(now) > maxIdleMs;
            const homeCost = isIdle ? cost - idleAdvantageMs : cost;
            if (homeCost < lowest) {
                lowest = homeCost;
                best = { engine, uncachedTokens, prefillMs };
            }
        }
        else if (cost + basis.crossDataCentreMs < lowestAway) {
            lowestAway = cost + basis.crossDataCentreMs;
            bestAway = { engine, uncachedTokens, prefillMs };
        }
    }
    return lowestAway < lowest - Math.abs(lowest) * hysteresisShare ? bestAway : best ?? bestAway;
}

/** Whether some engine could run the call now or later. */
export function hasCandidate(engines: readonly EngineAccount[], demand: PlacementDemand, now: number): boolean {
    return candidatesFor(engines, demand, now).length > 0;
}

/** The engines that the call may be sent to, whether or not they have room: those that did not fail, or else all. */
function candidatesFor(engines: readonly EngineAccount[], { tried, excluded, only }: PlacementDemand,
    now: number): readonly EngineAccount[] {
    const usable = engines.filter(engine =>
        !engine.isLeaving() && !excluded.includes(engine.entry.id) &&
        (only === undefined || only.includes(engine.entry.id))
    );
    const untried = tried.length === 0 ? usable : usable.filter(({ entry }) => !tried.includes(entry.id));
    const preferred = untried.length > 0 ? untried : usable;
    const sound = preferred.filter(engine => !engine.isSuspended(now));
    return sound.length > 0 ? sound : preferred;
}

/** What is known of a first prompt part. */
interface PartShares {
    /** Whether its rate in the call's data centre warrants a further engine. */
    readonly warrantsFurther: boolean;
    /** The engine that is assumed to have the part, if none is known to. */
    readonly assumed: EngineAccount | undefined;
}

function sharesOf(candidates: readonly EngineAccount[], part: PromptPart, { dataCentre }: PlacementDemand,
    { partRates, baselineLatency }: PlacementBasis, now: number): PartShares {
    let holders = 0;
    let slots = 0;
    for (const { cache, entry } of candidates) {
        if (cache.has(part.id)) {
            holders += 1;
            slots += entry.dataCentre === dataCentre ? entry.slots : 0;
        }
    }
    const neededSlots = partRates.value(part.id, dataCentre, now) * baselineLatency;
    return { warrantsFurther: holders > 0 && neededSlots > slots * targetOccupancy,
        assumed: holders > 0 ? undefined : assumedHolder(candidates, part, dataCentre) };
}

/** The engine to which all gateways send a part before they know who has it, so that a restart finds the caches filled. */
function assumedHolder(candidates: readonly EngineAccount[], part: PromptPart, dataCentre: string):
    | EngineAccount
    | undefined {
    let holder: EngineAccount | undefined;
    let highest = -1;
    for (const engine of candidates) {
        const weight = engine.entry.dataCentre === dataCentre ? hash(`${part.id}\n${engine.entry.id}`) : -1;
        if (weight > highest) {
            highest = weight;
            holder = engine;
        }
    }
    return holder;
}

function cachedTokens(engine: EngineAccount, { parts, preferred }: PlacementDemand,
    assumed: EngineAccount | undefined): number {
    const known = engine === assumed
        ? parts[0]!.tokens * assumedCachedShare
        : engine.cache.matchedTokens(parts);
    if (engine.entry.id !== preferred) {
        return known;
    }
    let previous = 0;
    for (let index = 0; index < parts.length - 1; index += 1) {
        previous += parts[index]!.tokens;
    }
    // The previous turn ran here, so that only the last part is new.
    return Math.max(known, previous);
}

function prefillShareOf(engine: EngineAccount, part: PromptPart | undefined, shares: PartShares | undefined): number {
    return shares?.warrantsFurther === true && !engine.cache.has(part!.id) ? warrantedPrefillShare : 1;
}

/** Cost of the calls that run there, of a slot that is not free yet, and of a slow engine. */
function loadCost(calls: number, { entry: { slots } }: EngineAccount, slowness: number,
    { baselineLatency }: PlacementBasis): number {
    const waiting = Math.max(0, calls + 1 - slots);
    return baselineLatency *
        ((calls * modelCosts.perRunningShare + waiting * modelCosts.perWaitingShare) / slots * slowness +
            modelCosts.slownessShare * (slowness - 1));
}
