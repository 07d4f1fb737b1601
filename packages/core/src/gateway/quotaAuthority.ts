import { QuotaBucket } from "./quotaBucket.ts";
import type { BucketShape, QuotaLimits } from "./teamQuota.ts";

/**
 * What a gateway is for a team. `alone`: no other gateway decides about the team. `home`: the first of the ranking.
 * `deputy`: the second. `unsettled`: one of the two by a list that may be out of date.
 */
export type QuotaRole = "alone" | "home" | "deputy" | "unsettled";

/** Credits handed out. Times are in milliseconds. */
export interface CreditGrant {
    readonly granted: number;
    /** Credits of `granted` that may be given back. */
    readonly returnable: boolean;
    /** Until there is a credit; 0 if all that were asked for have been granted. */
    readonly delay: number;
    /** Until a refused caller can expect a credit, after those that were refused before it. */
    readonly wait: number;
}

/** A deputy that has promised its share to the home hands out none of it for this long. */
export const promiseMs = 600;
/** A home whose share is scarce renews the promise for this long. */
const scarcityMs = 2_000;
/** Share of the home's capacity below which credits are scarce. */
const scarceShare = 0.5;
/** Refused callers are expected to come back for this long. */
const denialMemoryMs = 1_000;
const maxWaitMs = 2_500;
const msPerSecond = 1_000;
const nothing: BucketShape = { ratePerSecond: 0, capacity: 0 };

/**
 * The credits of a team at a gateway that may hand them out. The home and its deputy each own half of what the quota allows.
 * While they are in touch, the deputy promises its half to the home again and again, for a short time each. Whatever fails,
 * they never hand out more than the whole together, and neither has to know what the other one did before it failed.
 */
export class QuotaAuthority {
    private readonly shared: QuotaBucket;
    private readonly reserve: QuotaBucket;
    private role: QuotaRole | undefined;
    /** As the home: until when the deputy has promised its share. */
    private promisedUntil = -Infinity;
    private promisedBy: string | undefined;
    /** Until when this gateway hands out none of its own share: after a change of its role, or as it has promised it. */
    private abstainsUntil: number;
    private scarceUntil = -Infinity;
    private deniedCount = 0;
    private deniedAt = -Infinity;

    /**
     * `startedAt`: since when this gateway has had its place in the ranking. What an earlier process or an earlier gateway
     * at this place has handed out or promised then still fits, as the share is empty at first.
     */
    constructor(private limits: QuotaLimits, private readonly startedAt: number) {
        this.shared = new QuotaBucket(startedAt);
        this.reserve = new QuotaBucket(startedAt);
        this.reserve.reshape(limits.reserve, startedAt);
        this.abstainsUntil = startedAt + promiseMs;
    }

    /** Applies the limits and the role from now on; to be called before each use and at short intervals. */
    update(limits: QuotaLimits, role: QuotaRole, now: number): void {
        if (this.role === undefined) {
            this.role = role;
            this.shape(this.startedAt);
        }
        this.shape(now);
        if (this.role !== role && !(isFirst(this.role) && isFirst(role))) {
            this.shared.drain(now);
            this.abstainsUntil = now + promiseMs;
        }
        if (this.role !== role) {
            this.promisedUntil = -Infinity;
            this.role = role;
        }
        this.limits = limits;
        this.shape(now);
        this.reserve.reshape(limits.reserve, now);
    }

    currentRole(): QuotaRole | undefined {
        return this.role;
    }

    /** Hands out credits, as far as there are any. */
    issue(count: number, now: number): CreditGrant {
        this.shape(now);
        const shared = this.shared.take(count, now);
        const granted = shared + this.reserve.take(count - shared, now);
        if (this.shared.available(now) < this.limits.shared.capacity * this.ownShare() * scarceShare) {
            this.scarceUntil = now + scarcityMs;
        }
        const delay = granted === count ? 0 : Math.min(this.shared.delay(now), this.reserve.delay(now));
        return { granted, returnable: shared === granted, delay,
            wait: this.waitAfterDenials(count - granted, delay, now) };
    }

