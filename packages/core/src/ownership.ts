import { z } from "zod";
import { hash, rankByRendezvous } from "./hash.ts";

/** A daemon that may own partitions. */
export const member = z.object({
    /** One life of the daemon; a restarted or fenced daemon takes a new one. */
    incarnation: z.string(),
    address: z.string(),
    /** Port of the links between daemons. */
    port: z.number().int(),
    dataCentre: z.string(),
    /** A leaving member receives no partitions. */
    leaving: z.boolean(),
});

/** A daemon that may own partitions. */
export type Member = z.infer<typeof member>;

/** Which daemon owns which partition: one row of the table service. */
export const ownership = z.object({
    members: z.record(z.string(), member),
    /** Name of the owner by partition number; undefined members never appear here. */
    owners: z.array(z.string()),
});

/** Which daemon owns which partition: one row of the table service. */
export type Ownership = z.infer<typeof ownership>;

/** A described change of the ownership map. */
export type OwnershipStep =
    | { readonly type: "join"; readonly name: string; readonly member: Member; }
    /** The member takes no more partitions; it hands over those it has. */
    | { readonly type: "leave"; readonly name: string; }
    /** The owner gives partitions to another member. */
    | { readonly type: "handOver"; readonly from: string; readonly partitions: readonly number[]; readonly to: string; }
    /** The member is gone: fenced after its lease expired, or left without partitions. */
    | { readonly type: "remove"; readonly name: string; };

/** The map of the first daemon, which owns everything. */
export function initialOwnership(partitions: number, name: string, first: Member): Ownership {
    return { members: { [name]: first }, owners: Array.from({ length: partitions }, () => name) };
}

/** Number of the partition of a program key or an engine name. */
export function partitionOf(key: string, partitions: number): number {
    return hash(key) % partitions;
}

/** Applies a step; the given map stays as it is. */
export function applyOwnershipStep(map: Ownership, step: OwnershipStep): Ownership {
    switch (step.type) {
        case "join":
            return { ...map, members: { ...map.members, [step.name]: step.member } };
        case "leave":
            return markLeaving(map, step.name);
        case "handOver":
            return movePartitions(map, step.from, new Set(step.partitions), step.to);
        case "remove":
            return removeMember(map, step.name);
    }
}

function markLeaving(map: Ownership, name: string): Ownership {
    const leavingMember = map.members[name];
    if (leavingMember === undefined) {
        return map;
    }
    return { ...map, members: { ...map.members, [name]: { ...leavingMember, leaving: true } } };
}

function movePartitions(map: Ownership, from: string, partitions: ReadonlySet<number>, to: string): Ownership {
    if (map.members[to] === undefined) {
        return map;
    }
    // Only the owner gives partitions away: one that was taken over meanwhile stays where it is.
    return { ...map,
        owners: map.owners.map((owner, partition) => owner === from && partitions.has(partition) ? to : owner) };
}

function removeMember(map: Ownership, name: string): Ownership {
    const members = Object.fromEntries(Object.entries(map.members).filter(([other]) => other !== name));
    const owners = map.owners.map((owner, partition) => owner === name ? preferredOwner(members, partition) : owner);
    return { members, owners };
}

/** The member that should own a partition: the first by rendezvous hash among those that stay. */
export function preferredOwner(members: Readonly<Record<string, Member>>, partition: number): string {
    const names = Object.keys(members);
    const staying = names.filter(name => members[name]?.leaving !== true);
    return rankByRendezvous(`partition ${partition}`, staying.length > 0 ? staying : names)[0] ?? "";
}

/** The partitions a member owns. */
export function partitionsOf(map: Ownership, name: string): readonly number[] {
    return map.owners.flatMap((owner, partition) => owner === name ? [partition] : []);
}

/** Partitions that a member owns and another one should own, by that other member. */
export function misplacedPartitions(map: Ownership, name: string): ReadonlyMap<string, readonly number[]> {
    const moves = new Map<string, readonly number[]>();
    for (const partition of partitionsOf(map, name)) {
        const preferred = preferredOwner(map.members, partition);
        if (preferred !== name && preferred !== "") {
            moves.set(preferred, [...moves.get(preferred) ?? [], partition]);
        }
    }
    return moves;
}

/** Members in a ring by the hash of their names. */
function hashRing(map: Ownership): readonly string[] {
    return Object.keys(map.members)
        .map(name => ({ name, position: hash(`ring ${name}`) }))
        .sort((left, right) => left.position - right.position || (left.name < right.name ? -1 : 1))
        .map(({ name }) => name);
}

/** A member whose lease another one watches; `rank` members are to act before it. */
export interface WatchedMember {
    readonly name: string;
    readonly rank: number;
}

/**
 * The members whose leases a member watches, so that each is watched by the `watchers` staying members that follow it
 * in the ring. A ring costs one hash a member; ranking all members for each of 380 by rendezvous took 114 ms.
 */
export function watchedMembers(map: Ownership, watcher: string, watcherCount: number): readonly WatchedMember[] {
    const ring = hashRing(map);
    const ownIndex = ring.indexOf(watcher);
    if (ownIndex < 0 || map.members[watcher]?.leaving === true) {
        return [];
    }
    const watched: WatchedMember[] = [];
    let rank = 0;
    for (let distance = 1; distance < ring.length && rank < watcherCount; distance += 1) {
        const name = ring[(ownIndex - distance + ring.length) % ring.length] ?? "";
        watched.push({ name, rank });
        rank += map.members[name]?.leaving === true ? 0 : 1;
    }
    return watched;
}
