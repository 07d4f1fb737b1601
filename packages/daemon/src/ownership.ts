import { applyOwnershipStep, initialOwnership, isLeaseExpired, misplacedPartitions, observeLease, partitionsOf,
    watchedMembers } from "@tamarackgauge/core";
import type { Clock, LeaseObservation, Member, Ownership, OwnershipStep, WatchedMember } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import createDebug from "debug";
import { FencedError } from "./committer.ts";
import type { Committer } from "./committer.ts";
import { keys, ownershipRow } from "./rows.ts";

const log = createDebug("tamarackgauge:ownership");

/** Follows the ownership map and changes it: join, takeover, rebalancing and leave. */
export interface OwnershipKeeper {
    /** The newest known map; undefined before the first read. */
    map(): Ownership | undefined;
    /** Revision of that map; never decreases. */
    version(): number;
    /** Reads the map from the store unless the known map is at least as new as `version`. */
    refresh(version?: number): Promise<void>;
    /** Adds this daemon to the map and starts polling leases and the map. */
    join(): Promise<void>;
    /** Hands over the partitions that can be drained before the signal aborts, then leaves the map. */
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
    /** Called when a newer map is known. */
    readonly onMap: (map: Ownership, version: number) => void;
    /**
     * Stops the calls of partitions and stores their results. Returns the partitions that are idle now; the others
     * stay with this daemon.
     */
    readonly drain: (partitions: readonly number[], signal: AbortSignal) => Promise<readonly number[]>;
    /** Called with drained partitions that were not handed over, to serve them again. */
    readonly resume: (partitions: readonly number[]) => void;
    readonly onTakeover?: (failedMember: string, partitions: number) => void;
    readonly onHandOver?: (to: string, partitions: number) => void;
}

/** Number of daemons that watch each lease; with three, two can fail together with the lease holder. */
const watchersPerMember = 3;
/** Number of polls per read of the map; peers that announce a newer version cause additional reads. */
const pollsPerMapRead = 5;
/** When rebalancing, a partition is skipped if its unmovable calls run longer than this; the next poll retries it. */
const rebalanceDrainTimeoutMs = 2_000;
/** A leaving daemon hands over the partitions that are idle after this time, then retries the others. */
const leaveDrainTimeoutMs = 100;

/** Creates the keeper; it starts polling once `join` has been called. */
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

    /** Applies steps to the stored map; false if another daemon changed the map first. */
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
                log("Polling leases and the ownership map failed: %s.", (error as Error).message);
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
            // No daemon can renew its lease while the store is down, so after an outage each gets a full time to live.
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
        // Each watcher waits one poll interval longer than the previous one, so that usually only one takes over.
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

    /** Hands over the idle partitions to all receivers with a single change of the map. */
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
            // Another daemon changed the map first; the newer map has been read.
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
