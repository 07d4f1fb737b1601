import type { Random } from "@tamarackgauge/core";
import type { Link } from "./link.ts";
import type { PeerSettings } from "./setting.ts";

/** A daemon of the member list. */
export interface Member {
    readonly name: string;
    readonly address: string;
    readonly port: number;
}

/** What is known of one other daemon. `member` is undefined for a daemon that connected but is not on the list. */
export interface PeerState {
    readonly name: string;
    readonly member: Member | undefined;
    /** Links in use: at most one that this daemon dialled and one that it accepted. */
    readonly dialed: Link | undefined;
    readonly accepted: Link | undefined;
    readonly dialing: boolean;
    /** Failed attempts in a row. */
    readonly failedAttempts: number;
    /** No attempt before this time, in milliseconds of the monotonic clock. */
    readonly nextDialAt: number;
    readonly lastHeartbeatAt: number | undefined;
}

/** A change of what is known of one daemon. */
export type PeerEvent =
    | { readonly type: "listed"; readonly member: Member; readonly nextDialAt: number; }
    | { readonly type: "unlisted"; }
    | { readonly type: "dialing"; }
    | { readonly type: "dialFailed"; readonly nextDialAt: number; }
    | { readonly type: "linked"; readonly link: Link; }
    | { readonly type: "unlinked"; readonly link: Link; readonly nextDialAt: number; }
    | { readonly type: "beat"; readonly at: number; };

/** A daemon of which nothing is known. */
export function createPeerState(name: string): PeerState {
    return { name, member: undefined, dialed: undefined, accepted: undefined, dialing: false, failedAttempts: 0,
        nextDialAt: 0, lastHeartbeatAt: undefined };
}

export function applyEvent(peer: PeerState, event: PeerEvent): PeerState {
    switch (event.type) {
        case "listed":
            return sameAddress(peer.member, event.member)
                ? peer
                : { ...peer, member: event.member, failedAttempts: 0, nextDialAt: event.nextDialAt };
        case "unlisted":
            return { ...peer, member: undefined };
        case "dialing":
            return { ...peer, dialing: true };
        case "dialFailed":
            return { ...peer, dialing: false, failedAttempts: peer.failedAttempts + 1, nextDialAt: event.nextDialAt };
        case "linked":
            return event.link.dialed
                ? { ...peer, dialed: event.link, dialing: false, failedAttempts: 0 }
                : { ...peer, accepted: event.link };
        case "unlinked":
            return {
                ...peer,
                dialed: peer.dialed === event.link ? undefined : peer.dialed,
                accepted: peer.accepted === event.link ? undefined : peer.accepted,
                nextDialAt: event.nextDialAt,
            };
        case "beat":
            return { ...peer, lastHeartbeatAt: event.at };
    }
}

/**
 * The link for a new call: the newest. An older link of the same pair may already be dead without this end knowing it,
 * while a link that has just been authenticated works.
 */
export function preferredLink(peer: PeerState): Link | undefined {
    const { dialed, accepted } = peer;
    if (dialed === undefined || accepted === undefined) {
        return dialed ?? accepted;
    }
    return dialed.openedAt >= accepted.openedAt ? dialed : accepted;
}

/** The links of a peer, none to two. */
export function linksOf(peer: PeerState): readonly Link[] {
    return [peer.dialed, peer.accepted].filter(link => link !== undefined);
}

/** Whether this daemon opens the link of a pair; the other one does so only if none comes up. */
export function isPrimaryDialer(self: string, peer: string): boolean {
    return self < peer;
}

/** Whether a connection is to be opened now. */
export function shouldDial(peer: PeerState, now: number): boolean {
    return peer.member !== undefined && !peer.dialing && preferredLink(peer) === undefined && now >= peer.nextDialAt;
}

/**
 * Whether a link of this pair is already gone at the other end when that end has opened a new one. A daemon connects
 * only while it has no link, so every link that is older than the longest handshake has ended there. Two links that
 * came up at the same time both stay in use.
 */
export function isReplaced(old: Link, dialed: boolean, incarnation: string, now: number,
    settings: PeerSettings): boolean {
    return old.dialed === dialed || old.peer.incarnation !== incarnation ||
        now - old.openedAt > settings.handshakeTimeoutMs;
}

/** Delay before the next attempt, in milliseconds; the jitter keeps daemons from connecting in step. */
export function reconnectDelayMs(failedAttempts: number, settings: PeerSettings, random: Random): number {
    const maxDelayMs = Math.min(settings.maxBackoffMs, settings.initialBackoffMs * 2 ** Math.min(failedAttempts, 16));
    return maxDelayMs * (0.5 + random() / 2);
}

function sameAddress(left: Member | undefined, right: Member): boolean {
    return left !== undefined && left.address === right.address && left.port === right.port;
}
