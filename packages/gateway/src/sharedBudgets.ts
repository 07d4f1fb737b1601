import { type GatewaySettings, rankByRendezvous } from "@tamarackgauge/core/gateway";
import type { BudgetedTurn, Budgets, LoanOutcome, RecallOutcome, ReservationResult,
    TokenReservation } from "./budgets.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { PeerContacts } from "./peerContacts.ts";
import type { AskLimits } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";

/** Budgets whose tokens the gateways of a data centre keep together. */
export interface SharedBudgets extends Budgets {
    /** Asks the gateway that wrote a grant to give back what it does not use. */
    readonly recallFrom: (holder: string, program: string) => Promise<RecallOutcome>;
}

/** Parts of shared budgets. */
export interface SharedBudgetsParts {
    readonly ownBudgets: () => Budgets;
    readonly settings: Pick<GatewaySettings, "name" | "dataCentre">;
    readonly peers: () => readonly Peer[];
    readonly contacts: PeerContacts;
    readonly metrics: Metrics;
    readonly log: Log;
}

/** A home that is silent for longer is done without; one that waits for the store is waited for. */
const loanLimits: AskLimits = { timeout: 1_500, silence: 250 };
const returnLimits: AskLimits = { timeout: 1_000 };
/** A recall includes a write of the store. */
const recallLimits: AskLimits = { timeout: 1_000 };
/** A peer that has not answered for this long has ended rather than been frozen or cut off, in ms. */
const presumedGoneAfterMs = 10_000;

/**
 * Creates budgets that keep the tokens of a program at one gateway of the data centre, its home, which all others ask.
 * So a program's turns need few writes, whichever gateways they come to, and running programs go on while the store
 * is away. Gateways may disagree on the home: each has a grant of its own in the program's row.
 */
export function createSharedBudgets(
    { ownBudgets, settings, peers, contacts, metrics, log }: SharedBudgetsParts,
): SharedBudgets {
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
        metrics.tokensReserved(outcome === "unavailable" ? "own" : "home");
        switch (outcome) {
            case "lent":
                return createLoan(home!, turn);
            case "exhausted":
                return outcome;
            case "unavailable":
                // The store may be reached from here, though not from the home.
                return ownBudgets().reserve(turn);
        }
    }

    async function borrow(home: Peer, turn: BudgetedTurn): Promise<LoanOutcome> {
        // A turn does not wait for a connection.
        if (!contacts.isReady(home)) {
            return "unavailable";
        }
        try {
            return await contacts.ask(home, { kind: "borrow", turn }, loanLimits);
        }
        catch {
            // The contacts have logged it.
            return "unavailable";
        }
    }

    function createLoan(home: Peer, { program, most }: BudgetedTurn): TokenReservation {
        return {
            settle(used) {
                if (used < most) {
                    returnTokens(home, program, most - used);
                }
            },
        };
    }

    /** Never repeated: tokens that were returned twice would be generated twice. */
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
        if (peer === undefined || contacts.isBackingOff(name)) {
            return presumedOutcome(name);
        }
        try {
            return await contacts.ask(peer, { kind: "recall", holder, program }, recallLimits);
        }
        catch {
            // The contacts have logged it.
            return presumedOutcome(name);
        }
    }

    function presumedOutcome(name: string): RecallOutcome {
        return contacts.failingFor(name) > presumedGoneAfterMs ? "gone" : "pending";
    }

    return { reserve, recallFrom };
}
