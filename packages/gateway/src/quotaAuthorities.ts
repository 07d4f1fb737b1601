import { type CreditGrant, QuotaAuthority, quotaLimits, type QuotaRole,
    type QuotaSettings } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { RequestTimeouts } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";
import type { CreditAnswer, PeerResult, QuotaCall } from "./peerMessage.ts";
import type { AuthorityState, QuotaReport } from "./quotaReport.ts";

/** Which gateways decide about a subject. */
export interface QuotaRanking {
    /** The first `count` gateways; `undefined` stands for this one. */
    rank(subject: string, count: number): readonly (Peer | undefined)[];
    /** Whether this gateway has that place, counted from 0, and no other gateway can take it for its own. */
    holdsPlace(subject: string, place: number): boolean;
    /** Since when, in monotonic milliseconds, no ranking has changed. */
    unchangedSince(): number;
    /** Asks a gateway; undefined if it cannot be reached or has failed a short time ago. */
    ask<const Call extends QuotaCall>(ranked: readonly Peer[], call: Call,
        limits: RequestTimeouts): Promise<{ readonly result: PeerResult<Call["kind"]>; } | undefined>;
    /** Notes that a gateway is there, as it has sent a message. */
    noteSignOfLife(peer: Peer): void;
}

/** Dependencies of the authorities. */
export interface QuotaAuthoritiesParts {
    readonly settings: QuotaSettings;
    readonly ranking: QuotaRanking;
    /** Identifies this process, so that it takes no credits back that an earlier one has issued. */
    readonly issuer: number;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
}

/** A request for credits. */
export type CreditRequest = Omit<QuotaCall & { readonly kind: "credit"; }, "kind" | "forwarded"> & {
    /** Whether the request is to be decided here, as another gateway has been asked already. */
    readonly forwarded?: boolean;
};

/** The teams about which this gateway decides, and the way to the gateways that decide about the others. */
export interface QuotaAuthorities {
    /** The gateways to be asked about a team, in order. */
    rank(team: string): readonly (Peer | undefined)[];
    isHome(team: string): boolean;
    /** Decides, or has the gateway decide that does; undefined if none can. */
    issue(request: CreditRequest): CreditAnswer | Promise<CreditAnswer>;
    takeBack(call: QuotaCall & { readonly kind: "creditReturn"; }): void;
    /** As the deputy, leaves the share to the home. */
    promise(call: QuotaCall & { readonly kind: "quotaShare"; }): number | undefined;
    ask<const Call extends QuotaCall>(peer: Peer, call: Call): Promise<PeerResult<Call["kind"]> | undefined>;
    /** Brings all up to date; returns whether the share of a deputy is needed. */
    update(): boolean;
    states(): Iterable<AuthorityState>;
    size(): number;
}

interface TeamState {
    readonly authority: QuotaAuthority;
    quota: CreditRequest["quota"];
    usedAt: number;
    /** When the version of the quota was last confirmed. */
    quotaSeenAt: number;
    /** The request for the deputy's share that is under way, and when it or the last one was sent. */
    asking: Promise<void> | undefined;
    askedAt: number;
    view: RankView;
}

/** The ranking of a team as of late. */
interface RankView {
    readonly ranked: readonly (Peer | undefined)[];
    readonly role: QuotaRole | undefined;
    readonly validUntil: number;
}

/** A gateway that shows no sign of life within `silenceTimeout` is done without. */
const requestLimits: RequestTimeouts = { timeout: 400, silenceTimeout: 150 };
/**
 * How long a ranking is used again. A gateway hands out nothing at the beginning of its role for longer than this, so that
 * two never hand out the same share.
 */
const rankingLifetimeMs = 200;
/** How often the home asks for the share of its deputy while it needs it. */
const shareIntervalMs = 200;
/** A quota of an older declaration is used only if no gateway has named the newer one for this long. */
const outdatedAfterMs = 10_000;
/** A team's state is forgotten this long after its last use. The share would be full again by then. */
const forgetAfterMs = 600_000;
const rankedGateways = 2;
/** A gateway that does not decide tells callers of a gateway that takes it for one to come back after this time. */
const misdirectedDelayMs = 250;
const misdirected: CreditAnswer = { granted: 0, delay: 0, wait: misdirectedDelayMs, undecided: true };

