import type { Log } from "./log.ts";
import { type AskLimits, openPeerLink, type PeerLink } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";
import type { PeerCall, PeerResult } from "./peerMessage.ts";

/** Links to other gateways, one to each, opened when first needed. */
export interface PeerContacts extends Disposable {
    /** The peer failed lately and is not asked for a while. */
    isBackingOff(name: string): boolean;
    /** Milliseconds since the first of the present failures; 0 if the last call was answered. */
    failingFor(name: string): number;
    /** Whether a call can be sent at once; if not, a link is being opened. */
    isReady(peer: Peer): boolean;
    /** Asks as soon as the link is open. Rejects if the peer cannot be reached or does not answer; it then rests. */
    ask<const Call extends PeerCall>(peer: Peer, call: Call, limits: AskLimits): Promise<PeerResult<Call["kind"]>>;
}

/** Parts of contacts. */
export interface PeerContactsParts {
    readonly log: Log;
    readonly now: () => number;
}

/** A peer that failed is not asked for this long, in ms; each further failure in a row doubles the time. */
const minBackoffMs = 1_000;
const maxBackoffMs = 16_000;

interface Contact {
    link: PeerLink | undefined;
    consecutiveFailures: number;
    backoffUntil: number;
    /** When the first of the present failures came. */
    failingSince: number | undefined;
}

/** Creates contacts without an open link. */
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
            contact.link.open.catch((error: Error) => backOff(peer, error));
        }
        return contact.link;
    }

    async function ask<const Call extends PeerCall>(peer: Peer, call: Call, limits: AskLimits) {
        const link = currentLink(peer);
        await link.open;
        try {
            const result = await link.ask(call, limits);
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

    return {
        isBackingOff: name => now() < contactOf(name).backoffUntil,
        failingFor: name => now() - (contactOf(name).failingSince ?? now()),
        isReady: peer => currentLink(peer).isOpen,
        ask,
        [Symbol.dispose]: () => contacts.forEach(({ link }) => link?.terminate()),
    };
}
