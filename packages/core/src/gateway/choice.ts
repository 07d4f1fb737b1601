import type { Random } from "../clock.ts";
import { hash } from "../hash.ts";
import type { PromptPart } from "./call.ts";
import type { UpstreamState } from "./upstreamState.ts";

/** Properties of a call that the selection of its upstream depends on. */
export interface SelectionCriteria {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly dataCentre: string;
    /** Ids of the upstreams that this call has already been sent to. */
    readonly tried: ReadonlySet<string>;
    /** Id of the upstream that is expected to have the program's previous turn in its cache. */
    readonly preferred: string | undefined;
    /** How long the call can wait for a permit if the upstream has a rate limit, in ms; negative if it goes to no such one. */
    readonly maxPermitDelay: number;
}

/** The upstream selected for a call. */
export interface UpstreamChoice {
    readonly upstream: UpstreamState;
    /** How long the call is to wait for a permit at most, in ms: an upstream without a limit may be the better choice. */
    readonly maxPermitDelay: number;
}

/** Weights of the cost estimate: added latency in ms, or, for the `…Share` fields, relative to the baseline latency. */
export interface SelectionCosts {
    /** Cost of each call at the upstream, divided by its number of slots. */
    readonly perRunningShare: number;
    /** Additional cost of each call that would wait, divided by the number of slots. */
    readonly perWaitingShare: number;
    /** Cost of an upstream whose `slowness` is 2. */
    readonly slownessShare: number;
    /** Cost of an upstream in another data centre: network latency and the price of the traffic, in ms. */
    readonly crossDataCentre: number;
    /** Upper bound of the random cost in ms that distributes calls among equally good upstreams. */
    readonly jitter: number;
}

/** Costs for model engines. */
export const modelCosts: SelectionCosts = {
    perRunningShare: 0.25,
    perWaitingShare: 1.1,
    slownessShare: 3,
    crossDataCentre: 35,
    jitter: 3,
};

/** Costs for services without a model. */
export const plainServiceCosts: SelectionCosts = {
    perRunningShare: 0.6,
    perWaitingShare: 4.8,
    slownessShare: 1.5,
    crossDataCentre: 4,
    jitter: 1,
};

/** Selects the upstream with the lowest estimated cost for a call; undefined if no upstream accepts calls. */
export function chooseUpstream(
    upstreams: Iterable<UpstreamState>,
    criteria: SelectionCriteria,
    costs: SelectionCosts,
    now: number,
    random: Random,
): UpstreamChoice | undefined {
    let best: UpstreamState | undefined;
    let lowestCost = Infinity;
    let lowestUnlimitedCost = Infinity;
    const usable = [...upstreams].filter(state => isUsable(state, criteria, now));
    const assumed = assumeCachedTokens(usable, criteria.parts[0]);
    for (const upstream of usable) {
        const cached = estimateCachedTokens(upstream, criteria, assumed.get(upstream) ?? 0);
        const suspensionCost = upstream.isSuspended(now) ? suspensionPenaltyMs : 0;
        const cost = estimateCost(upstream, criteria, cached, costs, now) + random() * costs.jitter + suspensionCost +
            permitCost(upstream, now);
        if (cost < lowestCost) {
            lowestCost = cost;
            best = upstream;
        }
        if (!upstream.rateLimit.isInForce()) {
            lowestUnlimitedCost = Math.min(lowestUnlimitedCost, cost);
        }
    }
    return best === undefined ?
        undefined :
        { upstream: best,
            maxPermitDelay: Math.min(criteria.maxPermitDelay,
                lowestUnlimitedCost - lowestCost + best.permitDelay(now)) };
}

function isUsable(upstream: UpstreamState, { tried, maxPermitDelay }: SelectionCriteria, now: number): boolean {
    return !upstream.isLeaving() && !tried.has(upstream.entry.id) && upstream.takesRequestWithin(maxPermitDelay, now);
}

/** Time to ask another gateway for a permit. */
const permitRequestMs = 3;

/** Cost of an upstream with a rate limit: the time until its next permit is expected. */
function permitCost(upstream: UpstreamState, now: number): number {
    return upstream.rateLimit.isInForce() ? permitRequestMs + upstream.permitDelay(now) : 0;
}

/** Cost that ranks a suspended upstream below all others; it is still selected if no other is available. */
const suspensionPenaltyMs = 1e6;

/**
 * Number of prompt tokens that an upstream has to prefill; undefined if this gateway knows of no cached part, since the
 * calls of other gateways may have filled the cache.
 */
export function tokensToPrefill(upstream: UpstreamState, parts: readonly PromptPart[], promptTokens: number) {
    const cached = upstream.cache.matchedTokens(parts);
    return cached === 0 ? undefined : Math.max(0, promptTokens - cached);
}

/** Estimates how many tokens of the prompt are in an upstream's cache. */
function estimateCachedTokens(upstream: UpstreamState, { parts, preferred }: SelectionCriteria,
    assumed: number): number {
    const known = Math.max(upstream.cache.matchedTokens(parts), assumed);
    if (upstream.entry.id !== preferred) {
        return known;
    }
    // The previous turn ran on this upstream, possibly sent by another gateway, so only the last part is new.
    return Math.max(known, parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0));
}

/** Share of a prompt's first part that is assumed to be cached on its first and second engine in each data centre. */
const assumedCachedShares = [0.9, 0.5];

/**
 * Tokens assumed to be cached because other gateways send prompts with the same first part to the same engines. All
 * gateways rank the engines of a data centre by rendezvous hashing of the part, so that few engines have to prefill it.
 */
function assumeCachedTokens(
    upstreams: readonly UpstreamState[],
    firstPart: PromptPart | undefined,
): ReadonlyMap<UpstreamState, number> {
    const assumed = new Map<UpstreamState, number>();
    if (firstPart === undefined) {
        return assumed;
    }
    const ranked = upstreams
        .map(upstream => ({ upstream, weight: hash(`${firstPart.id}\n${upstream.entry.id}`) }))
        .sort((left, right) => right.weight - left.weight);
    const rankedCounts = new Map<string, number>();
    for (const { upstream } of ranked) {
        const rank = rankedCounts.get(upstream.entry.dataCentre) ?? 0;
        rankedCounts.set(upstream.entry.dataCentre, rank + 1);
        assumed.set(upstream, firstPart.tokens * (assumedCachedShares[rank] ?? 0));
    }
    return assumed;
}

function estimateCost(
    upstream: UpstreamState,
    criteria: SelectionCriteria,
    cached: number,
    costs: SelectionCosts,
    now: number,
): number {
    const { estimate, entry } = upstream;
    const prefillCost = Math.max(0, criteria.promptTokens - cached) / estimate.prefillTokensPerMs;
    const calls = upstream.estimatedCalls(now);
    const waiting = Math.max(0, calls + 1 - entry.slots);
    const loadCost = (calls * costs.perRunningShare + waiting * costs.perWaitingShare) * estimate.baselineLatency /
        entry.slots;
    const slowdownCost = estimate.baselineLatency * costs.slownessShare * (upstream.slowness(now) - 1);
    const distanceCost = entry.dataCentre === criteria.dataCentre ? 0 : costs.crossDataCentre;
    return prefillCost + loadCost + slowdownCost + distanceCost;
}
