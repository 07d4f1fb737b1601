import { rankByRendezvous } from "../hash.ts";

/**
 * Gateways in the order in which they are asked for permits for an upstream: the first one that answers issues them. All
 * gateways with the same list agree on the order without a message.
 */
export function rankIssuers(upstream: string, gateways: Iterable<string>): readonly string[] {
    return rankByRendezvous(`permits ${upstream}`, gateways);
}

/** What an issuer may grant of an upstream's limit. */
export interface IssuerShare {
    /** Share of the upstream's limit. */
    readonly rateShare: number;
    readonly burst: number;
}

/**
 * Share of an issuer that no other gateway can take for one. All other issuers together stay below the rest of what an
 * upstream tolerates.
 */
const settledShare: IssuerShare = { rateShare: 1, burst: 2 };
/** Share of an issuer beside which others may take another gateway for the issuer. */
const unsettledShare: IssuerShare = { rateShare: 0.4, burst: 1 };

/** A list of gateways that was in force from a time on. */
interface Membership {
    readonly names: readonly string[];
    readonly from: number;
}

/** The lists of gateways that this gateway has seen of late. Times are monotonic milliseconds. */
export class MembershipHistory {
    /** Oldest first. */
    private memberships: readonly Membership[] = [];
    private confirmedAt = -Infinity;

    constructor(
        private readonly self: string,
        /** Time after which every gateway that reaches the store has seen the same list. */
        private readonly settlingTime: number,
    ) {}

    /** Records the list as it was read from the store. */
    record(names: readonly string[], now: number): void {
        this.confirmedAt = now;
        const sorted = [...names].sort();
        const last = this.memberships.at(-1);
        if (last === undefined || last.names.join() !== sorted.join()) {
            this.memberships = [...this.recentMemberships(now), { names: sorted, from: now }];
        }
    }

    /**
     * The share of an upstream's limit that this gateway may grant. It is whole only if every list of late, down to one that
     * is old enough, makes this gateway the issuer; otherwise others may ask another one.
     */
    shareOf(upstream: string, now: number): IssuerShare {
        const recent = this.recentMemberships(now);
        const settledSince = now - this.settlingTime;
        const isSettled = recent[0] !== undefined && recent[0].from <= settledSince &&
            this.confirmedAt > settledSince &&
            recent.every(({ names }) => rankIssuers(upstream, names)[0] === this.self);
        return isSettled ? settledShare : unsettledShare;
    }

    /** The lists in force since the settling time began, the first one from before it if there is one. */
    private recentMemberships(now: number): readonly Membership[] {
        const first = this.memberships.findLastIndex(({ from }) => from <= now - this.settlingTime);
        return this.memberships.slice(Math.max(0, first));
    }
}
