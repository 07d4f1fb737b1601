import type { Clock } from "@tamarackgauge/core";
import type { EventName, Fields, TimelineEvent } from "./event.ts";
import type { Sink } from "./sink.ts";

/** An event as a part of the process reports it. */
export interface Observation {
    /** The part of the process that saw the event, such as `entry`, `owner` or `store`. */
    readonly part: string;
    readonly event: EventName;
    /** Key of the program, `<plan>/<program>`. */
    readonly program?: string;
    readonly request?: string;
    /** Id of the event, in any process, that led to this one. */
    readonly cause?: string;
    readonly fields?: Fields;
}

/** Which events to read. */
export interface Selection {
    /** Only events with a larger sequence number. */
    readonly after?: number;
    /** Only events of this program, by key or by the name after the plan, and events of no program. */
    readonly program?: string;
}

/** The events of one process that are still in memory, and what is known about those that are not. */
export interface Excerpt {
    readonly process: string;
    readonly incarnation: string;
    /** Sequence number after which events were requested. */
    readonly after: number;
    /** Sequence number of the oldest event in memory. */
    readonly first: number;
    /** Sequence number of the next event. */
    readonly next: number;
    /** Whether events of other programs were omitted, so that a missing number does not mean a lost event. */
    readonly filtered: boolean;
    readonly events: readonly TimelineEvent[];
}

/** The record of the events of one process. */
export interface Timeline {
    /** Records an event and returns its id, to be given as the cause of what follows from it. */
    record(observation: Observation): string;
    /** The Lamport clock, to be sent with a message to another process. */
    stamp(): number;
    /** Merges the stamp of a received message. A stamp that is not a non-negative integer is ignored. */
    observe(stamp: number): void;
    /** The events in memory, oldest first. */
    read(selection?: Selection): Excerpt;
}

/** Settings of a timeline. */
export interface TimelineOptions {
    readonly process: string;
    /** Distinguishes successive processes of the same name. */
    readonly incarnation: string | number;
    readonly clock: Clock;
    /** Events kept in memory; older ones are overwritten. An event with fields takes about 330 bytes. */
    readonly capacity?: number;
    readonly sink?: Sink;
}

/** Larger stamps are ignored, because increments must stay exact. */
const maxStamp = 2 ** 52;

/** Creates the record of the events of this process: a ring buffer, since VMs have no disks. */
export function createTimeline(options: TimelineOptions): Timeline {
    const { process, clock, sink, capacity = 16_384 } = options;
    if (!Number.isInteger(capacity) || capacity < 1) {
        throw new RangeError(`the capacity of a timeline is a positive integer, not ${capacity}`);
    }
    const incarnation = String(options.incarnation);
    const prefix = `${process}/${incarnation}/`;
    const ring: TimelineEvent[] = [];
    let sequence = 0;
    let lamport = 0;

    function record(observation: Observation): string {
        sequence += 1;
        lamport += 1;
        const { part, event, program, request, cause, fields } = observation;
        // All events have the same properties in the same order, so they share one hidden class, which keeps recording
        // and reading fast.
        const recorded: TimelineEvent = { process, incarnation, sequence, lamport, wall: clock.wall(),
            monotonic: clock.monotonic(), part, event, program, request, cause, fields };
        ring[(sequence - 1) % capacity] = recorded;
        sink?.write(recorded);
        return prefix + sequence;
    }

    function observe(stamp: number): void {
        if (Number.isInteger(stamp) && stamp > lamport && stamp <= maxStamp) {
            lamport = stamp;
        }
    }

    function read(selection: Selection = {}): Excerpt {
        const { after = 0, program } = selection;
        const first = Math.max(1, sequence - capacity + 1);
        const events: TimelineEvent[] = [];
        for (let number = Math.max(first, after + 1); number <= sequence; number += 1) {
            const recorded = ring[(number - 1) % capacity]!;
            if (program === undefined || isSelected(recorded, program)) {
                events.push(recorded);
            }
        }
        return { process, incarnation, after, first, next: sequence + 1, filtered: program !== undefined, events };
    }

    return { record, stamp: () => lamport, observe, read };
}

/** Events of no program belong to every selection: a slow store or a lost link explains a slow call. */
function isSelected(recorded: TimelineEvent, program: string): boolean {
    return recorded.program === undefined || matchesProgram(recorded.program, program);
}

/** Whether a program's key is the wanted one, given as a key or as the name after the plan. */
export function matchesProgram(key: string, wanted: string): boolean {
    return key === wanted || key.endsWith(`/${wanted}`);
}
