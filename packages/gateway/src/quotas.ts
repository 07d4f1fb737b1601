import { type HeldCredit, isLimited, isUsable, LocalQuota, maxReturnAgeMs, type Quota,
    type Team } from "@tamarackgauge/core/gateway";
import type { Metrics } from "./metrics.ts";
import type { Peer } from "./peerList.ts";
import type { CreditAnswer, CreditIssue, QuotaCall } from "./peerMessage.ts";
import { createQuotaAuthorities, type QuotaAuthorities, type QuotaAuthoritiesParts } from "./quotaAuthorities.ts";
import { createQuotaReport } from "./quotaReport.ts";

/** Permission to send one request of a team. */
export interface Credit {
    readonly kind: "credit";
    /** Whether a request that is sent now may use the credit. */
    isUsable(): boolean;
    /** Returns a credit that was not used. */
    giveBack(): void;
}

/** Why a request of a team may not be sent. Times are in milliseconds. */
export type QuotaRefusal =
    /** The quota is used up; the caller should come back after `wait`. */
    | { readonly kind: "exceeded"; readonly wait: number; }
    /** No gateway that decides about the quota could be reached. */
    | { readonly kind: "unreachable"; };

/** A team whose quota is to be kept. */
export type QuotaTeam = Pick<Team, "name" | "quota">;

/** Keeps the quotas of teams, together with the other gateways. */
export interface Quotas extends Disposable {
    /** Asks for permission to send one request. Resolves at once if this gateway can decide. */
    acquire(team: QuotaTeam): Credit | QuotaRefusal | Promise<Credit | QuotaRefusal>;
}

/** Serves the other gateways. */
export interface QuotaServer {
    serve(call: QuotaCall): Promise<unknown>;
}

/** Dependencies of quotas. */
export interface QuotasParts extends QuotaAuthoritiesParts {
    /** Version of the declaration in force. */
    readonly version: () => number;
    readonly metrics: Metrics;
    /** Calls a function after some milliseconds, unless cancelled. */
    readonly schedule: (action: () => void, ms: number) => Disposable;
}

interface LocalTeam {
    readonly local: LocalQuota<ReturnAddress>;
    readonly waiting: ((result: Credit | QuotaRefusal) => void)[];
    /** Team by the last call. */
    team: QuotaTeam;
    quota: Quota;
    isAsking: boolean;
    usedAt: number;
}

/** The gateway that credits go back to; `undefined` stands for this one. */
interface ReturnAddress extends CreditIssue {
    readonly from: Peer | undefined;
}

/** An answer with the gateway that gave it. */
interface Decision {
    readonly answer: CreditAnswer;
    readonly from: Peer | undefined;
    /** When this gateway was asked; its credits last from then on. */
    readonly askedAt: number;
}

/** While credits are held, or the share of the deputy is needed, the state is brought up to date this often. */
const busyIntervalMs = 200;
const idleIntervalMs = 1_000;
/** What is known of a team at this gateway is forgotten this long after its last call. */
const forgetAfterMs = 60_000;
const unlimitedCredit: Credit = { kind: "credit", isUsable: () => true, giveBack: () => undefined };

