const kibibyte = 1_024;
const mebibyte = 1_024 * kibibyte;

/** Memory of an open connection without a call, in bytes. */
const connectionBytes = 8 * kibibyte;
/** Memory of a call under way beside its head and body, in bytes. */
const callBytes = 20 * kibibyte;
/** Memory of a header of a call beside its text, in bytes. */
const headerBytes = 64;
/** Headers above this number take more, as a hash table holds them by name and the lists of them are copied as they grow. */
const usualHeaders = 64;
const furtherHeaderBytes = 160;
/** A call's head is held as it came and as it is sent on. */
const headCopies = 2;
/** Memory that each byte of an unfinished head may take: many short headers take more than their text. */
const unfinishedHeadFactor = 4;

/** Share of a process's memory for what its callers hold beside bodies. */
const memoryShare = 0.2;
const minCallerBytes = 16 * mebibyte;
/** The heap, in which heads and calls lie, has room for no more. */
const maxCallerBytes = 48 * mebibyte;

/** Share for heads that have not ended. */
const unfinishedHeadShare = 0.25;
/** Calls are refused above this share, so that further connections can still be told so. */
const callShare = 0.85;
/** Above this share, only one call of each connection is read. */
const plentifulCallShare = 0.25;
/** Calls of one connection that may be without an answer before it is read no further. */
const maxCallsOfConnection = 4;
/** Share for bytes that have been read and wait until calls before them are answered. */
const waitingShare = 0.25;
/** Connections are closed until no more than this part of what is allowed is in use. */
const closingTarget = 0.95;
/** A connection that was opened or used this short a time ago is not closed to make room for a call. */
const minIdleMs = 250;

/** The bytes that callers of a process may hold in connections, heads and calls. */
export function callerBytesWithin(memoryBytes = Infinity): number {
    return Math.round(Math.min(maxCallerBytes, Math.max(minCallerBytes, memoryBytes * memoryShare)));
}

/** Share of a process's descriptors that connections of callers may take; the rest is for the store, upstreams and peers. */
const descriptorShare = 0.6;
/** Connections above this share are not accepted. Up to there new ones displace others, so that a rush has room. */
const maxDescriptorShare = 0.7;

/** What the callers of a process may hold. */
export interface CallerCapacity {
    /** Bytes in connections, heads and calls. */
    readonly bytes: number;
    /** Connections above which those without a call are closed. */
    readonly connections: number;
    /** Connections above which no further ones are accepted. */
    readonly acceptedConnections: number;
}

/** The capacity of a process of the given size; without `maxDescriptors`, connections are bounded by memory alone. */
export function callerCapacityOf(memoryBytes?: number, maxDescriptors = Infinity): CallerCapacity {
    return { bytes: callerBytesWithin(memoryBytes), connections: Math.floor(maxDescriptors * descriptorShare),
        acceptedConnections: Math.floor(maxDescriptors * maxDescriptorShare) };
}

/** Estimated memory of a call whose head has `bytes` bytes and `headers` headers, in bytes. */
export function callCost(bytes: number, headers: number): number {
    const further = Math.max(0, headers - usualHeaders);
    return callBytes + headCopies * bytes + (headers - further) * headerBytes + further * furtherHeaderBytes;
}

/** What one connection holds. Times are in milliseconds on the monotonic clock. */
export interface ConnectionUse {
    /** Bytes that have come of a head that has not ended. */
    readonly headBytes: number;
    /** When the unfinished head began, or the connection became idle. */
    readonly waitingSince: number;
    /** Calls of the connection that have been read and have no complete answer yet. */
    readonly calls: number;
}

/** Bytes read from a connection that wait to be parsed, until a call before them is answered or others have had a turn. */
export interface WaitingUse {
    readonly waitingBytes: number;
}

/** Why a connection is closed. */
export type ClosingCause =
    | "headTimeout"
    | "headMemory"
    | "idleTimeout"
    | "idleMemory"
    | "waitingMemory"
    | "descriptors";

/** Time limits of connections, in milliseconds. */
export interface ConnectionTimeouts {
    readonly head: number;
    readonly idle: number;
}

/** A connection to be closed. */
export interface Closing<Connection> {
    readonly connection: Connection;
    readonly cause: ClosingCause;
}

/** Memory that the callers of a process hold, in bytes. */
export interface CallerMemoryUse {
    readonly connections: number;
    readonly heads: number;
    readonly calls: number;
    /** Bytes that have been read and wait to be parsed. */
    readonly waiting: number;
}

/** Memory of connections, of the bytes that have come of unfinished heads, and of calls as reserved. */
export function callerMemoryUse(connections: number, headBytes: number, callCosts: number,
    waiting = 0): CallerMemoryUse {
    return { connections: connections * connectionBytes, heads: headBytes * unfinishedHeadFactor, calls: callCosts,
        waiting };
}

function useOf(connections: readonly ConnectionUse[], callCosts: number): CallerMemoryUse {
    return callerMemoryUse(connections.length, connections.reduce((sum, { headBytes }) => sum + headBytes, 0),
        callCosts);
}

/** Unfinished heads above their share are about to be closed and displace nothing else. */
function totalOf({ connections, heads, calls }: CallerMemoryUse, maxBytes: number): number {
    return connections + Math.min(heads, maxBytes * unfinishedHeadShare) + calls;
}

