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

/** Fault-free time at the start and at the end of the soak. */
const initialQuietMs = 1_000;
const finalQuietMs = 4_000;
const meanIntervalMs = 900;
const minDurationMs = 200;
const maxDurationMs = 2_000;

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