    /** Takes unused credits back. */
    takeBack(count: number, issuedAt: number, now: number): void {
        this.shape(now);
        this.shared.takeBack(count, issuedAt, now);
    }

    /** Whether the home should ask the deputy for its share, which it could not hand out at the beginning of its role. */
    needsPromise(now: number): boolean {
        return this.role === "home" && now >= this.abstainsUntil && now < this.scarceUntil;
    }

    /** Whether the home has the share of this deputy. */
    hasPromise(now: number): boolean {
        return this.role === "home" && now < this.promisedUntil;
    }

    /** As the home, records the deputy's answer to a request that was sent at `askedAt`. */
    acceptPromise(deputy: string, tokens: number, askedAt: number, now: number): void {
        this.shape(now);
        if (this.role !== "home" || now < this.abstainsUntil || now >= askedAt + promiseMs) {
            return;
        }
        this.promisedBy = deputy;
        this.promisedUntil = askedAt + promiseMs;
        this.shape(now);
        this.shared.fill(tokens, now);
    }

    /** The promise ends if another gateway becomes the deputy, as that one has made none. */
    confirmDeputy(deputy: string | undefined, now: number): void {
        if (this.promisedBy !== deputy) {
            this.shape(now);
            this.promisedUntil = Math.min(this.promisedUntil, now);
            this.shape(now);
        }
    }

    /** As the deputy, leaves the share to the home for a while; returns the credits at hand, undefined in another role. */
    promise(now: number): number | undefined {
        if (this.role !== "deputy") {
            return undefined;
        }
        this.shape(now);
        const tokens = this.shared.drain(now);
        this.abstainsUntil = now + promiseMs;
        this.shape(now);
        return tokens;
    }

    /**
     * Whether calls are to be decided by the other gateway of the two, as this one hands out none of its share: a deputy
     * that has promised it, or a home at the beginning of its role.
     */
    abstains(now: number): boolean {
        return (this.role === "deputy" || this.role === "home") && now < this.abstainsUntil;
    }

    /** Share of the limits that this gateway owns whether or not it is in touch with the other one. */
    private ownShare(): number {
        return this.role === "alone" ? 1 : 0.5;
    }

    /** Brings the bucket up to date, piece by piece, as a promise may have ended since. */
    private shape(now: number): void {
        if (this.role === "unsettled" || this.role === undefined || now < this.abstainsUntil) {
            this.shared.reshape(nothing, now);
            return;
        }
        if (this.role === "home" && now < this.promisedUntil) {
            this.shared.reshape(this.limits.shared, now);
            return;
        }
        const own = scaled(this.limits.shared, this.ownShare());
        this.shared.reshape(own, Math.max(this.abstainsUntil, this.role === "home" ? this.promisedUntil : -Infinity));
        this.shared.reshape(own, now);
    }

    /** Refused callers come back one after the other if each is told to wait for those before it. */
    private waitAfterDenials(denied: number, delay: number, now: number): number {
        const remembered = this.deniedCount * Math.exp((this.deniedAt - now) / denialMemoryMs);
        if (denied === 0) {
            return 0;
        }
        this.deniedCount = (Number.isFinite(remembered) ? remembered : 0) + denied;
        this.deniedAt = now;
        const rate = Math.max(this.limits.shared.ratePerSecond, this.limits.reserve.ratePerSecond, 1e-3);
        return Math.max(delay, Math.min(maxWaitMs, delay + (this.deniedCount - 1) * msPerSecond / rate));
    }
}

function isFirst(role: QuotaRole): boolean {
    return role === "alone" || role === "home";
}

function scaled({ ratePerSecond, capacity }: BucketShape, share: number): BucketShape {
    return { ratePerSecond: ratePerSecond * share, capacity: capacity * share };
}
