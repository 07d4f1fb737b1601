import { idOf, type TimelineEvent } from "./event.ts";
import { lostRanges, type Range } from "./gap.ts";
import { estimateOffsets, type MessageTimes, type Offset } from "./offset.ts";
import type { Excerpt } from "./timeline.ts";

/** The events of all processes in one order. */
export interface MergedTimeline {
    readonly processes: readonly ProcessSummary[];
    /** Events and gaps; an event comes after all events that can have influenced it. */
    readonly entries: readonly Entry[];
}

/** Summary of one incarnation of a process. */
export interface ProcessSummary {
    readonly process: string;
    readonly incarnation: string;
    /** Milliseconds added to the wall clock of the process. */
    readonly correction: number;
    /** Largest error of the correction in milliseconds; undefined without messages in both directions. */
    readonly uncertainty?: number;
    readonly events: number;
    readonly lost: number;
}

export type Entry = MergedEvent | Gap;

/** An event in the merged view. */
export interface MergedEvent extends TimelineEvent {
    readonly kind: "event";
    readonly id: string;
    /** Milliseconds since 1970 on the common axis; never before the time of its cause. */
    readonly time: number;
    /** `missing`: the cause is not in the records; `ignored`: the records contradict themselves here. */
    readonly link?: "missing" | "ignored";
}

/** Events of one process that were lost. In a record of one program, some of them may have been of other programs. */
export interface Gap {
    readonly kind: "gap";
    readonly process: string;
    readonly incarnation: string;
    /** First and last lost sequence number. */
    readonly from: number;
    readonly to: number;
    readonly time: number;
}

interface Node {
    readonly event: TimelineEvent;
    readonly id: string;
    readonly track: Track;
    /** Time on the common axis before causes are taken into account. */
    axisTime: number;
    cause: Node | undefined;
    /** An event that must come before this one and had not been placed at the last check. */
    blocker: Node | undefined;
    /** Time in the merged view; undefined until the event has been placed. */
    mergedTime: number | undefined;
}

interface Track {
    readonly index: number;
    readonly process: string;
    readonly incarnation: string;
    readonly nodes: Node[];
    readonly gaps: Range[];
    /** Wall clock minus monotonic clock. */
    readonly wallMinusMonotonic: number;
    offset: Offset;
    nextNode: number;
    nextGap: number;
    lastTime: number;
}

/** Allowance in milliseconds for clocks that run at slightly different rates. */
const driftAllowanceMs = 1;

/**
 * Merges the records of several processes into one causally ordered view. The result does not depend on the order of
 * the lists. Records may overlap. Contradictory input (cycles) never throws; the contradicting links are ignored.
 */
export function mergeTimelines(excerpts: readonly Excerpt[]): MergedTimeline {
    const tracks = createTracks(excerpts);
    const nodes = tracks.flatMap(track => track.nodes);
    linkCauses(nodes);
    placeOnAxis(tracks, nodes);
    const entries = sortNodes(tracks);
    return { processes: tracks.map(summarize), entries };
}

function createTracks(excerpts: readonly Excerpt[]): Track[] {
    const groups = new Map<string, Excerpt[]>();
    for (const excerpt of excerpts) {
        const key = JSON.stringify([excerpt.process, excerpt.incarnation]);
        groups.set(key, [...groups.get(key) ?? [], excerpt]);
    }
    return [...groups].sort(([a], [b]) => compare(a, b)).map(([, group], index) => createTrack(group, index));
}

function createTrack(excerpts: readonly Excerpt[], index: number): Track {
    const { process, incarnation } = excerpts[0]!;
    const bySequence = new Map<number, TimelineEvent>();
    for (const event of excerpts.flatMap(excerpt => excerpt.events)) {
        const existing = bySequence.get(event.sequence);
        // Two different events of one number are bad input; the choice must not depend on the order of the lists.
        if (existing === undefined || JSON.stringify(event) < JSON.stringify(existing)) {
            bySequence.set(event.sequence, event);
        }
    }
    const events = [...bySequence.values()].sort((a, b) => a.sequence - b.sequence);
    const gaps = lostRanges(excerpts, events.map(event => event.sequence));
    const wallMinusMonotonic = median(events.map(event => event.wall - event.monotonic));
    const offset = { correction: 0, group: index, uncertainty: 0 };
    const track: Track = { index, process, incarnation, nodes: [], gaps, wallMinusMonotonic, offset, nextNode: 0,
        nextGap: 0, lastTime: -Infinity };
    for (const event of events) {
        track.nodes.push({ event, id: idOf(event), track, axisTime: event.monotonic + wallMinusMonotonic,
            cause: undefined, blocker: undefined, mergedTime: undefined });
    }
    return track;
}

function linkCauses(nodes: readonly Node[]): void {
    const byId = new Map(nodes.map(node => [node.id, node]));
    for (const node of nodes) {
        const cause = node.event.cause === undefined ? undefined : byId.get(node.event.cause);
        if (cause !== undefined) {
            node.cause = cause;
        }
    }
}