/** Creates the quotas of a gateway, which decides about some teams itself. */
export function createQuotas(parts: QuotasParts): Quotas & QuotaServer {
    const { metrics, log, now } = parts;
    const report = createQuotaReport(log, now);
    const authorities: QuotaAuthorities = createQuotaAuthorities(parts, report);
    const teams = new Map<string, LocalTeam>();
    let timer: Disposable | undefined;
    let timerAt = Infinity;
    let disposed = false;

    function acquire(team: QuotaTeam): Credit | QuotaRefusal | Promise<Credit | QuotaRefusal> {
        if (team.quota === undefined || !isLimited(team.quota)) {
            return unlimitedCredit;
        }
        const time = now();
        const known = localTeamOf(team, team.quota, time);
        const held = known.local.take(time);
        if (held !== undefined) {
            return decided(known, "held", creditOf(known, held));
        }
        const wait = known.local.denialWait(time);
        if (wait !== undefined) {
            return decided(known, "remembered", { kind: "exceeded", wait });
        }
        if (known.waiting.length === 0 && authorities.isHome(team.name)) {
            const own = authorities.issue({ team: team.name, count: 1, quota: declared(team.quota) });
            return own instanceof Promise
                ? own.then(answer => settle(known, answer, time))
                : settle(known, own, time);
        }
        wake(busyIntervalMs);
        return new Promise(resolve => {
            known.waiting.push(resolve);
            void askWhileCallsWait(known);
        });
    }

    function localTeamOf(team: QuotaTeam, quota: Quota, time: number): LocalTeam {
        const known = teams.get(team.name) ??
            { local: new LocalQuota<ReturnAddress>(), waiting: [], team, quota, isAsking: false, usedAt: time };
        teams.set(team.name, known);
        known.team = team;
        known.quota = quota;
        known.usedAt = time;
        known.local.recordCall(time);
        wake(idleIntervalMs);
        return known;
    }

    function declared({ ratePerSecond, burst }: Quota) {
        return { version: parts.version(), ratePerSecond, burst };
    }

    /** All calls that wait share a message; those that come meanwhile share the next one. */
    async function askWhileCallsWait(known: LocalTeam): Promise<void> {
        if (known.isAsking) {
            return;
        }
        known.isAsking = true;
        try {
            while (known.waiting.length > 0) {
                const waiting = known.waiting.length;
                try {
                    const decision = await ask(known, waiting + known.local.advance(now()));
                    settleWaiting(known, known.waiting.splice(0, waiting), decision);
                }
                catch (error) {
                    log.warn("quota.broken", { team: known.team.name,
                        reason: (error as Error).stack ?? String(error) });
                    settleWaiting(known, known.waiting.splice(0, waiting), undefined);
                }
            }
        }
        finally {
            known.isAsking = false;
        }
    }

    /** Asks the gateways that decide, in order; undefined if none of them can be reached, or none can decide. */
    async function ask({ team, quota }: LocalTeam, count: number): Promise<Decision | undefined> {
        const call = { kind: "credit", team: team.name, count, quota: declared(quota), forwarded: false } as const;
        let last: Decision | undefined;
        for (const candidate of authorities.rank(team.name)) {
            const askedAt = now();
            const answer = candidate === undefined
                ? await authorities.issue({ ...call, forwarded: true })
                : await authorities.ask(candidate, call);
            last = answer === undefined || answer.undecided === true ? last : { answer, from: candidate, askedAt };
            if (last !== undefined && (candidate !== undefined || last.answer.granted > 0)) {
                return last;
            }
        }
        return last;
    }

    function settleWaiting(known: LocalTeam, waiting: LocalTeam["waiting"], decision: Decision | undefined): void {
        const time = now();
        // Credits that come too late to be used go back at once.
        const inTime = decision !== undefined && isUsable({ askedAt: decision.askedAt, issue: undefined }, time);
        const granted = decision?.answer.granted ?? 0;
        const usable = inTime ? granted : 0;
        waiting.forEach((resolve, index) =>
            resolve(index < usable
                ? decided(known, decision!.from === undefined ? "issued" : "asked",
                    creditOf(known, heldCredit(decision!)))
                : refuse(known, decision, time))
        );
        if (decision !== undefined && usable < waiting.length) {
            known.local.recordDenial(decision.answer.delay, decision.answer.wait, time);
        }
        if (decision !== undefined && inTime) {
            for (let index = waiting.length; index < granted; index += 1) {
                known.local.hold(heldCredit(decision));
            }
        }
        else if (decision?.answer.issue !== undefined) {
            giveBack(known, { ...decision.answer.issue, from: decision.from }, granted);
        }
    }

    /** Settles a call about which this gateway has decided. */
    function settle(known: LocalTeam, answer: CreditAnswer, askedAt: number): Credit | QuotaRefusal {
        const decision: Decision = { answer, from: undefined, askedAt };
        if (answer.granted > 0) {
            return decided(known, "issued", creditOf(known, heldCredit(decision)));
        }
        if (answer.undecided === true) {
            return refuse(known, undefined, now());
        }
        known.local.recordDenial(answer.delay, answer.wait, now());
        return refuse(known, decision, now());
    }

    function refuse(known: LocalTeam, decision: Decision | undefined, time: number): QuotaRefusal {
        return decision === undefined
            ? decided(known, "unreachable", { kind: "unreachable" })
            : decided(known, "denied", { kind: "exceeded",
                wait: Math.max(decision.answer.wait, known.local.denialWait(time) ?? 0) });
    }

    function decided<Result extends Credit | QuotaRefusal>(known: LocalTeam,
        decision: Parameters<Metrics["recordQuotaDecision"]>[0], result: Result): Result {
        metrics.recordQuotaDecision(decision);
        report.recordCall(known.team.name, decision);
        return result;
    }

    function heldCredit({ answer, from, askedAt }: Decision): HeldCredit<ReturnAddress> {
        return { askedAt, issue: answer.issue === undefined ? undefined : { ...answer.issue, from } };
    }

    function creditOf(known: LocalTeam, credit: HeldCredit<ReturnAddress>): Credit {
        let returned = false;
        return {
            kind: "credit",
            isUsable: () => isUsable(credit, now()),
            giveBack() {
                if (!returned) {
                    returned = true;
                    known.local.hold(credit);
                    wake(busyIntervalMs);
                }
            },
        };
    }

    function giveBack(known: LocalTeam, { from, issuer, at }: ReturnAddress, count: number): void {
        const call = { kind: "creditReturn", team: known.team.name, count, issue: { issuer, at } } as const;
        if (from === undefined) {
            authorities.takeBack(call);
        }
        else {
            // A return that does not arrive leaves the credits unused, and the failure has been counted.
            void authorities.ask(from, call);
        }
    }

    /** Runs the next update no later than after so many milliseconds. */
    function wake(ms: number): void {
        const at = now() + ms;
        if (disposed || timerAt <= at) {
            return;
        }
        timer?.[Symbol.dispose]();
        timerAt = at;
        timer = parts.schedule(update, ms);
    }

    function update(): void {
        timerAt = Infinity;
        timer = undefined;
        const time = now();
        let isBusy = authorities.update();
        for (const [name, known] of teams) {
            returnExpired(known, time);
            isBusy ||= known.local.holdsCredits();
            if (known.usedAt < time - forgetAfterMs && known.waiting.length === 0) {
                teams.delete(name);
            }
        }
        report.write(authorities.states());
        if (isBusy || teams.size > 0 || authorities.size() > 0) {
            wake(isBusy ? busyIntervalMs : idleIntervalMs);
        }
    }

    /** Credits of one message go back in one message. */
    function returnExpired(known: LocalTeam, time: number): void {
        const counts = new Map<string, { readonly address: ReturnAddress; count: number; }>();
        for (const { issue, askedAt } of known.local.removeExpired(time)) {
            if (issue !== undefined && time - askedAt < maxReturnAgeMs) {
                const key = `${issue.from?.name} ${issue.issuer} ${issue.at}`;
                const entry = counts.get(key) ?? { address: issue, count: 0 };
                entry.count += 1;
                counts.set(key, entry);
            }
        }
        counts.forEach(({ address, count }) => giveBack(known, address, count));
    }

    async function serve(call: QuotaCall): Promise<unknown> {
        wake(idleIntervalMs);
        switch (call.kind) {
            case "credit": {
                const answer = await authorities.issue(call);
                wake(busyIntervalMs);
                return answer;
            }
            case "creditReturn":
                authorities.takeBack(call);
                return true;
            case "quotaShare":
                return { tokens: authorities.promise(call) };
        }
    }

    return {
        acquire,
        serve,
        [Symbol.dispose]() {
            disposed = true;
            timer?.[Symbol.dispose]();
        },
    };
}
