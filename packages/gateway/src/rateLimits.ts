import { incarnationOf, type RateLimitStatement, type UpstreamState } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Permits, StatedRateLimit } from "./permits.ts";

/** What an upstream states about its rate limit in the answer to a call. */
export interface RateLimitObservation {
    readonly statement: RateLimitStatement;
    /** When the call was sent, in monotonic milliseconds. */
    readonly sentAt: number;
    readonly call: string;
}

/** Keeps the sends of this gateway within the rate limits of upstreams. */
export interface RateLimits {
    /** Resolves with true when a request may be sent, and with false if it may not within `maxDelay` ms or the signal is aborted. */
    acquire(upstream: UpstreamState, maxDelay: number, signal: AbortSignal): Promise<boolean>;
    observe(upstream: UpstreamState, observation: RateLimitObservation): void;
}

/** Dependencies of the rate limits. */
export interface RateLimitsParts {
    readonly permits: Permits;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/**
 * A permit may be used for this long after its time, longer if the next one is due later. Both bounds keep two issuers
 * within what an upstream tolerates. Later, another permit is needed.
 */
const minUsableMs = 250;
const maxUsableMs = 1_000;

/** Creates the rate limits of a gateway. */
export function createRateLimits({ permits, metrics, log, now }: RateLimitsParts): RateLimits {
    async function acquire(state: UpstreamState, maxDelay: number, signal: AbortSignal): Promise<boolean> {
        const requestsPerSecond = state.rateLimit.requestsPerSecond();
        if (requestsPerSecond === undefined) {
            return true;
        }
        const askedAt = now();
        const stated = { requestsPerSecond, statedAt: state.rateLimit.namedAt()! };
        const request = permits.request({ upstream: incarnationOf(state.entry), stated, maxDelay });
        const outcome = await Promise.race([request, whenAborted(signal)]);
        if (outcome === undefined) {
            return false;
        }
        const { decision, later } = outcome;
        if (later !== undefined) {
            learn(state, later);
        }
        state.recordPermit(decision.delay, now());
        if (decision.kind === "denied" || decision.delay > maxDelay) {
            return false;
        }
        await Promise.race([sleep(askedAt + decision.delay - now()), whenAborted(signal)]);
        const isInTime = now() <= askedAt + decision.delay + usableTime(requestsPerSecond);
        return isInTime && !signal.aborted && !state.isLeaving() && !hasFallen(state, requestsPerSecond);
    }

    function learn(state: UpstreamState, { requestsPerSecond, statedAt }: StatedRateLimit): void {
        const statement: RateLimitStatement = requestsPerSecond === undefined
            ? { kind: "unlimited" }
            : { kind: "limited", requestsPerSecond };
        record(state, { statement, sentAt: statedAt, receivedAt: statedAt, from: "issuer" });
    }

    function observe(state: UpstreamState, { statement, sentAt, call }: RateLimitObservation): void {
        const receivedAt = now();
        if (record(state, { statement, sentAt, receivedAt, from: call })) {
            const upstream = incarnationOf(state.entry);
            permits.prepare(upstream);
            permits.report(upstream, { requestsPerSecond: state.rateLimit.requestsPerSecond(), statedAt: receivedAt });
        }
    }

    /** Returns whether the limit has changed enough to be reported. */
    function record(state: UpstreamState, { statement, sentAt, receivedAt, from }: {
        readonly statement: RateLimitStatement;
        readonly sentAt: number;
        readonly receivedAt: number;
        /** The call whose answer stated it, or `issuer`. */
        readonly from: string;
    }): boolean {
        const change = state.rateLimit.record(statement, { sentAt, receivedAt });
        if (change === undefined) {
            return false;
        }
        const { id, service } = state.entry;
        metrics.recordRateLimitChange(service, change.kind);
        log.info("upstream.limited", { upstream: id, service, ...change, from });
        return true;
    }

    return { acquire, observe };
}

/** How long after its time a permit may be used, in ms. */
function usableTime(requestsPerSecond: number): number {
    return Math.min(maxUsableMs, Math.max(minUsableMs, 1_000 / requestsPerSecond));
}

/** Whether the limit is lower than the one at which a permit was granted. */
function hasFallen({ rateLimit }: UpstreamState, grantedAt: number): boolean {
    return (rateLimit.requestsPerSecond() ?? Infinity) < grantedAt;
}

/** One promise for each signal, so that a call that waits often does not add a listener each time. */
const abortions = new WeakMap<AbortSignal, Promise<undefined>>();

function whenAborted(signal: AbortSignal): Promise<undefined> {
    const known = abortions.get(signal);
    if (known !== undefined) {
        return known;
    }
    const aborted = new Promise<undefined>(resolve => {
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener("abort", () => resolve(undefined), { once: true });
    });
    abortions.set(signal, aborted);
    return aborted;
}
