import { idOf, type TimelineEvent } from "./event.ts";
import { lostRanges, type Range } from "./gap.ts";
import { estimateOffsets, type Link, type Offset } from "./offset.ts";
import type { Excerpt } from "./timeline.ts";

/** One view of the events of all processes. */
export interface MergedTimeline {
    readonly lines: readonly Line[];
    /** Events and gaps; whatever can have influenced an event comes before it. */
    readonly entries: readonly Entry[];
}

/** One life of a process. */
export interface Line {
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

/** An event at its place in the merged view. */
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
    axis: number;
    cause: Node | undefined;
    /** An event that comes first and was not in place when last looked at. */
    blocker: Node | undefined;
    /** Time in the merged view; undefined until the event is in place. */
    time: number | undefined;
}

interface Track {
    readonly index: number;
    readonly process: string;
    readonly incarnation: string;
    readonly nodes: Node[];
    readonly gaps: Range[];
    /** Wall clock minus monotonic clock. */
    readonly base: number;
    offset: Offset;
    head: number;
    nextGap: number;
    time: number;
}

/** Allowance in milliseconds for clocks that run at slightly different rates. */
const driftAllowance = 1;

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
    return { lines: tracks.map(lineOf), entries };
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
        const known = bySequence.get(event.sequence);
        // Two different events of one number are bad input; the choice must not depend on the order of the lists.
        if (known === undefined || JSON.stringify(event) < JSON.stringify(known)) {
            bySequence.set(event.sequence, event);
        }
    }
    const events = [...bySequence.values()].sort((a, b) => a.sequence - b.sequence);
    const gaps = lostRanges(excerpts, events.map(event => event.sequence));
    const base = median(events.map(event => event.wall - event.monotonic));
    const offset = { correction: 0, group: index, uncertainty: 0 };
    const track: Track = { index, process, incarnation, nodes: [], gaps, base, offset, head: 0, nextGap: 0,
        time: -Infinity };
    for (const event of events) {
        track.nodes.push({ event, id: idOf(event), track, axis: event.monotonic + base, cause: undefined,
            blocker: undefined, time: undefined });
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
    const links: Link[] = [];
    for (const { cause, track, axis } of nodes) {
        if (cause !== undefined && cause.track !== track) {
            links.push({ from: cause.track.index, to: track.index, sent: cause.axis, received: axis });
        }
    }
    const offsets = estimateOffsets(tracks.length, links);
    tracks.forEach((track, index) => track.offset = offsets[index]!);
    nodes.forEach(node => node.axis += node.track.offset.correction);
}

/** Takes the earliest event whose predecessors are in place, again and again. */
function sortNodes(tracks: readonly Track[]): Entry[] {
    const entries: Entry[] = [];
    for (let open = tracks.filter(hasMore); open.length > 0; open = open.filter(hasMore)) {
        const heads = open.map(track => track.nodes[track.head]!);
        const ready = heads.filter(node => isReady(node, heads));
        if (ready.length > 0) {
            place(earliest(ready), false, entries);
        }
        else {
            // A guessed sender gives way before a stated cause does.
            const guessed = heads.filter(node => node.cause === undefined || node.cause.time !== undefined);
            place(earliest(guessed.length > 0 ? guessed : heads), guessed.length === 0, entries);
        }
    }
    tracks.forEach(track => placeGaps(track, Infinity, entries));
    return entries;
}

function hasMore(track: Track): boolean {
    return track.head < track.nodes.length;
}

function isReady(node: Node, heads: readonly Node[]): boolean {
    if (node.blocker === undefined || node.blocker.time !== undefined) {
        const { cause } = node;
        const waits = cause !== undefined && cause.time === undefined;
        node.blocker = waits ? cause : heads.find(head => mayPrecede(head, node));
    }
    return node.blocker === undefined;
}

/**
 * Whether a message from one process may have reached the other before the given events. Messages need not name a
 * cause, so any event with a smaller Lamport clock may be a sender, unless the clocks, as far as they are known, say
 * that it was later. Only the first open event of each process is compared: the later ones are larger in both.
 */
function mayPrecede(sender: Node, receiver: Node): boolean {
    const [from, to] = [sender.track, receiver.track];
    if (from === to || sender.event.lamport >= receiver.event.lamport) {
        return false;
    }
    const error = from.offset.group === to.offset.group
        ? from.offset.uncertainty + to.offset.uncertainty + driftAllowance
        : Infinity;
    return sender.axis <= receiver.axis + error;
}

function earliest(nodes: readonly Node[]): Node {
    return nodes.reduce((best, node) => {
        const order = timeOf(node) - timeOf(best) || node.event.lamport - best.event.lamport
            || node.track.index - best.track.index;
        return order < 0 ? node : best;
    });
}

/** Never before the event's cause or the previous event of the process, whatever the clocks say. */
function timeOf({ axis, track, cause }: Node): number {
    return Math.max(axis, track.time, cause?.time ?? -Infinity);
}

function place(node: Node, contradicts: boolean, entries: Entry[]): void {
    const { event, id, track, cause } = node;
    const time = timeOf(node);
    node.time = time;
    track.time = time;
    track.head += 1;
    placeGaps(track, event.sequence, entries);
    const missing = event.cause !== undefined && cause === undefined;
    const link = contradicts ? "ignored" : missing ? "missing" : undefined;
    entries.push({ kind: "event", ...event, id, time, ...(link === undefined ? {} : { link }) });
}

function placeGaps(track: Track, before: number, entries: Entry[]): void {
    const { process, incarnation, gaps } = track;
    while (track.nextGap < gaps.length && gaps[track.nextGap]!.to < before) {
        const { from, to } = gaps[track.nextGap]!;
        // A process of which nothing is left has no time of its own.
        const time = Number.isFinite(track.time) ? track.time : entries.at(-1)?.time ?? 0;
        entries.push({ kind: "gap", process, incarnation, from, to, time });
        track.nextGap += 1;
    }
}

function lineOf({ process, incarnation, nodes, gaps, offset }: Track, _: number, tracks: readonly Track[]): Line {
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
