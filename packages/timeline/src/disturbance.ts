import type { EventName } from "./event.ts";
import type { MergedEvent } from "./merge.ts";

/** A condition under which requests can be slow or refused, from its event to its end. Times are on the common axis. */
export interface Disturbance {
    readonly event: MergedEvent;
    readonly from: number;
    /** Equal to `from` for a condition without duration; Infinity when no end is recorded. */
    readonly to: number;
}

/** Events that report a disturbance, each with the event that ends it, or `none` for those without duration. */
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

/**
 * Finds the disturbances in ordered events, sorted by their start. A repeated event ends the open disturbance and
 * starts the next one at the same time.
 */
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
