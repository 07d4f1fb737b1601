import type { EventName } from "./event.ts";
import type { MergedEvent } from "./merge.ts";

/** Something that can slow down or refuse requests, from its event to its end. Times are on the common axis. */
export interface Disturbance {
    readonly event: MergedEvent;
    readonly from: number;
    /** Equal to `from` for what has no duration; Infinity while no end is recorded. */
    readonly to: number;
}

/** Disturbing events of no program, each with the event that ends it if it lasts. */
const endEvents: Partial<Record<EventName, EventName | "none">> = {
    storeSlow: "storeUp",
    storeDown: "storeUp",
    linkDown: "linkUp",
    engineSetAside: "engineRestored",
    handOverStarted: "handOverFinished",
    leaseRenewedLate: "none",
    leaseExpired: "none",
    leaseFenced: "none",
    takeover: "none",
    budgetRefused: "none",
    shutdownStarted: "none",
};

/** The disturbances among events in order, by their beginning. An event that repeats itself continues the last one. */
export function findDisturbances(events: readonly MergedEvent[]): Disturbance[] {
    const found: { event: MergedEvent; from: number; to: number; }[] = [];
    const open = new Map<string, { to: number; }>();
    for (const event of events) {
        const endEvent = endEvents[event.event];
        if (endEvent === undefined) {
            close(event.event, event);
            continue;
        }
        const hasDuration = endEvent !== "none";
        const disturbance = { event, from: event.time, to: hasDuration ? Infinity : event.time };
        found.push(disturbance);
        if (hasDuration) {
            close(endEvent, event, event.event);
            open.set(keyOf(event.event, event), disturbance);
        }
    }
    return found;

    function close(endEvent: EventName, event: MergedEvent, onlyName?: EventName): void {
        for (const name of Object.keys(endEvents) as EventName[]) {
            if (endEvents[name] === endEvent && (onlyName === undefined || onlyName === name)) {
                const key = keyOf(name, event);
                const disturbance = open.get(key);
                if (disturbance !== undefined) {
                    disturbance.to = event.time;
                    open.delete(key);
                }
            }
        }
    }
}

function keyOf(name: EventName, { process, incarnation, fields }: MergedEvent): string {
    return JSON.stringify([name, process, incarnation, fields?.["daemon"], fields?.["upstream"]]);
}
