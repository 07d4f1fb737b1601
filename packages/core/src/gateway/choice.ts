import type { Random } from "../clock.ts";
import { hash } from "../hash.ts";
import type { PromptPart } from "./call.ts";
import type { UpstreamState } from "./upstreamState.ts";

/** A call that needs an upstream. */
export interface SelectionCriteria {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly dataCentre: string;
    /** Upstreams that this call was sent to already. */
    readonly tried: ReadonlySet<string>;
    /** The upstream that is believed to hold the session's memory. */
    readonly preferred: string | undefined;
}

/** Costs of a choice, in milliseconds that the call takes longer, and in shares of a call that nothing holds up. */
export interface SelectionCosts {
    /** What each call adds that runs for every place that the upstream has, as a share of the usual time. */
    readonly perRunningShare: number;
    /** What each call adds that waits, for every place. */
    readonly perWaitingShare: number;
    /** What an upstream adds that works at twice its usual time. */
    readonly slownessShare: number;
    /** What an upstream in another data centre costs: time on the way and the price of the bytes. */
    readonly crossDataCentre: number;
    /** Equal choices are spread by a random cost up to this. */
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

/** Costs for plain services. */
export const plainServiceCosts: SelectionCosts = {
    perRunningShare: 0.6,
    perWaitingShare: 4.8,
    slownessShare: 1.5,
    crossDataCentre: 4,
    jitter: 1,
};

/** Picks the upstream at which a call is expected to end first; undefined when none takes calls. */
export function chooseUpstream(
    upstreams: Iterable<UpstreamState>,
    criteria: SelectionCriteria,
    costs: SelectionCosts,
    now: number,
    random: Random,
): UpstreamState | undefined {
    let best: UpstreamState | undefined;
    let lowestCost = Infinity;
    const usable = [...upstreams].filter(({ entry }) => !entry.draining && !criteria.tried.has(entry.id));
    const assumed = assumeCachedTokens(usable, criteria.parts[0]);
    for (const upstream of usable) {
        const cached = estimateCachedTokens(upstream, criteria, assumed.get(upstream) ?? 0);
        const suspensionCost = upstream.isSuspended(now) ? suspensionPenaltyMs : 0;
        const cost = estimateCost(upstream, criteria, cached, costs, now) + random() * costs.jitter + suspensionCost;
        if (cost < lowestCost) {
            lowestCost = cost;
            best = upstream;
        }
    }
    return best;
}

/** A suspended upstream is still better than none. */
const suspensionPenaltyMs = 1e6;

/** Tokens of a prompt that an upstream has to read; undefined where other gateways may have had it read. */
export function tokensToPrefill(upstream: UpstreamState, parts: readonly PromptPart[], promptTokens: number) {
    const cached = upstream.cache.matchedTokens(parts);
    return cached === 0 ? undefined : Math.max(0, promptTokens - cached);
}

/** Tokens of the prompt that an upstream is believed to keep. */
function estimateCachedTokens(upstream: UpstreamState, { parts, preferred }: SelectionCriteria,
    assumed: number): number {
    const known = Math.max(upstream.cache.matchedTokens(parts), assumed);
    if (upstream.entry.id !== preferred) {
        return known;
    }
    // The previous turn ran there, also if another gateway sent it; only the last part is new.
    return Math.max(known, parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0));
}

/** Share of a prompt's first part that its first and second engine in each data centre are assumed to keep. */
const assumedCachedShares = [0.9, 0.5];

/**
 * Tokens that engines are assumed to keep because other gateways send them prompts with the same first part: in each
 * data centre, all gateways agree on the engines that come first for a part, so that few engines read it.
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
