import { type GatewaySettings, rankByRendezvous } from "@tamarackgauge/core/gateway";
import type { BudgetedTurn, Budgets, LoanOutcome, OwnBudgets, RecallOutcome, ReservationResult,
    TokenReservation } from "./budgets.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { PeerContacts } from "./peerContacts.ts";
import type { RequestTimeouts } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";

/** Budgets in which the gateways of a data centre share their grants. */
export interface SharedBudgets extends Budgets {
    /** Asks the gateway that holds a grant to return the tokens that its turns do not need. */
    readonly recallFrom: (holder: string, program: string) => Promise<RecallOutcome>;
}

/** Dependencies of shared budgets. */
export interface SharedBudgetsParts {
    readonly ownBudgets: () => Pick<OwnBudgets, "reserve" | "book">;
    readonly settings: Pick<GatewaySettings, "name" | "dataCentre">;
    readonly peers: () => readonly Peer[];
    readonly contacts: PeerContacts;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** A home that shows no sign of life within `silence` is bypassed; one that waits for the store has until `timeout`. */
const loanLimits: RequestTimeouts = { timeout: 1_500, silenceTimeout: 250 };
/**
 * A turn waits this long for the link to its home. A grant of its own, beside that of the home, would cost a write, another one to
 * give it back, and a conflict for the home.
 */
const maxLinkOpeningMs = 40;
const returnLimits: RequestTimeouts = { timeout: 1_000 };
/** A recall includes a write to the store. */
const recallLimits: RequestTimeouts = { timeout: 1_000 };
/** A peer that has been failing for this long is presumed to have ended, not just to be frozen or cut off. */
const presumedGoneAfterMs = 10_000;
/** The same for a gateway that is not in the list; a new one is in it after two refreshes at most. */
const unlistedGoneAfterMs = 40_000;

/**
 * Creates budgets in which one gateway of the data centre, the home, holds the grant of a program, and the other
 * gateways borrow tokens from it. A program's turns then need few writes, whichever gateways receive them, and running
 * programs continue while the store is unavailable. It does no harm if gateways disagree on the home: each gateway that
 * reserves tokens itself has its own grant in the program's row.
 */
export function createSharedBudgets(
    { ownBudgets, settings, peers, contacts, metrics, log, now }: SharedBudgetsParts,
): SharedBudgets {
    /** When a holder was first found missing in the list of gateways. */
    const unlistedSince = new Map<string, number>();

    function homeOf(program: string): Peer | undefined {
        const localPeers = peers().filter(peer =>
            peer.dataCentre === settings.dataCentre &&
            (peer.name === settings.name || !contacts.isBackingOff(peer.name))
        );
        const [home] = rankByRendezvous(program, localPeers.map(({ name }) => name));
        return home === settings.name ? undefined : localPeers.find(({ name }) => name === home);
    }

    async function reserve(turn: BudgetedTurn): Promise<ReservationResult> {
        const home = homeOf(turn.program);
        const outcome = home === undefined ? "unavailable" : await borrow(home, turn);
        metrics.recordTokenReservation(outcome === "unavailable" ? "own" : "home");
        switch (outcome) {
            case "lent":
                return createLoan(home!, turn);
            case "exhausted":
                return outcome;
            case "unavailable":
                // This gateway may reach the store even if the home does not.
                return ownBudgets().reserve(turn);
        }
    }

    async function borrow(home: Peer, turn: BudgetedTurn): Promise<LoanOutcome> {
        if (!await contacts.whenReady(home, maxLinkOpeningMs)) {
            return "unavailable";
        }
        try {
            return await contacts.ask(home, { kind: "borrow", turn }, loanLimits);
        }
        catch {
            // Already logged by the contacts.
            return "unavailable";
        }
    }

    function createLoan(home: Peer, { program, most }: BudgetedTurn): TokenReservation {
        return {
            settle(used) {
                if (used < most) {
                    returnTokens(home, program, most - used);
                }
                else if (used > most) {
                    ownBudgets().book(program, used - most);
                }
            },
        };
    }

    /** Not retried: tokens that are returned twice could be generated twice. */
    function returnTokens(home: Peer, program: string, tokens: number): void {
        contacts.ask(home, { kind: "return", program, tokens }, returnLimits).catch((error: Error) => {
            log.warn("budget.notReturned", { program, home: home.name, tokens, reason: error.message });
        });
    }

    async function recallFrom(holder: string, program: string): Promise<RecallOutcome> {
        const name = holder.slice(0, holder.lastIndexOf("/"));
        if (name === settings.name) {
            return "gone";
        }
        const peer = peers().find(known => known.name === name);
        if (peer === undefined) {
            return unlistedOutcome(holder, name);
        }
        unlistedSince.delete(holder);
        if (contacts.isBackingOff(name)) {
            return presumedOutcome(name);
        }
        try {
            return await contacts.ask(peer, { kind: "recall", holder, program }, recallLimits);
        }
        catch {
            // Already logged by the contacts.
            return presumedOutcome(name);
        }
    }

    /** A gateway leaves the list as it ends, or after a long silence. */
    function unlistedOutcome(holder: string, name: string): RecallOutcome {
        const since = unlistedSince.get(holder) ?? now();
        unlistedSince.set(holder, since);
        return now() - since > unlistedGoneAfterMs ? "gone" : presumedOutcome(name);
    }

    function presumedOutcome(name: string): RecallOutcome {
        return contacts.failingFor(name) > presumedGoneAfterMs ? "gone" : "pending";
    }

    return { reserve, recallFrom };
}
