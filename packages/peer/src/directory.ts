import type { Random } from "@tamarackgauge/core";
import type { Link } from "./link.ts";
import type { Settings } from "./setting.ts";

/** A daemon of the member list. */
export interface Member {
    readonly name: string;
    readonly address: string;
    readonly port: number;
}

/** What is known of one other daemon. `member` is undefined for a daemon that connected but is not on the list. */
export interface Peer {
    readonly name: string;
    readonly member: Member | undefined;
    /** Links in use: at most one that this daemon dialled and one that it accepted. */
    readonly dialed: Link | undefined;
    readonly accepted: Link | undefined;
    readonly dialing: boolean;
    /** Failed attempts in a row. */
    readonly attempts: number;
    /** No attempt before this time, in milliseconds of the monotonic clock. */
    readonly dialAt: number;
    readonly beatAt: number | undefined;
}

/** A change of what is known of one daemon. */
export type Step =
    | { readonly type: "listed"; readonly member: Member; readonly dialAt: number; }
    | { readonly type: "unlisted"; }
    | { readonly type: "dialing"; }
    | { readonly type: "dialFailed"; readonly dialAt: number; }
    | { readonly type: "linked"; readonly link: Link; }
    | { readonly type: "unlinked"; readonly link: Link; readonly dialAt: number; }
    | { readonly type: "beat"; readonly at: number; };

/** A daemon of which nothing is known. */
export function emptyPeer(name: string): Peer {
    return { name, member: undefined, dialed: undefined, accepted: undefined, dialing: false, attempts: 0, dialAt: 0,
        beatAt: undefined };
}

export function applyStep(peer: Peer, step: Step): Peer {
    switch (step.type) {
        case "listed":
            return sameAddress(peer.member, step.member)
                ? peer
                : { ...peer, member: step.member, attempts: 0, dialAt: step.dialAt };
        case "unlisted":
            return { ...peer, member: undefined };
        case "dialing":
            return { ...peer, dialing: true };
        case "dialFailed":
            return { ...peer, dialing: false, attempts: peer.attempts + 1, dialAt: step.dialAt };
        case "linked":
            return step.link.dialed
                ? { ...peer, dialed: step.link, dialing: false, attempts: 0 }
                : { ...peer, accepted: step.link };
        case "unlinked":
            return {
                ...peer,
                dialed: peer.dialed === step.link ? undefined : peer.dialed,
                accepted: peer.accepted === step.link ? undefined : peer.accepted,
                dialAt: step.dialAt,
            };
        case "beat":
            return { ...peer, beatAt: step.at };
    }
}

/**
 * The link for a new call: the newest. An older link of the same pair may already be dead without this end knowing it,
 * while a link that has just been authenticated works.
 */
export function chosenLink(peer: Peer): Link | undefined {
    const { dialed, accepted } = peer;
    if (dialed === undefined || accepted === undefined) {
        return dialed ?? accepted;
    }
    return dialed.openedAt >= accepted.openedAt ? dialed : accepted;
}

/** The links of a peer, none to two. */
export function linksOf(peer: Peer): readonly Link[] {
    return [peer.dialed, peer.accepted].filter(link => link !== undefined);
}

/** Whether this daemon opens the link of a pair; the other one does so only if none comes up. */
export function dialsFirst(self: string, peer: string): boolean {
    return self < peer;
}

/** Whether a connection is to be opened now. */
export function needsDial(peer: Peer, now: number): boolean {
    return peer.member !== undefined && !peer.dialing && chosenLink(peer) === undefined && now >= peer.dialAt;
}

/**
 * Whether a link of this pair is already gone at the other end when that end has opened a new one. A daemon connects
 * only while it has no link, so every link that is older than the longest handshake has ended there. Two links that
 * came up at the same time both stay in use.
 */
export function isReplaced(old: Link, dialed: boolean, incarnation: string, now: number, settings: Settings): boolean {
    return old.dialed === dialed || old.peer.incarnation !== incarnation || now - old.openedAt > settings.handshakeMs;
}

/** Delay before the next attempt, in milliseconds; the jitter keeps daemons from connecting in step. */
export function backoff(attempts: number, settings: Settings, random: Random): number {
    const longest = Math.min(settings.backoffLimitMs, settings.backoffMs * 2 ** Math.min(attempts, 16));
    return longest * (0.5 + random() / 2);
}

function sameAddress(left: Member | undefined, right: Member): boolean {
    return left !== undefined && left.address === right.address && left.port === right.port;
}