/** Creates the authorities of a gateway. */
export function createQuotaAuthorities(
    { settings, ranking, issuer, metrics, log, now }: QuotaAuthoritiesParts,
    report: QuotaReport,
): QuotaAuthorities {
    const states = new Map<string, TeamState>();
    const views = new Map<string, RankView>();

    function viewOf(team: string): RankView {
        const time = now();
        const known = views.get(team);
        if (known !== undefined && time < known.validUntil) {
            return known;
        }
        const subject = `quota ${team}`;
        const ranked = ranking.rank(subject, rankedGateways);
        const view = { ranked, role: roleIn(ranked, subject), validUntil: time + rankingLifetimeMs };
        views.set(team, view);
        return view;
    }

    function roleIn(ranked: readonly (Peer | undefined)[], subject: string): QuotaRole | undefined {
        const place = ranked.indexOf(undefined);
        if (place < 0) {
            return undefined;
        }
        if (!ranking.holdsPlace(subject, place)) {
            return "unsettled";
        }
        return ranked.length === 1 ? "alone" : place === 0 ? "home" : "deputy";
    }

    /** Undefined if this gateway is not among those that decide about the team. */
    function stateOf({ team, quota }: Pick<CreditRequest, "team" | "quota">): TeamState | undefined {
        const view = viewOf(team);
        if (view.role === undefined) {
            states.delete(team);
            return undefined;
        }
        const known = states.get(team);
        const state = known ?? createState(quota, view);
        states.set(team, state);
        if (quota.version >= state.quota.version || now() - state.quotaSeenAt > outdatedAfterMs) {
            state.quota = quota;
            state.quotaSeenAt = now();
        }
        refresh(team, state, view);
        return state;
    }

    function createState(quota: CreditRequest["quota"], view: RankView): TeamState {
        return { authority: new QuotaAuthority(quotaLimits(quota, settings), ranking.unchangedSince()), quota,
            quotaSeenAt: now(), usedAt: now(), asking: undefined, askedAt: -Infinity, view };
    }

    function refresh(team: string, state: TeamState, view: RankView): void {
        const { authority, quota } = state;
        const before = authority.currentRole();
        const time = now();
        authority.update(quotaLimits(quota, settings), view.role!, time);
        authority.confirmDeputy(view.role === "home" ? view.ranked[1]?.name : undefined, time);
        state.view = view;
        if (before !== undefined && before !== view.role) {
            log.info("quota.role", { team, role: view.role, before });
        }
    }

    function issue(request: CreditRequest): CreditAnswer | Promise<CreditAnswer> {
        const state = stateOf(request);
        if (state === undefined) {
            return request.forwarded === true ? misdirected : forward(request, viewOf(request.team).ranked, undefined);
        }
        state.usedAt = now();
        if (state.authority.abstains(now()) && request.forwarded !== true) {
            return forward(request, state.view.ranked, state);
        }
        const answer = issueOwn(request, state);
        requestShare(request.team, state);
        if (answer.granted === request.count) {
            return answer;
        }
        if (state.asking !== undefined && !state.authority.hasPromise(now())) {
            return issueRest(request, state, answer);
        }
        return state.authority.currentRole() === "unsettled" && request.forwarded !== true && answer.granted === 0
            ? forward(request, state.view.ranked, undefined, answer)
            : answer;
    }

    /** The share of the deputy is about to come. */
    async function issueRest(request: CreditRequest, state: TeamState, first: CreditAnswer): Promise<CreditAnswer> {
        await state.asking;
        if (!state.authority.hasPromise(now())) {
            return first;
        }
        const rest = issueOwn({ ...request, count: request.count - first.granted }, state);
        // The first credits are not given back if others of the same answer were issued later.
        return { ...rest, granted: first.granted + rest.granted, issue: first.granted === 0 ? rest.issue : undefined };
    }

    function abstains(team: string): boolean {
        return states.get(team)?.authority.abstains(now()) === true;
    }

    function issueOwn({ team, count }: CreditRequest, { authority }: TeamState): CreditAnswer {
        const time = now();
        const grant = authority.issue(count, time);
        metrics.recordCredits("granted", grant.granted);
        metrics.recordCredits("denied", count - grant.granted);
        report.recordIssue(team, grant.granted, count - grant.granted);
        return answerOf(grant, time, authority.currentRole());
    }

    function answerOf({ granted, returnable, delay, wait }: CreditGrant, time: number,
        role: QuotaRole | undefined): CreditAnswer {
        if (granted === 0 && role === "unsettled") {
            return { granted, delay, wait, undecided: true };
        }
        return returnable && granted > 0
            ? { granted, issue: { issuer, at: time }, delay, wait }
            : { granted, delay, wait };
    }

    /** Has the first other gateway decide. If it cannot be reached, this one decides, if it may. */
    async function forward(request: CreditRequest, ranked: readonly (Peer | undefined)[], state: TeamState | undefined,
        fallback: CreditAnswer = misdirected): Promise<CreditAnswer> {
        const target = ranked.find(candidate => candidate !== undefined);
        const { team, count, quota } = request;
        const answer = target === undefined
            ? undefined
            : await ask(target, { kind: "credit", team, count, quota, forwarded: true });
        if (answer !== undefined && answer.undecided !== true) {
            // They would have to go back by the same way.
            return { ...answer, issue: undefined };
        }
        return state === undefined ? fallback : issueOwn(request, state);
    }

    function requestShare(team: string, state: TeamState): void {
        const deputy = state.view.ranked[1];
        const askedAt = now();
        if (state.asking !== undefined || deputy === undefined || askedAt < state.askedAt + shareIntervalMs ||
            !state.authority.needsPromise(askedAt)) {
            return;
        }
        state.askedAt = askedAt;
        state.asking = ask(deputy, { kind: "quotaShare", team, quota: state.quota }).then(answer => {
            if (answer?.tokens !== undefined) {
                state.authority.acceptPromise(deputy.name, answer.tokens, askedAt, now());
            }
            state.asking = undefined;
        });
    }

    async function ask<const Call extends QuotaCall>(peer: Peer, call: Call) {
        const answer = await ranking.ask([peer], call, requestLimits);
        metrics.recordQuotaMessage(call.kind, answer === undefined ? "failed" : "answered");
        return answer?.result;
    }

    function update(): boolean {
        const time = now();
        let needsShare = false;
        views.forEach((view, team) => view.validUntil < time && !states.has(team) && views.delete(team));
        for (const [team, state] of states) {
            const view = viewOf(team);
            if (view.role === undefined || state.usedAt < time - forgetAfterMs) {
                states.delete(team);
                continue;
            }
            refresh(team, state, view);
            requestShare(team, state);
            needsShare ||= state.authority.needsPromise(time);
        }
        return needsShare;
    }

    return {
        rank(team) {
            const { ranked } = viewOf(team);
            return abstains(team) ? [...ranked.filter(candidate => candidate !== undefined), undefined] : ranked;
        },
        isHome(team) {
            const { role } = viewOf(team);
            return (role === "home" || role === "alone") && !abstains(team);
        },
        issue,
        takeBack({ team, count, issue: { issuer: by, at } }) {
            const state = states.get(team);
            if (state !== undefined && by === issuer) {
                state.authority.takeBack(count, at, now());
                metrics.recordCredits("takenBack", count);
            }
        },
        promise(call) {
            const state = stateOf(call);
            if (state === undefined) {
                return undefined;
            }
            state.usedAt = now();
            const home = state.view.ranked[0];
            if (home !== undefined) {
                ranking.noteSignOfLife(home);
            }
            return state.authority.promise(now());
        },
        ask,
        update,
        *states() {
            for (const [team, { authority, quota }] of states) {
                yield { team, role: authority.currentRole(), quota, hasDeputyShare: authority.hasPromise(now()) };
            }
        },
        size: () => states.size,
    };
}
