import type { CacheEvent, Random } from "@tamarackgauge/core";

/** A cache event with its number; a gap in the numbers is a lost event. */
export interface NumberedEvent extends CacheEvent {
    readonly sequence: number;
}

/** The cache events of an engine, delivered late and with gaps. */
export interface EventLog {
    add(event: CacheEvent, now: number): void;
    /** The events after `sequence` that are visible. */
    after(sequence: number, now: number): NumberedEvent[];
}

/** The log is cut to this many events when it holds more than twice as many. */
const keptEvents = 10_000;

/** Creates an empty log. An event becomes visible after `delayMs`; a share `dropRate` of the events is lost. */
export function createEventLog(delayMs: number, dropRate: number, random: Random): EventLog {
    let events: { readonly at: number; readonly event: NumberedEvent; }[] = [];
    let sequence = 0;
    return {
        add(event, now) {
            sequence += 1;
            if (random() < dropRate) {
                return;
            }
            events.push({ at: now, event: { ...event, sequence } });
            if (events.length > 2 * keptEvents) {
                events = events.slice(-keptEvents);
            }
        },
        after: (from, now) =>
            events.filter(entry => entry.event.sequence > from && entry.at <= now - delayMs)
                .map(entry => entry.event),
    };
}