function placeOnAxis(tracks: readonly Track[], nodes: readonly Node[]): void {
    const messages: MessageTimes[] = [];
    for (const { cause, track, axisTime } of nodes) {
        if (cause !== undefined && cause.track !== track) {
            messages.push({ from: cause.track.index, to: track.index, sent: cause.axisTime, received: axisTime });
        }
    }
    const offsets = estimateOffsets(tracks.length, messages);
    tracks.forEach((track, index) => track.offset = offsets[index]!);
    nodes.forEach(node => node.axisTime += node.track.offset.correction);
}

/** Repeatedly places the earliest event whose predecessors have been placed. */
function sortNodes(tracks: readonly Track[]): Entry[] {
    const entries: Entry[] = [];
    for (let unfinished = tracks.filter(hasMore); unfinished.length > 0; unfinished = unfinished.filter(hasMore)) {
        const nextNodes = unfinished.map(track => track.nodes[track.nextNode]!);
        const ready = nextNodes.filter(node => isReady(node, nextNodes));
        if (ready.length > 0) {
            placeNode(earliest(ready), false, entries);
        }
        else {
            // The records contradict themselves. Possible senders are ignored first, then stated causes.
            const withoutPendingCause = nextNodes.filter(node =>
                node.cause === undefined || node.cause.mergedTime !== undefined
            );
            placeNode(earliest(withoutPendingCause.length > 0 ? withoutPendingCause : nextNodes),
                withoutPendingCause.length === 0, entries);
        }
    }
    tracks.forEach(track => placeGaps(track, Infinity, entries));
    return entries;
}

function hasMore(track: Track): boolean {
    return track.nextNode < track.nodes.length;
}

function isReady(node: Node, nextNodes: readonly Node[]): boolean {
    if (node.blocker === undefined || node.blocker.mergedTime !== undefined) {
        const { cause } = node;
        const causePending = cause !== undefined && cause.mergedTime === undefined;
        node.blocker = causePending ? cause : nextNodes.find(head => mayPrecede(head, node));
    }
    return node.blocker === undefined;
}

/**
 * Whether `receiver` may depend on `sender` by a message between their processes. Messages need not name a cause, so
 * any event with a smaller Lamport clock may be the sender, unless the clocks, within their known error, place it
 * later. Only the next event of each process is compared: later events have larger Lamport clocks and later times.
 */
function mayPrecede(sender: Node, receiver: Node): boolean {
    const [from, to] = [sender.track, receiver.track];
    if (from === to || sender.event.lamport >= receiver.event.lamport) {
        return false;
    }
    const maxError = from.offset.group === to.offset.group
        ? from.offset.uncertainty + to.offset.uncertainty + driftAllowanceMs
        : Infinity;
    return sender.axisTime <= receiver.axisTime + maxError;
}

function earliest(nodes: readonly Node[]): Node {
    return nodes.reduce((best, node) => {
        const order = mergedTimeOf(node) - mergedTimeOf(best) || node.event.lamport - best.event.lamport
            || node.track.index - best.track.index;
        return order < 0 ? node : best;
    });
}

/** Time of an event in the merged view: never before its cause or the previous event of its process. */
function mergedTimeOf({ axisTime, track, cause }: Node): number {
    return Math.max(axisTime, track.lastTime, cause?.mergedTime ?? -Infinity);
}

function placeNode(node: Node, contradictory: boolean, entries: Entry[]): void {
    const { event, id, track, cause } = node;
    const time = mergedTimeOf(node);
    node.mergedTime = time;
    track.lastTime = time;
    track.nextNode += 1;
    placeGaps(track, event.sequence, entries);
    const missing = event.cause !== undefined && cause === undefined;
    const link = contradictory ? "ignored" : missing ? "missing" : undefined;
    entries.push({ kind: "event", ...event, id, time, ...(link === undefined ? {} : { link }) });
}

function placeGaps(track: Track, before: number, entries: Entry[]): void {
    const { process, incarnation, gaps } = track;
    while (track.nextGap < gaps.length && gaps[track.nextGap]!.to < before) {
        const { from, to } = gaps[track.nextGap]!;
        // A process without placed events has no time of its own.
        const time = Number.isFinite(track.lastTime) ? track.lastTime : entries.at(-1)?.time ?? 0;
        entries.push({ kind: "gap", process, incarnation, from, to, time });
        track.nextGap += 1;
    }
}

function summarize({ process, incarnation, nodes, gaps, offset }: Track, _: number,
    tracks: readonly Track[]): ProcessSummary {
    const compared = tracks.filter(track => track.offset.group === offset.group).length > 1;
    return {
        process,
        incarnation,
        correction: offset.correction,
        ...(compared ? { uncertainty: offset.uncertainty } : {}),
        events: nodes.length,
        lost: gaps.reduce((sum, { from, to }) => sum + to - from + 1, 0),
    };
}

function median(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[sorted.length >> 1] ?? 0;
}

function compare(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
