import type { Random } from "@tamarackgauge/core";

/** Faults of a gateway's process, of its connection to the store, and of upstreams. */
const faultKinds = ["stop", "kill", "pause", "reload", "storeReset", "storeSilent", "storeBusy", "storeSlow",
    "storeLostReply", "storeLateWrite", "storeAway", "portInUse", "refuse", "fail", "lose", "break", "foreign",
    "unsigned", "leave"] as const;

/** A kind of fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A fault. `startMs` is relative to the start of the soak. */
export interface Fault {
    readonly kind: FaultKind;
    /** Index of the affected gateway or upstream. */
    readonly target: number;
    readonly startMs: number;
    readonly durationMs: number;
}

/** A rate limit that an upstream names for some time. `startMs` is relative to the start of the soak. */
export interface PlannedLimit {
    /** Index of the upstream. */
    readonly target: number;
    readonly startMs: number;
    readonly durationMs: number;
    readonly requestsPerSecond: number;
}

/** Fault-free time at the start and at the end of the soak. */
const initialQuietMs = 1_000;
const finalQuietMs = 4_000;
const meanIntervalMs = 900;
const minDurationMs = 200;
const maxDurationMs = 2_000;
const namedRates = [1, 1.5, 4, 15];
/** Shorter limits end before they are judged. */
const minLimitMs = 5_000;
const maxLimitMs = 12_000;
const meanUnlimitedMs = 6_000;
/** Share of limits that another one follows at once. */
const changedLimitShare = 0.3;

/** Plans faults, which may overlap. The plan depends only on the random source. */
export function planFaults(soakDurationMs: number, targetCount: number, random: Random): readonly Fault[] {
    const faults: Fault[] = [];
    let startMs = initialQuietMs;
    while (startMs + maxDurationMs < soakDurationMs - finalQuietMs) {
        const kind = faultKinds[Math.floor(random() * faultKinds.length)]!;
        const target = Math.floor(random() * targetCount);
        faults.push({ kind, target, startMs: Math.round(startMs),
            durationMs: Math.round(minDurationMs + random() * (maxDurationMs - minDurationMs)) });
        startMs += -Math.log(1 - random()) * meanIntervalMs;
    }
    return faults;
}

/** Plans the rate limits of each upstream. Those of one upstream do not overlap. */
export function planLimits(soakDurationMs: number, upstreamCount: number, random: Random): readonly PlannedLimit[] {
    return Array.from({ length: upstreamCount }, (_, target) => planLimitsOf(target, soakDurationMs, random)).flat();
}

function planLimitsOf(target: number, soakDurationMs: number, random: Random): readonly PlannedLimit[] {
    const limits: PlannedLimit[] = [];
    let startMs = initialQuietMs - Math.log(1 - random()) * meanUnlimitedMs;
    while (startMs + minLimitMs < soakDurationMs - finalQuietMs) {
        const latestEndMs = Math.min(startMs + maxLimitMs, soakDurationMs - finalQuietMs);
        const durationMs = minLimitMs + random() * (latestEndMs - startMs - minLimitMs);
        limits.push({ target, startMs: Math.round(startMs), durationMs: Math.floor(durationMs),
            requestsPerSecond: namedRates[Math.floor(random() * namedRates.length)]! });
        startMs += durationMs - (random() < changedLimitShare ? 0 : Math.log(1 - random()) * meanUnlimitedMs);
    }
    return limits;
}
