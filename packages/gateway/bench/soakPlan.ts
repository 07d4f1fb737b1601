import type { Random } from "@tamarackgauge/core";

/** What goes wrong: with a gateway's process, with its way to the store, or with upstreams. */
const faultKinds = ["stop", "kill", "pause", "reload", "storeReset", "storeSilent", "storeBusy", "storeSlow",
    "storeLostReply", "storeLateWrite", "storeAway", "refuse", "fail", "lose", "break", "foreign", "unsigned",
    "leave"] as const;

/** A kind of fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A fault; times in milliseconds from the start. */
export interface Fault {
    readonly kind: FaultKind;
    /** The gateway or the upstream that it strikes, by its place among them. */
    readonly target: number;
    readonly startMs: number;
    readonly durationMs: number;
}

/** Faults begin after this and have ended this long before the end, in ms. */
const initialQuietMs = 1_000;
const finalQuietMs = 4_000;
const meanIntervalMs = 900;
const minDurationMs = 200;
const maxDurationMs = 2_000;

/** Plans faults that may overlap. The same random source gives the same plan. */
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