/** Whether a call of the given cost may be taken. */
export function hasRoomForCall(use: CallerMemoryUse, cost: number, maxBytes: number): boolean {
    return totalOf(use, maxBytes) + cost <= maxBytes * callShare;
}

/** Whether unfinished heads take more than their share. */
export function areHeadsOverLimit({ heads }: CallerMemoryUse, maxBytes: number): boolean {
    return heads > maxBytes * unfinishedHeadShare;
}

/**
 * How many calls of one connection may be without an answer before it is read no further. While calls take much of their
 * room it is one, so that requests sent ahead take no room from other connections.
 */
export function maxUnansweredCalls({ calls }: CallerMemoryUse, maxBytes: number): number {
    return calls > maxBytes * plentifulCallShare ? 1 : maxCallsOfConnection;
}

/** Chooses the connections to be closed as too many bytes wait to be parsed, those with the most of them first. */
export function chooseWaiting<Connection extends WaitingUse>(connections: Iterable<Connection>, waitingBytes: number,
    maxBytes: number): readonly Closing<Connection>[] {
    if (waitingBytes <= maxBytes * waitingShare) {
        return [];
    }
    const chosen: Closing<Connection>[] = [];
    let excess = waitingBytes - maxBytes * waitingShare * closingTarget;
    for (const connection of [...connections].toSorted((left, right) => right.waitingBytes - left.waitingBytes)) {
        if (excess <= 0 || connection.waitingBytes === 0) {
            break;
        }
        chosen.push({ connection, cause: "waitingMemory" });
        excess -= connection.waitingBytes;
    }
    return chosen;
}

/**
 * Chooses the connections to be closed, none of which has a call under way: those beyond a time limit, then unfinished
 * heads and idle connections beyond their room or beyond the descriptors for callers, those that have waited for longest
 * first.
 */
export function chooseClosings<Connection extends ConnectionUse>(connections: readonly Connection[], callCosts: number,
    capacity: Pick<CallerCapacity, "bytes" | "connections">, timeouts: ConnectionTimeouts,
    now: number): readonly Closing<Connection>[] {
    const maxBytes = capacity.bytes;
    const waiting = connections.filter(connection => connection.calls === 0);
    const expired = waiting.flatMap(connection => {
        const isIdle = connection.headBytes === 0;
        const isExpired = now - connection.waitingSince > (isIdle ? timeouts.idle : timeouts.head);
        return isExpired ? [{ connection, cause: isIdle ? "idleTimeout" as const : "headTimeout" as const }] : [];
    });
    const use = useOf(connections, callCosts);
    const maxHeads = maxBytes * unfinishedHeadShare;
    const heads = use.heads <= maxHeads
        ? []
        : oldestWorth(waiting.filter(({ headBytes }) => headBytes > 0),
            ({ headBytes }) => headBytes * unfinishedHeadFactor, use.heads - maxHeads * closingTarget);
    const idle = totalOf(use, maxBytes) <= maxBytes
        ? []
        : chooseIdle(waiting, totalOf(use, maxBytes) - maxBytes * closingTarget);
    return [
        ...expired,
        ...heads.map(connection => ({ connection, cause: "headMemory" as const })),
        ...idle.map(connection => ({ connection, cause: "idleMemory" as const })),
        ...chooseForDescriptors(connections.length, waiting, capacity.connections)
            .map(connection => ({ connection, cause: "descriptors" as const })),
    ];
}

/** Chooses the connections to be closed as there are too many, also those with an unfinished head, however small. */
function chooseForDescriptors<Connection extends ConnectionUse>(open: number, waiting: readonly Connection[],
    maxConnections: number): readonly Connection[] {
    return open <= maxConnections ? [] : oldestWorth(waiting, () => 1, open - maxConnections * closingTarget);
}

/** Chooses idle connections to be closed to make room for a call. */
export function chooseClosingsForCall<Connection extends ConnectionUse>(connections: readonly Connection[],
    callCosts: number, cost: number, maxBytes: number, now: number): readonly Closing<Connection>[] {
    const excess = totalOf(useOf(connections, callCosts), maxBytes) + cost - maxBytes * callShare * closingTarget;
    const closable = connections.filter(connection =>
        connection.calls === 0 && now - connection.waitingSince > minIdleMs
    );
    return chooseIdle(closable, excess).map(connection => ({ connection, cause: "idleMemory" as const }));
}

function chooseIdle<Connection extends ConnectionUse>(connections: readonly Connection[],
    bytes: number): readonly Connection[] {
    return oldestWorth(connections.filter(({ headBytes }) => headBytes === 0), () => connectionBytes, bytes);
}

/** The connections that have waited for longest, as many as hold the given bytes. */
function oldestWorth<Connection extends ConnectionUse>(connections: readonly Connection[],
    cost: (connection: Connection) => number, bytes: number): readonly Connection[] {
    const chosen: Connection[] = [];
    let remaining = bytes;
    for (const connection of connections.toSorted((left, right) => left.waitingSince - right.waitingSince)) {
        if (remaining <= 0) {
            break;
        }
        chosen.push(connection);
        remaining -= cost(connection);
    }
    return chosen;
}
