import { creditLifetimeMs } from "./teamQuota.ts";

/** A gateway that asked for credits remembers by which issue of which gateway it got them. */
export interface HeldCredit<Issue> {
    readonly askedAt: number;
    /** Undefined if the credit is not to be given back. */
    readonly issue: Issue | undefined;
}

/** Time for which a busy gateway asks for credits in advance. */
const advanceMs = 250;
/** Calls of a team per second above which a gateway asks in advance. */
const busyRatePerSecond = 4;
const rateMemoryMs = 2_000;
/** A denial is remembered no longer than this, as another gateway may decide by then. */
const maxDenialMs = 500;
/** No credits are asked for in advance for this long after a denial. */
const scarcityMs = 1_000;
const msPerSecond = 1_000;

/** What a gateway knows about the quota of a team. Times are monotonic milliseconds. */
export class LocalQuota<Issue> {
    private held: HeldCredit<Issue>[] = [];
    private deniedUntil = -Infinity;
    private deniedAt = -Infinity;
    private deniedWait = 0;
    private ratePerSecond = 0;
    private calledAt = -Infinity;

    /** Records that the team has made a call. */
    recordCall(now: number): void {
        this.ratePerSecond = this.rate(now) + msPerSecond / rateMemoryMs;
        this.calledAt = now;
    }

    /** Calls of the team per second at this gateway. */
    rate(now: number): number {
        return this.ratePerSecond === 0 ? 0 : this.ratePerSecond * Math.exp((this.calledAt - now) / rateMemoryMs);
    }

    /** Credits to ask for beside those for calls that wait; none if credits are scarce. */
    advance(now: number): number {
        const rate = now < this.deniedAt + scarcityMs ? 0 : this.rate(now);
        return rate > busyRatePerSecond ? Math.floor(rate * advanceMs / msPerSecond) : 0;
    }

    /** Keeps a credit that no call has used. */
    hold(credit: HeldCredit<Issue>): void {
        this.held.push(credit);
    }

    /** Takes a credit that may still be used. */
    take(now: number): HeldCredit<Issue> | undefined {
        const index = this.held.findIndex(credit => isUsable(credit, now));
        return index < 0 ? undefined : this.held.splice(index, 1)[0];
    }

    /** Removes the credits that may no longer be used. */
    removeExpired(now: number): readonly HeldCredit<Issue>[] {
        if (this.held.length === 0) {
            return this.held;
        }
        const expired = this.held.filter(credit => !isUsable(credit, now));
        if (expired.length > 0) {
            this.held = this.held.filter(credit => isUsable(credit, now));
        }
        return expired;
    }

    holdsCredits(): boolean {
        return this.held.length > 0;
    }

    /** Records that there is no credit for some time, and how long callers are to wait. */
    recordDenial(delay: number, wait: number, now: number): void {
        this.deniedAt = now;
        this.deniedUntil = now + Math.min(maxDenialMs, delay);
        this.deniedWait = wait;
    }

    /** How long a caller is to wait if it is already known that there is no credit; undefined otherwise. */
    denialWait(now: number): number | undefined {
        return now < this.deniedUntil
            ? Math.max(this.deniedUntil - now, this.deniedWait - (now - this.deniedAt))
            : undefined;
    }
}

/** Whether a request that is sent now may use the credit. */
export function isUsable({ askedAt }: HeldCredit<unknown>, now: number): boolean {
    return now - askedAt <= creditLifetimeMs;
}
