import { type GatewaySettings, rankByRendezvous } from "@tamarackgauge/core/gateway";
import type { BudgetedTurn, Budgets, LoanOutcome, RecallOutcome, Reservation, TokenHold } from "./budgets.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import { type AskLimits, openPeerLink, type PeerLink } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";

/** Budgets whose tokens the gateways of a data centre keep together. */
export interface SharedBudgets extends Budgets, Disposable {
    /** Asks the gateway that wrote a grant to give back what it does not use. */
    readonly recallFrom: (holder: string, program: string) => Promise<RecallOutcome>;
}

/** Parts of shared budgets. */
export interface SharedBudgetsParts {
    readonly own: () => Budgets;
    readonly settings: Pick<GatewaySettings, "name" | "dataCentre">;
    readonly peers: () => readonly Peer[];
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** A home that is silent for longer is done without; one that waits for the store is waited for. */
const loanLimits: AskLimits = { timeout: 1_500, silence: 250 };
const returnLimits: AskLimits = { timeout: 1_000 };
/** A recall includes a write of the store. */
const recallLimits: AskLimits = { timeout: 1_000 };
/** A peer that failed is not asked for this long, in ms; each further failure in a row doubles the time. */
const firstRest = 1_000;
const longestRest = 16_000;

/** A peer that has not answered for this long has ended rather than been frozen or cut off, in ms. */
const goneAfter = 10_000;

interface Contact {
    link: PeerLink | undefined;
    failures: number;
    restsUntil: number;
    /** When the first of the present failures came. */
    lostAt: number | undefined;
}

/**
 * Creates budgets that keep the tokens of a program at one gateway of the data centre, its home, which all others ask.
 * So a program's turns need few writes, whichever gateways they come to, and running programs go on while the store
 * is away. Gateways may disagree on the home: each has a grant of its own in the program's row.
 */
export function createSharedBudgets({ own, settings, peers, metrics, log, now }: SharedBudgetsParts): SharedBudgets {
    const contacts = new Map<string, Contact>();

    function contactOf(name: string): Contact {
        const contact = contacts.get(name) ??
            { link: undefined, failures: 0, restsUntil: -Infinity, lostAt: undefined };
        contacts.set(name, contact);
        return contact;
    }

    function homeOf(program: string): Peer | undefined {
        const near = peers().filter(peer =>
            peer.dataCentre === settings.dataCentre &&
            (peer.name === settings.name || now() >= contactOf(peer.name).restsUntil)
        );
        const [home] = rankByRendezvous(program, near.map(({ name }) => name));
        return home === settings.name ? undefined : near.find(({ name }) => name === home);
    }

    async function reserve(turn: BudgetedTurn): Promise<Reservation> {
        const home = homeOf(turn.program);
        const outcome = home === undefined ? "unavailable" : await borrow(home, turn);
        metrics.tokensReserved(outcome === "unavailable" ? "own" : "home");
        switch (outcome) {
            case "lent":
                return loan(home!, turn);
            case "exhausted":
                return outcome;
            case "unavailable":
                // The store may be reached from here, though not from the home.
                return own().reserve(turn);
        }
    }

    async function borrow(home: Peer, turn: BudgetedTurn): Promise<LoanOutcome> {
        const contact = contactOf(home.name);
        const link = readyLink(home, contact);
        if (link === undefined) {
            return "unavailable";
        }
        try {
            const outcome = await link.ask({ kind: "borrow", turn }, loanLimits);
            answered(contact);
            return outcome;
        }
        catch (error) {
            rest(home, contact, error as Error);
            return "unavailable";
        }
    }

    function loan(home: Peer, { program, most }: BudgetedTurn): TokenHold {
        return {
            settle(used) {
                if (used < most) {
                    giveBack(home, program, most - used).catch((error: Error) => {
                        log.warn("budget.notReturned", { program, home: home.name, tokens: most - used,
                            reason: error.message });
                    });
                }
            },
        };
    }

    /** Never repeated: tokens that were returned twice would be generated twice. */
    async function giveBack(home: Peer, program: string, tokens: number): Promise<void> {
        const link = await linkTo(home, contactOf(home.name));
        await link.ask({ kind: "return", program, tokens }, returnLimits);
    }

    /** A turn does not wait for a connection. */
    function readyLink(peer: Peer, contact: Contact): PeerLink | undefined {
        const link = currentLink(peer, contact);
        return link.isOpen ? link : undefined;
    }

    async function linkTo(peer: Peer, contact: Contact): Promise<PeerLink> {
        const link = currentLink(peer, contact);
        await link.open;
        return link;
    }

    function currentLink(peer: Peer, contact: Contact): PeerLink {
        if (contact.link === undefined || contact.link.closed) {
            contact.link = openPeerLink(peer.address);
            contact.link.open.catch((error: Error) => rest(peer, contact, error));
        }
        return contact.link;
    }

    function answered(contact: Contact): void {
        contact.failures = 0;
        contact.lostAt = undefined;
    }

    function rest(home: Peer, contact: Contact, error: Error): void {
        contact.lostAt ??= now();
        if (now() < contact.restsUntil) {
            return;
        }
        const time = Math.min(longestRest, firstRest * 2 ** contact.failures);
        contact.failures += 1;
        contact.restsUntil = now() + time;
        contact.link?.terminate();
        log.info("budget.homeAway", { home: home.name, reason: error.message, rests: time });
    }

    async function recallFrom(holder: string, program: string): Promise<RecallOutcome> {
        const name = holder.slice(0, holder.lastIndexOf("/"));
        if (name === settings.name) {
            return "gone";
        }
        const peer = peers().find(known => known.name === name);
        const contact = contactOf(name);
        if (peer === undefined || now() < contact.restsUntil) {
            return presumed(contact);
        }
        try {
            const link = await linkTo(peer, contact);
            const outcome = await link.ask({ kind: "recall", holder, program }, recallLimits);
            answered(contact);
            return outcome;
        }
        catch (error) {
            rest(peer, contact, error as Error);
            return presumed(contact);
        }
    }

    function presumed({ lostAt }: Contact): RecallOutcome {
        return lostAt !== undefined && now() - lostAt > goneAfter ? "gone" : "pending";
    }

    return {
        reserve,
        recallFrom,
        [Symbol.dispose]: () => contacts.forEach(({ link }) => link?.terminate()),
    };
}
