import { StoreError } from "@tamarackgauge/core/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";
import { openPeerLink, type PeerLink, type RequestTimeouts } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";
import type { PeerCall, PeerNotice, PeerResult } from "./peerMessage.ts";

/** Links to other gateways, one for each, opened on first use. */
export interface PeerContacts extends Disposable {
    /** Whether the peer is not to be asked for now, as it failed recently. */
    isBackingOff(name: string): boolean;
    /** Notes that a message of the peer has come, so that it is asked again soon if it has failed. */
    noteSignOfLife(name: string): void;
    /** Whether the last call failed, or the last attempt to open a link. */
    isFailing(name: string): boolean;
    /** Milliseconds since the first of the current consecutive failures; 0 if there are none. */
    failingFor(name: string): number;
    /** Whether a call can be sent immediately; if not, a link is being opened. */
    isReady(peer: Peer): boolean;
    /** Waits until a call can be sent immediately, for `maxMs` at most; returns whether it can. */
    whenReady(peer: Peer, maxMs: number): Promise<boolean>;
    /**
     * Makes a call once the link is open. If the peer is unreachable or does not answer, rejects and starts a backoff.
     */
    ask<const Call extends PeerCall>(peer: Peer, call: Call,
        limits: RequestTimeouts): Promise<PeerResult<Call["kind"]>>;
    /** Sends a message that is not answered over a link that is open; returns whether there is one. */
    notify(peer: Peer, notice: PeerNotice): boolean;
}

/** Dependencies of contacts. */
export interface PeerContactsParts {
    readonly log: Log;
    readonly now: () => number;
}

/** Bounds of the time for which a failed peer is not asked; it doubles with each consecutive failure. */
const minBackoffMs = 1_000;
const maxBackoffMs = 16_000;

interface Contact {
    link: PeerLink | undefined;
    consecutiveFailures: number;
    backoffUntil: number;
    /** Time of the first of the current consecutive failures. */
    failingSince: number | undefined;
}

/** Creates contacts; no link is open yet. */
export function createPeerContacts({ log, now }: PeerContactsParts): PeerContacts {
    const contacts = new Map<string, Contact>();

    function contactOf(name: string): Contact {
        const contact = contacts.get(name) ??
            { link: undefined, consecutiveFailures: 0, backoffUntil: -Infinity, failingSince: undefined };
        contacts.set(name, contact);
        return contact;
    }

    function currentLink(peer: Peer): PeerLink {
        const contact = contactOf(peer.name);
        if (contact.link === undefined || contact.link.closed) {
            contact.link = openPeerLink(peer.address);
            contact.link.opened.catch((error: Error) => backOff(peer, error));
        }
        return contact.link;
    }

    async function ask<const Call extends PeerCall>(peer: Peer, call: Call, limits: RequestTimeouts) {
        const link = currentLink(peer);
        const startedAt = now();
        try {
            await openedWithin(link, limits.silenceTimeout);
            const result = await link.request(call, afterOpening(limits, now() - startedAt));
            const contact = contactOf(peer.name);
            contact.consecutiveFailures = 0;
            contact.failingSince = undefined;
            return result;
        }
        catch (error) {
            backOff(peer, error as Error);
            throw error;
        }
    }

    async function whenReady(peer: Peer, maxMs: number): Promise<boolean> {
        const link = currentLink(peer);
        if (!link.isOpen) {
            // A link that fails to open is logged where it is opened.
            await Promise.race([link.opened.catch(() => undefined), sleep(maxMs, undefined, { ref: false })]);
        }
        return link.isOpen;
    }

    function backOff(peer: Peer, error: Error): void {
        const contact = contactOf(peer.name);
        contact.failingSince ??= now();
        if (now() < contact.backoffUntil) {
            return;
        }
        const backoffMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** contact.consecutiveFailures);
        contact.consecutiveFailures += 1;
        contact.backoffUntil = now() + backoffMs;
        contact.link?.terminate();
        log.info("budget.homeAway", { home: peer.name, reason: error.message, rests: backoffMs });
    }

    /** The shortest back-off remains, as the peer may be heard and not reached. */
    function noteSignOfLife(name: string): void {
        const contact = contacts.get(name);
        if (contact !== undefined && contact.consecutiveFailures > 1) {
            contact.consecutiveFailures = 1;
            contact.backoffUntil = Math.min(contact.backoffUntil, now() + minBackoffMs);
        }
    }

    return {
        isBackingOff: name => now() < contactOf(name).backoffUntil,
        isFailing: name => contactOf(name).failingSince !== undefined,
        failingFor: name => now() - (contactOf(name).failingSince ?? now()),
        noteSignOfLife,
        isReady: peer => currentLink(peer).isOpen,
        whenReady,
        ask,
        notify: (peer, notice) => contactOf(peer.name).link?.notify(notice) ?? false,
        [Symbol.dispose]: () => contacts.forEach(({ link }) => link?.terminate()),
    };
}

/** Rejects if the link is not open within that time, as the kernel accepts connections for a frozen process. */
async function openedWithin({ isOpen, opened }: PeerLink, timeoutMs: number | undefined): Promise<void> {
    if (isOpen || timeoutMs === undefined) {
        return opened;
    }
    const controller = new AbortController();
    const timeout = sleep(timeoutMs, undefined, { signal: controller.signal }).then(() => {
        throw new StoreError("away", "the link to the peer did not open in time");
    });
    // The promise that settles second is ignored.
    timeout.catch(() => undefined);
    try {
        await Promise.race([opened, timeout]);
    }
    finally {
        controller.abort();
    }
}

/** The time for opening the link counts as silence, but a peer that has opened it gets half of the limit at least. */
function afterOpening({ timeout, silenceTimeout }: RequestTimeouts, openingMs: number): RequestTimeouts {
    return silenceTimeout === undefined
        ? { timeout }
        : { timeout, silenceTimeout: Math.max(silenceTimeout / 2, silenceTimeout - openingMs) };
}
