import { applyOwnershipStep, initialOwnership, isLeaseExpired, misplacedPartitions, observeLease, partitionsOf,
    watchedMembers } from "@tamarackgauge/core";
import type { Clock, LeaseObservation, Member, Ownership, OwnershipStep, WatchedMember } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import createDebug from "debug";
import { FencedError } from "./committer.ts";
import type { Committer } from "./committer.ts";
import { keys, ownershipRow } from "./rows.ts";

const log = createDebug("tamarackgauge:ownership");

/** The daemon's view of the ownership map, and its part in changing it. */
export interface OwnershipKeeper {
    /** The newest map seen; undefined before the first read. */
    map(): Ownership | undefined;
    /** Revision of that map; only grows. */
    version(): number;
    /** Reads the map again unless it is as new as `version`. */
    refresh(version?: number): Promise<void>;
    /** Adds this daemon to the map. */
    join(): Promise<void>;
    /** Hands over all partitions; gives up those that cannot be drained before the signal aborts. */
    leave(signal: AbortSignal): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the keeper; times in milliseconds. */
export interface OwnershipOptions {
    readonly table: Table;
    readonly committer: Committer;
    readonly name: string;
    readonly member: Member;
    readonly partitions: number;
    readonly clock: Clock;
    readonly ttl: number;
    readonly pollInterval: number;
    /** Called with each newer map. */
    readonly onMap: (map: Ownership, version: number) => void;
    /**
     * Stops the calls of partitions and stores what they left. Answers with the partitions that are idle now;
     * the others go on here.
     */
    readonly drain: (partitions: readonly number[], signal: AbortSignal) => Promise<readonly number[]>;
    /** The partitions stay after all. */
    readonly resume: (partitions: readonly number[]) => void;
    readonly onTakeover?: (failedMember: string, partitions: number) => void;
    readonly onHandOver?: (to: string, partitions: number) => void;
}

/** How many daemons watch the lease of one; with three, two may fail together with it. */
const watchersPerMember = 3;
/** Polls between two reads of the map without a hint from a peer. */
const pollsPerMapRead = 5;
/** A partition with calls that cannot move is left alone after this time; it is tried again later. */
const rebalanceDrainTimeoutMs = 2_000;
/** A leaving daemon hands over what is idle after this time, and tries again for what is not. */
const leaveDrainTimeoutMs = 100;

/** Creates the keeper; it starts watching once `join` has been called. */
export function createOwnershipKeeper(options: OwnershipOptions): OwnershipKeeper {
    const { table, committer, name, clock } = options;
    const leaseObservations = new Map<string, LeaseObservation>();
    let current: { readonly map: Ownership; readonly version: number; } | undefined;
    let watched: readonly WatchedMember[] = [];
    let timer: NodeJS.Timeout | undefined;
    let pollCount = 0;
    let stopped = false;
    let leaving = false;
    let currentPoll: Promise<void> = Promise.resolve();

    function accept(map: Ownership, version: number): void {
        if (current !== undefined && version <= current.version) {
            return;
        }
        current = { map, version };
        watched = watchedMembers(map, name, watchersPerMember);
        options.onMap(map, version);
    }

    async function refresh(version = Infinity): Promise<void> {
        if (current !== undefined && current.version >= version) {
            return;
        }
        const row = await table.get(keys.ownership);
        if (row !== undefined) {
            accept(ownershipRow.decode(row.value), Number(row.revision));
        }
    }

    /** Changes the map by steps; false when another daemon changed it first. */
    function applySteps(...steps: readonly OwnershipStep[]): Promise<boolean> {
        return changeMap(steps, undefined);
    }

    async function changeMap(
        steps: readonly OwnershipStep[],
        leaseToDelete: { readonly key: string; readonly revision: string; } | undefined,
    ): Promise<boolean> {
        if (current === undefined) {
            return false;
        }
        const nextMap = steps.reduce(applyOwnershipStep, current.map);
        const result = await committer.change({
            checks: [
                { key: keys.ownership, revision: String(current.version) },
                ...leaseToDelete === undefined ? [] : [leaseToDelete],
            ],
            puts: [{ key: keys.ownership, value: ownershipRow.encode(nextMap) }],
            deletes: leaseToDelete === undefined || leaseToDelete.revision === "0" ? [] : [leaseToDelete.key],
        });
        if (result.applied) {
            accept(nextMap, Number(result.revision));
        }
        else {
            await refresh();
        }
        return result.applied;
    }

    async function createMap(): Promise<void> {
        const map = initialOwnership(options.partitions, name, options.member);
        const result = await committer.change({
            checks: [{ key: keys.ownership, revision: "0" }],
            puts: [{ key: keys.ownership, value: ownershipRow.encode(map) }],
        });
        if (result.applied) {
            accept(map, Number(result.revision));
        }
    }

    async function join(): Promise<void> {
        while (current?.map.members[name]?.incarnation !== committer.incarnation) {
            await refresh();
            if (current === undefined) {
                await createMap();
            }
            else {
                await applySteps({ type: "join", name, member: options.member });
            }
        }
        schedulePoll();
    }

    function schedulePoll(): void {
        if (!stopped) {
            timer = setTimeout(() => {
                currentPoll = pollOnce().finally(schedulePoll);
            }, options.pollInterval);
        }
    }

    async function pollOnce(): Promise<void> {
        try {
            pollCount += 1;
            if (pollCount % pollsPerMapRead === 0) {
                await refresh();
            }
            await watchLeases();
            if (!leaving) {
                await rebalance();
            }
        }
        catch (error) {
            if (!(error instanceof FencedError)) {
                log("The ownership map could not be kept: %s.", (error as Error).message);
            }
        }
    }

    async function watchLeases(): Promise<void> {
        try {
            for (const { name: other, rank } of watched) {
                await watchLease(other, rank);
            }
        }
        catch (error) {
            // While the store does not answer nobody can renew; every holder gets a whole time to live afterwards.
            leaseObservations.clear();
            throw error;
        }
    }

    async function watchLease(other: string, rank: number): Promise<void> {
        const key = keys.lease(other);
        const row = await table.get(key);
        const revision = row?.revision ?? "0";
        const now = clock.monotonic();
        const observation = observeLease(leaseObservations.get(other), revision, now);
        leaseObservations.set(other, observation);
        // A later successor gives the earlier ones a poll each to act.
        if (isLeaseExpired(observation, options.ttl + rank * options.pollInterval, now)) {
            await takeOver(other, { key, revision });
        }
    }

    async function takeOver(failedMember: string,
        leaseRow: { readonly key: string; readonly revision: string; }): Promise<void> {
        const partitions = current === undefined ? 0 : partitionsOf(current.map, failedMember).length;
        if (await changeMap([{ type: "remove", name: failedMember }], leaseRow)) {
            leaseObservations.delete(failedMember);
            log("Took over %d partitions of %s.", partitions, failedMember);
            options.onTakeover?.(failedMember, partitions);
        }
    }

    async function rebalance(): Promise<void> {
        if (current === undefined) {
            return;
        }
        const moves = misplacedPartitions(current.map, name);
        if (moves.size > 0) {
            await handOver(moves, AbortSignal.timeout(rebalanceDrainTimeoutMs));
        }
    }

    /** Hands over what is idle, to all receivers by one change of the map. */
    async function handOver(moves: ReadonlyMap<string, readonly number[]>, signal: AbortSignal): Promise<void> {
        const partitionsToMove = [...moves.values()].flat();
        const idle = new Set(await options.drain(partitionsToMove, signal));
        const steps = [...moves].map(([to, partitions]): OwnershipStep => ({
            type: "handOver",
            from: name,
            partitions: partitions.filter(partition => idle.has(partition)),
            to,
        }));
        const hasReceiver = () => [...moves.keys()].some(to => current?.map.members[to] !== undefined);
        try {
            while (idle.size > 0 && hasReceiver() && !await applySteps(...steps)) {
                // Another daemon changed the map first; the newer map has been read.
            }
        }
        finally {
            const kept = new Set(current === undefined ? [] : partitionsOf(current.map, name));
            options.resume(partitionsToMove.filter(partition => kept.has(partition)));
            [...moves].forEach(([to, partitions]) => reportHandOver(to, partitions.filter(each => !kept.has(each))));
        }
    }

    function reportHandOver(to: string, partitions: readonly number[]): void {
        if (partitions.length > 0) {
            log("Handed %d partitions over to %s.", partitions.length, to);
            options.onHandOver?.(to, partitions.length);
        }
    }

    async function leave(signal: AbortSignal): Promise<void> {
        leaving = true;
        clearTimeout(timer);
        await currentPoll;
        clearTimeout(timer);
        stopped = true;
        while (!signal.aborted && !await applySteps({ type: "leave", name })) {
            // Another daemon changed the map first; the newer map has been read.
        }
        const hasOtherMembers = () => Object.values(current?.map.members ?? {}).some(other => !other.leaving);
        while (!signal.aborted && hasOtherMembers() &&
            partitionsOf(current?.map ?? { members: {}, owners: [] }, name).length > 0) {
            const moves = misplacedPartitions(current?.map ?? { members: {}, owners: [] }, name);
            const drainSignal = AbortSignal.any([signal, AbortSignal.timeout(leaveDrainTimeoutMs)]);
            await handOver(moves, drainSignal);
        }
        while (!signal.aborted && hasOtherMembers() && !await applySteps({ type: "remove", name })) {
            // As above.
        }
    }

    return {
        map: () => current?.map,
        version: () => current?.version ?? 0,
        refresh,
        join,
        leave,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            clearTimeout(timer);
            await currentPoll;
        },
    };
}
