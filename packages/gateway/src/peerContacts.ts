import type { Log } from "./log.ts";
import { type AskLimits, openPeerLink, type PeerLink } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";
import type { PeerCall, PeerResult } from "./peerMessage.ts";

/** Links to other gateways, one to each, opened when first needed. */
export interface PeerContacts extends Disposable {
    /** The peer failed lately and is not asked for a while. */
    rests(name: string): boolean;
    /** Milliseconds since the first of the present failures; 0 if the last call was answered. */
    lostFor(name: string): number;
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
const firstRest = 1_000;
const longestRest = 16_000;

interface Contact {
    link: PeerLink | undefined;
    failures: number;
    restsUntil: number;
    /** When the first of the present failures came. */
    lostAt: number | undefined;
}

/** Creates contacts without an open link. */
export function createPeerContacts({ log, now }: PeerContactsParts): PeerContacts {
    const contacts = new Map<string, Contact>();

    function contactOf(name: string): Contact {
        const contact = contacts.get(name) ??
            { link: undefined, failures: 0, restsUntil: -Infinity, lostAt: undefined };
        contacts.set(name, contact);
        return contact;
    }

    function currentLink(peer: Peer): PeerLink {
        const contact = contactOf(peer.name);
        if (contact.link === undefined || contact.link.closed) {
            contact.link = openPeerLink(peer.address);
            contact.link.open.catch((error: Error) => rest(peer, error));
        }
        return contact.link;
    }

    async function ask<const Call extends PeerCall>(peer: Peer, call: Call, limits: AskLimits) {
        const link = currentLink(peer);
        await link.open;
        try {
            const result = await link.ask(call, limits);
            const contact = contactOf(peer.name);
            contact.failures = 0;
            contact.lostAt = undefined;
            return result;
        }
        catch (error) {
            rest(peer, error as Error);
            throw error;
        }
    }

    function rest(peer: Peer, error: Error): void {
        const contact = contactOf(peer.name);
        contact.lostAt ??= now();
        if (now() < contact.restsUntil) {
            return;
        }
        const time = Math.min(longestRest, firstRest * 2 ** contact.failures);
        contact.failures += 1;
        contact.restsUntil = now() + time;
        contact.link?.terminate();
        log.info("budget.homeAway", { home: peer.name, reason: error.message, rests: time });
    }

    return {
        rests: name => now() < contactOf(name).restsUntil,
        lostFor: name => now() - (contactOf(name).lostAt ?? now()),
        isReady: peer => currentLink(peer).isOpen,
        ask,
        [Symbol.dispose]: () => contacts.forEach(({ link }) => link?.terminate()),
    };
}
