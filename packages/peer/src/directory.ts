import type { Random } from "@tamarackgauge/core";
import type { Link } from "./link.ts";
import type { PeerSettings } from "./setting.ts";

/** An entry of the member list. */
export interface Member {
    readonly name: string;
    readonly address: string;
    readonly port: number;
}

/** State of another daemon. `member` is undefined if the daemon is not on the member list, but has connected. */
export interface PeerState {
    readonly name: string;
    readonly member: Member | undefined;
    /** Open links: at most one that this daemon dialed and one that it accepted. */
    readonly dialed: Link | undefined;
    readonly accepted: Link | undefined;
    readonly dialing: boolean;
    /** Consecutive failed attempts to connect. */
    readonly failedAttempts: number;
    /** Earliest time of the next attempt to connect, in milliseconds of the monotonic clock. */
    readonly nextDialAt: number;
    readonly lastHeartbeatAt: number | undefined;
}

/** An event that changes the state of a peer. */
export type PeerEvent =
    | { readonly type: "listed"; readonly member: Member; readonly nextDialAt: number; }
    | { readonly type: "unlisted"; }
    | { readonly type: "dialing"; }
    | { readonly type: "dialFailed"; readonly nextDialAt: number; }
    | { readonly type: "linked"; readonly link: Link; }
    | { readonly type: "unlinked"; readonly link: Link; readonly nextDialAt: number; }
    | { readonly type: "beat"; readonly at: number; };

/** Initial state of a peer. */
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
 * The link to use for a new call: the newest one. The older link of a pair may be dead without this end having noticed,
 * while a link that was just authenticated works.
 */
export function preferredLink(peer: PeerState): Link | undefined {
    const { dialed, accepted } = peer;
    if (dialed === undefined || accepted === undefined) {
        return dialed ?? accepted;
    }
    return dialed.openedAt >= accepted.openedAt ? dialed : accepted;
}

/** The open links of a peer, at most two. */
export function linksOf(peer: PeerState): readonly Link[] {
    return [peer.dialed, peer.accepted].filter(link => link !== undefined);
}

/**
 * Whether the daemon `self` opens the link to `peer`. The other daemon of a pair connects only if no link is opened in
 * time.
 */
export function isPrimaryDialer(self: string, peer: string): boolean {
    return self < peer;
}

export function shouldDial(peer: PeerState, now: number): boolean {
    return peer.member !== undefined && !peer.dialing && preferredLink(peer) === undefined && now >= peer.nextDialAt;
}

/**
 * Whether a new link to a peer replaces the link `old`, because the peer has already closed that one. A daemon connects
 * only while it has no link to the peer, so any link older than the handshake timeout is closed at the other end. If
 * both ends connect at the same time, both links stay open.
 */
export function isReplaced(old: Link, dialed: boolean, incarnation: string, now: number,
    settings: PeerSettings): boolean {
    return old.dialed === dialed || old.peer.incarnation !== incarnation ||
        now - old.openedAt > settings.handshakeTimeoutMs;
}

/**
 * Exponential backoff before the next attempt to connect, with jitter, so that daemons do not reconnect simultaneously.
 */
export function reconnectDelayMs(failedAttempts: number, settings: PeerSettings, random: Random): number {
    const maxDelayMs = Math.min(settings.maxBackoffMs, settings.initialBackoffMs * 2 ** Math.min(failedAttempts, 16));
    return maxDelayMs * (0.5 + random() / 2);
}

function sameAddress(left: Member | undefined, right: Member): boolean {
    return left !== undefined && left.address === right.address && left.port === right.port;
}
