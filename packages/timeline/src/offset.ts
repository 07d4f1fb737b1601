/** A message between two processes: the times of sending and receiving, each on the clock of its own process. */
export interface MessageTimes {
    /** Index of the sending process. */
    readonly from: number;
    /** Index of the receiving process. */
    readonly to: number;
    readonly sent: number;
    readonly received: number;
}

/** What to add to the times of a process to put them on the common axis, in milliseconds. */
export interface Offset {
    readonly correction: number;
    /** Processes with the same group were compared with each other by messages in both directions. */
    readonly group: number;
    /** Largest error of the correction against the first process of the group, if clocks run at the same rate. */
    readonly uncertainty: number;
}

interface ClockDifference {
    readonly a: number;
    readonly b: number;
    /** Clock of b minus clock of a. */
    readonly difference: number;
    readonly uncertainty: number;
}

/**
 * Estimates clock offsets of `count` processes. The shortest message in each direction between two processes bounds
 * the difference of their clocks from both sides; the middle is taken, as NTP does. The pairs with the smallest bounds
 * connect the processes of a group, and the axis is the median clock of the group. Groups without messages in both
 * directions keep their clocks, unless a message would arrive before it was sent.
 */
export function estimateOffsets(count: number, messages: readonly MessageTimes[]): Offset[] {
    const shortest = shortestDelays(messages);
    const offsets = buildGroups(count, clockDifferences(shortest));
    centreOnMedian(offsets);
    delayEarlyReceivers(offsets, shortest);
    return offsets;
}

interface Delay {
    readonly from: number;
    readonly to: number;
    readonly delay: number;
}

function shortestDelays(messages: readonly MessageTimes[]): Map<string, Delay> {
    const shortest = new Map<string, Delay>();
    for (const { from, to, sent, received } of messages) {
        const key = `${from} ${to}`;
        const delay = received - sent;
        if (from !== to && Number.isFinite(delay) && delay < (shortest.get(key)?.delay ?? Infinity)) {
            shortest.set(key, { from, to, delay });
        }
    }
    return shortest;
}

function clockDifferences(shortest: ReadonlyMap<string, Delay>): ClockDifference[] {
    const differences: ClockDifference[] = [];
    for (const { from, to, delay } of shortest.values()) {
        const reverse = shortest.get(`${to} ${from}`);
        if (from < to && reverse !== undefined) {
            // The sum cannot be negative if the clocks run at the same rate. If it is, its absolute value is taken as
            // the error.
            differences.push({ a: from, b: to, difference: (delay - reverse.delay) / 2,
                uncertainty: Math.abs(delay + reverse.delay) / 2 });
        }
    }
    return differences.sort((x, y) => x.uncertainty - y.uncertainty || x.a - y.a || x.b - y.b);
}

interface MutableOffset {
    correction: number;
    group: number;
    uncertainty: number;
}

/**
 * Connects the processes by the pairs with the smallest uncertainty (Kruskal's minimum spanning tree). The number of a
 * group is its lowest process index.
 */
function buildGroups(count: number, differences: readonly ClockDifference[]): MutableOffset[] {
    const treeEdges: ClockDifference[][] = Array.from({ length: count }, () => []);
    const parent = Array.from({ length: count }, (_, index) => index);
    const findRoot = (index: number): number => {
        while (parent[index] !== index) {
            parent[index] = parent[parent[index]!]!;
            index = parent[index]!;
        }
        return index;
    };
    for (const pair of differences) {
        const [a, b] = [findRoot(pair.a), findRoot(pair.b)];
        if (a !== b) {
            parent[Math.max(a, b)] = Math.min(a, b);
            treeEdges[pair.a]!.push(pair);
            treeEdges[pair.b]!.push(pair);
        }
    }
    const offsets = parent.map((_, index) => ({ correction: 0, group: findRoot(index), uncertainty: 0 }));
    for (let index = 0; index < count; index += 1) {
        if (offsets[index]!.group === index) {
            propagateOffsets(index, treeEdges, offsets);
        }
    }
    return offsets;
}

function propagateOffsets(root: number, treeEdges: readonly (readonly ClockDifference[])[],
    offsets: MutableOffset[]): void {
    const reached = new Set([root]);
    for (const index of reached) {
        const current = offsets[index]!;
        for (const { a, b, difference, uncertainty } of treeEdges[index]!) {
            const other = a === index ? b : a;
            if (!reached.has(other)) {
                reached.add(other);
                offsets[other]!.correction = current.correction + (a === index ? -difference : difference);
                offsets[other]!.uncertainty = current.uncertainty + uncertainty;
            }
        }
    }
}

/** Puts the axis on the median clock of each group, so that one wrong clock does not move the whole view. */
function centreOnMedian(offsets: MutableOffset[]): void {
    for (const group of new Set(offsets.map(offset => offset.group))) {
        const members = offsets.filter(offset => offset.group === group);
        const sorted = members.map(offset => offset.correction).sort((a, b) => a - b);
        const median = sorted[(sorted.length - 1) >> 1]!;
        members.forEach(offset => offset.correction -= median);
    }
}

/** Moves a group later while one of its messages would arrive before it was sent. */
function delayEarlyReceivers(offsets: MutableOffset[], shortest: ReadonlyMap<string, Delay>): void {
    for (let round = 0; round < offsets.length; round += 1) {
        let moved = false;
        for (const { from, to, delay } of shortest.values()) {
            const [sender, receiver] = [offsets[from]!, offsets[to]!];
            const earlyByMs = sender.correction - receiver.correction - delay;
            if (sender.group !== receiver.group && earlyByMs > 1e-6) {
                const { group } = receiver;
                offsets.filter(offset => offset.group === group).forEach(offset => offset.correction += earlyByMs);
                moved = true;
            }
        }
        if (!moved) {
            return;
        }
    }
}
