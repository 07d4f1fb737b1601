import type { Random } from "@tamarackgauge/core";

/** What goes wrong: with a gateway's process, with its way to the store, or with upstreams. */
const kinds = ["stop", "kill", "pause", "reload", "storeReset", "storeSilent", "storeBusy", "storeSlow",
    "storeLostReply", "storeLateWrite", "storeAway", "refuse", "fail", "lose", "break", "foreign", "unsigned",
    "leave"] as const;

/** A kind of fault. */
export type FaultKind = (typeof kinds)[number];

/** A fault; times in milliseconds from the start. */
export interface Fault {
    readonly kind: FaultKind;
    /** The gateway or the upstream that it strikes, by its place among them. */
    readonly target: number;
    readonly at: number;
    readonly length: number;
}

/** Faults begin after this and have ended this long before the end, in ms. */
const quietStart = 1_000;
const quietEnd = 4_000;
const meanInterval = 900;
const shortest = 200;
const longest = 2_000;

/** Plans faults that may overlap. The same random source gives the same plan. */
export function planFaults(time: number, targets: number, random: Random): readonly Fault[] {
    const faults: Fault[] = [];
    let at = quietStart;
    while (at + longest < time - quietEnd) {
        const kind = kinds[Math.floor(random() * kinds.length)]!;
        const target = Math.floor(random() * targets);
        faults.push({ kind, target, at: Math.round(at),
            length: Math.round(shortest + random() * (longest - shortest)) });
        at += -Math.log(1 - random()) * meanInterval;
    }
    return faults;
}
