import type { Random } from "../clock.ts";
import { hash } from "../hash.ts";
import type { PromptPart } from "./call.ts";
import type { UpstreamState } from "./upstreamState.ts";

/** A call that needs an upstream. */
export interface Demand {
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly dataCentre: string;
    /** Upstreams that this call was sent to already. */
    readonly tried: ReadonlySet<string>;
    /** The upstream that is believed to hold the session's memory. */
    readonly preferred: string | undefined;
}

/** Costs of a choice, in milliseconds that the call takes longer, and in shares of a call that nothing holds up. */
export interface ChoiceCosts {
    /** What each call adds that runs for every place that the upstream has, as a share of the usual time. */
    readonly perRunningShare: number;
    /** What each call adds that waits, for every place. */
    readonly perWaitingShare: number;
    /** What an upstream adds that works at twice its usual time. */
    readonly slownessShare: number;
    /** What an upstream in another data centre costs: time on the way and the price of the bytes. */
    readonly otherDataCentre: number;
    /** Equal choices are spread by a random cost up to this. */
    readonly spread: number;
}

/** Costs for model engines. */
export const modelCosts: ChoiceCosts = {
    perRunningShare: 0.25,
    perWaitingShare: 1.1,
    slownessShare: 3,
    otherDataCentre: 35,
    spread: 3,
};

/** Costs for plain services. */
export const plainCosts: ChoiceCosts = {
    perRunningShare: 0.6,
    perWaitingShare: 4.8,
    slownessShare: 1.5,
    otherDataCentre: 4,
    spread: 1,
};

/** Picks the upstream at which a call is expected to end first; undefined when none takes calls. */
export function chooseUpstream(
    upstreams: Iterable<UpstreamState>,
    demand: Demand,
    costs: ChoiceCosts,
    now: number,
    random: Random,
): UpstreamState | undefined {
    let best: UpstreamState | undefined;
    let least = Infinity;
    const usable = [...upstreams].filter(({ entry }) => !entry.draining && !demand.tried.has(entry.id));
    const assumed = assumedTokens(usable, demand.parts[0]);
    for (const upstream of usable) {
        const kept = keptTokens(upstream, demand, assumed.get(upstream) ?? 0);
        const suspension = upstream.isSuspended(now) ? suspendedCost : 0;
        const cost = costOf(upstream, demand, kept, costs, now) + random() * costs.spread + suspension;
        if (cost < least) {
            least = cost;
            best = upstream;
        }
    }
    return best;
}

/** A suspended upstream is still better than none. */
const suspendedCost = 1e6;

/** Tokens of a prompt that an upstream has to read; undefined where other gateways may have had it read. */
export function readTokens(upstream: UpstreamState, parts: readonly PromptPart[], promptTokens: number) {
    const kept = upstream.cache.matched(parts);
    return kept === 0 ? undefined : Math.max(0, promptTokens - kept);
}

/** Tokens of the prompt that an upstream is believed to keep. */
function keptTokens(upstream: UpstreamState, { parts, preferred }: Demand, assumed: number): number {
    const known = Math.max(upstream.cache.matched(parts), assumed);
    if (upstream.entry.id !== preferred) {
        return known;
    }
    // The previous turn ran there, also if another gateway sent it; only the last part is new.
    return Math.max(known, parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0));
}

/** Share of a prompt's first part that its first and second engine in each data centre are assumed to keep. */
const assumedShares = [0.9, 0.5];

/**
 * Tokens that engines are assumed to keep because other gateways send them prompts with the same first part: in each
 * data centre, all gateways agree on the engines that come first for a part, so that few engines read it.
 */
function assumedTokens(
    upstreams: readonly UpstreamState[],
    first: PromptPart | undefined,
): ReadonlyMap<UpstreamState, number> {
    const assumed = new Map<UpstreamState, number>();
    if (first === undefined) {
        return assumed;
    }
    const ranked = upstreams
        .map(upstream => ({ upstream, weight: hash(`${first.id}\n${upstream.entry.id}`) }))
        .sort((left, right) => right.weight - left.weight);
    const taken = new Map<string, number>();
    for (const { upstream } of ranked) {
        const rank = taken.get(upstream.entry.dataCentre) ?? 0;
        taken.set(upstream.entry.dataCentre, rank + 1);
        assumed.set(upstream, first.tokens * (assumedShares[rank] ?? 0));
    }
    return assumed;
}

function costOf(
    upstream: UpstreamState,
    demand: Demand,
    kept: number,
    costs: ChoiceCosts,
    now: number,
): number {
    const { service, entry } = upstream;
    const read = Math.max(0, demand.promptTokens - kept) / service.tokensPerMs;
    const calls = upstream.calls(now);
    const waiting = Math.max(0, calls + 1 - entry.slots);
    const busy = (calls * costs.perRunningShare + waiting * costs.perWaitingShare) * service.callTime / entry.slots;
    const slow = service.callTime * costs.slownessShare * (upstream.slowness(now) - 1);
    const distance = entry.dataCentre === demand.dataCentre ? 0 : costs.otherDataCentre;
    return read + busy + slow + distance;
}
