import type { RefusalCause, Team } from "@tamarackgauge/core/gateway";
import type { Credit, QuotaRefusal, Quotas } from "./quotas.ts";

/** The credit of one call. */
export interface CallCredit {
    /**
     * Makes sure that the call may be sent now: with the credit at hand, or a new one if that is too old. Returns why it may
     * not. Resolves at once if nothing has to be asked for.
     */
    acquire(): RefusalCause | undefined | Promise<RefusalCause | undefined>;
    /** Called when the call is sent; from then on the credit is used up. */
    use(): void;
    /** Returns a credit that was not used. */
    release(): void;
}

/** The credit of a call whose team has no quota. */
export const freeCallCredit: CallCredit = { acquire: () => undefined, use: () => undefined, release: () => undefined };

/** Creates the credit of a call; nothing is acquired yet. A call counts once, however often it is sent. */
export function createCallCredit(quotas: Quotas | undefined, team: Team | undefined): CallCredit {
    if (quotas === undefined || team?.quota === undefined) {
        return freeCallCredit;
    }
    let credit: Credit | undefined;
    let used = false;

    function acquire(): RefusalCause | undefined | Promise<RefusalCause | undefined> {
        if (used || credit?.isUsable() === true) {
            return undefined;
        }
        release();
        const outcome = quotas!.acquire(team!);
        return outcome instanceof Promise ? outcome.then(accept) : accept(outcome);
    }

    function accept(outcome: Credit | QuotaRefusal): RefusalCause | undefined {
        switch (outcome.kind) {
            case "credit":
                credit = outcome;
                return undefined;
            case "exceeded":
                return { kind: "quotaExceeded", expectedWait: outcome.wait };
            case "unreachable":
                return { kind: "quotaUnknown" };
        }
    }

    function release(): void {
        if (!used) {
            credit?.giveBack();
            credit = undefined;
        }
    }

    return {
        acquire,
        use() {
            used = true;
        },
        release,
    };
}
