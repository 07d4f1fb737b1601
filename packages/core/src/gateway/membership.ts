import { rankByRendezvous } from "../hash.ts";

/** A registered gateway. */
export interface Member {
    readonly name: string;
    /** When it first registered, by the store's clock in ms; undefined if its row does not say. */
    readonly registeredAt: number | undefined;
    /** Processor capacity of its VM, in cores. */
    readonly cores: number;
}

/** Gateways with at least this share of the greatest capacity are capable. */
const capableShare = 0.9;
/** Rankings of more subjects than this are not kept. */
const maxRankings = 20_000;
/** Share of the settling time within which gateways that start together register. */
const startShare = 0.25;
/** A gateway takes over this long after the others have left the decision to it, as their clocks are read a little later. */
const takeoverMarginMs = 1_000;

/**
 * The list of gateways as last read from the store, and which of them decides about a subject. All gateways that have read
 * the list agree without a message, because they rank the same names by rendezvous hashing. A gateway that has just
 * registered is left out until the others must have read of it; those that start together with the first one take part at
 * once, as nothing was decided before. Times are monotonic milliseconds of this process.
 */
export class Membership {
    private members: readonly Member[] = [];
    private oldestRegistration = Infinity;
    /** The store's clock minus this process's clock. */
    private storeClockOffset: number | undefined;
    private confirmedAt = -Infinity;
    /** Until when `established` holds without a new list. */
    private validUntil = -Infinity;
    private established: readonly Member[] = [];
    private changedAt = -Infinity;
    private readonly rankings = new Map<string, readonly string[]>();

    constructor(
        private readonly self: string,
        /** Time after which every gateway that reaches the store has read a new row. */
        private readonly settlingTime: number,
    ) {}

    /** Records the list as it was read; `storeTime` is the store's clock at that moment, if the store tells it. */
    record(members: readonly Member[], storeTime: number | undefined, now: number): void {
        if (now - this.confirmedAt > this.settlingTime) {
            // The list may have changed and changed back meanwhile.
            this.changedAt = now;
        }
        this.members = members;
        this.oldestRegistration = Math.min(...members.map(({ registeredAt }) => registeredAt ?? -Infinity));
        this.confirmedAt = now;
        this.storeClockOffset = storeTime === undefined ? undefined : storeTime - now;
        this.refresh(now);
    }

    /** Since when no ranking has changed, as far as this gateway knows. */
    unchangedSince(now: number): number {
        this.establishedMembers(now);
        return this.changedAt;
    }

    /** Number of gateways that take part in decisions. */
    establishedCount(now: number): number {
        return this.establishedMembers(now).length;
    }

    /** The gateways in the order in which they are asked about a subject: the first one that answers decides. */
    rank(subject: string, now: number): readonly string[] {
        return this.ranking(subject, this.establishedMembers(now));
    }

    /** The same among the gateways with the greatest processor capacity, for decisions that take much work. */
    rankCapable(subject: string, now: number): readonly string[] {
        const established = this.establishedMembers(now);
        const minCores = capableShare * Math.max(...established.map(({ cores }) => cores));
        return this.ranking(`${subject}\ncapable`, established.filter(({ cores }) => cores >= minCores), subject);
    }

    /**
     * Whether this gateway has a place in a ranking, by default the first one, and no other gateway can take that place for its
     * own. Others may do so while they have an older list, or this gateway has.
     */
    isSettled(ranking: readonly string[], now: number, place = 0): boolean {
        const own = this.members.find(({ name }) => name === this.self);
        return own !== undefined && ranking[place] === this.self && now - this.confirmedAt <= this.settlingTime &&
            this.age(own, now) >= (this.isFounder(own) ? this.startTime : this.settlingTime + takeoverMarginMs);
    }

    private get startTime(): number {
        return this.settlingTime * startShare;
    }

    private isFounder({ registeredAt = -Infinity }: Member): boolean {
        return registeredAt <= this.oldestRegistration + this.startTime;
    }

    private ranking(key: string, members: readonly Member[], subject = key): readonly string[] {
        const found = this.rankings.get(key);
        if (found !== undefined) {
            return found;
        }
        const ranking = rankByRendezvous(subject, members.map(({ name }) => name));
        if (this.rankings.size >= maxRankings) {
            this.rankings.clear();
        }
        this.rankings.set(key, ranking);
        return ranking;
    }

    private establishedMembers(now: number): readonly Member[] {
        if (now >= this.validUntil) {
            this.refresh(now);
        }
        return this.established;
    }

    private refresh(now: number): void {
        const next = this.members.filter(member =>
            this.isFounder(member) || this.age(member, now) >= this.settlingTime
        );
        const remaining = this.members.map(member => this.settlingTime - this.age(member, now));
        this.validUntil = now + Math.min(...remaining.filter(left => left > 0), Infinity);
        if (next.length !== this.established.length ||
            next.some((member, index) => !isSame(member, this.established[index]!))) {
            this.rankings.clear();
            this.changedAt = now;
        }
        this.established = next;
    }

    /** How long ago a gateway first registered, in ms; without end if that is not known. */
    private age({ registeredAt }: Member, now: number): number {
        return registeredAt === undefined || this.storeClockOffset === undefined
            ? Infinity
            : now + this.storeClockOffset - registeredAt;
    }
}

function isSame(left: Member, right: Member): boolean {
    return left.name === right.name && left.cores === right.cores;
}
