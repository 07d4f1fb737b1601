import { type IssuerShare, type PermitDecision, PermitSchedule, rankIssuers } from "@tamarackgauge/core/gateway";
import type { Metrics } from "./metrics.ts";
import type { PeerContacts } from "./peerContacts.ts";
import type { RequestTimeouts } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";
import type { PermitAnswer, PermitCall } from "./peerMessage.ts";

/** What an upstream has stated in an answer; no `requestsPerSecond` means that it has no limit. */
export interface StatedRateLimit {
    readonly requestsPerSecond: number | undefined;
    /** Monotonic milliseconds. */
    readonly statedAt: number;
}

/** A request of this gateway for a permit. */
export interface PermitQuestion {
    /** Incarnation of the upstream. */
    readonly upstream: string;
    readonly stated: { readonly requestsPerSecond: number; readonly statedAt: number; };
    /** How long the call can wait for its permit, in ms. */
    readonly maxDelay: number;
}

/** The outcome of a request for a permit. */
export interface PermitOutcome {
    readonly decision: PermitDecision;
    /** A later statement of the upstream that the issuer knows of. */
    readonly later?: StatedRateLimit;
}

/** Permits to send requests to upstreams with a rate limit. */
export interface Permits {
    request(question: PermitQuestion): Promise<PermitOutcome>;
    /** Tells the issuer what an upstream has stated. */
    report(upstream: string, stated: StatedRateLimit): void;
    /** Opens the link to the issuer, so that the first request for a permit does not wait for it. */
    prepare(upstream: string): void;
}

/** Issues permits, also to other gateways. */
export interface PermitIssuer {
    issue(call: PermitCall & { readonly kind: "permit"; }): PermitAnswer;
    learn(call: PermitCall & { readonly kind: "rateLimit"; }): void;
}

/** Dependencies of permits. */
export interface PermitsParts {
    /** Name of this gateway. */
    readonly name: string;
    /** Whether other gateways can be asked, once their list is known. */
    readonly hasPeers: boolean;
    readonly peers: () => readonly Peer[];
    readonly contacts: PeerContacts;
    /** Share of an upstream's limit that this gateway may grant. */
    readonly shareOf: (upstream: string, now: number) => IssuerShare;
    readonly metrics: Metrics;
    readonly now: () => number;
}

/** An issuer that shows no sign of life within `silenceTimeout` is done without. */
const requestLimits: RequestTimeouts = { timeout: 400, silenceTimeout: 150 };
/** A call that can wait this long waits for the link to the issuer to open. */
const linkOpeningMs = 50;
const reportLimits: RequestTimeouts = { timeout: 1_000 };
/** Number of issuers that are asked in turn. With more of them, all together could exceed the limit. */
const maxIssuers = 2;
/** A permit that nobody could issue is asked for again after this time. */
const unavailableDelayMs = 500;
/** What is known of an upstream is forgotten this long after its last use. */
const forgetAfterMs = 60_000;

/** What an issuer knows of an upstream. */
interface IssuedUpstream {
    readonly schedule: PermitSchedule;
    stated: StatedRateLimit;
    usedAt: number;
}

/** Creates the permits of a gateway, which issues those of some upstreams itself. */
export function createPermits(
    { name, hasPeers, peers, contacts, shareOf, metrics, now }: PermitsParts,
): Permits & PermitIssuer {
    const issuedUpstreams = new Map<string, IssuedUpstream>();

    /** The gateways that may issue permits for the upstream; `undefined` stands for this one. */
    function issuersOf(upstream: string): readonly (Peer | undefined)[] {
        const known = peers();
        const names = hasPeers ? known.map(peer => peer.name) : [name];
        return rankIssuers(upstream, names).slice(0, maxIssuers)
            .map(issuer => issuer === name ? undefined : known.find(peer => peer.name === issuer));
    }

    async function request(question: PermitQuestion): Promise<PermitOutcome> {
        for (const issuer of issuersOf(question.upstream)) {
            const outcome = issuer === undefined ? issueToSelf(question) : await ask(issuer, question);
            if (outcome !== undefined) {
                metrics.recordPermit(outcome.decision.kind);
                return outcome;
            }
        }
        metrics.recordPermit("unavailable");
        return { decision: { kind: "denied", delay: unavailableDelayMs } };
    }

    function issueToSelf(question: PermitQuestion): PermitOutcome {
        return outcomeOf(issue(callOf(question)));
    }

    /** Undefined if the issuer cannot be reached. */
    async function ask(issuer: Peer, question: PermitQuestion): Promise<PermitOutcome | undefined> {
        const isTooLate = !contacts.isReady(issuer) && question.maxDelay < linkOpeningMs;
        if (contacts.isBackingOff(issuer.name) || isTooLate) {
            return undefined;
        }
        try {
            return outcomeOf(await contacts.ask(issuer, callOf(question), requestLimits));
        }
        catch {
            // Already logged by the contacts.
            return undefined;
        }
    }

    function callOf({ upstream, stated, maxDelay }: PermitQuestion) {
        return { kind: "permit", upstream, requestsPerSecond: stated.requestsPerSecond,
            statedAgo: agoOf(stated.statedAt), maxDelay } as const;
    }

    function outcomeOf({ decision, later }: PermitAnswer): PermitOutcome {
        return later === undefined
            ? { decision }
            : { decision, later: { requestsPerSecond: later.requestsPerSecond, statedAt: now() - later.statedAgo } };
    }

    function agoOf(statedAt: number): number {
        return Math.max(0, now() - statedAt);
    }

    function report(upstream: string, { requestsPerSecond, statedAt }: StatedRateLimit): void {
        const call = { kind: "rateLimit", upstream, requestsPerSecond, statedAgo: agoOf(statedAt) } as const;
        learn(call);
        for (const issuer of issuersOf(upstream)) {
            if (issuer !== undefined && !contacts.isBackingOff(issuer.name)) {
                // A failure is logged by the contacts, and the next request for a permit tells the issuer as well.
                contacts.ask(issuer, call, reportLimits).catch(() => undefined);
            }
        }
    }

    function prepare(upstream: string): void {
        for (const issuer of issuersOf(upstream)) {
            if (issuer !== undefined && !contacts.isBackingOff(issuer.name)) {
                contacts.isReady(issuer);
            }
        }
    }

    function learn({ upstream, requestsPerSecond, statedAgo }: PermitCall): IssuedUpstream {
        const stated = { requestsPerSecond, statedAt: now() - statedAgo };
        const found = issuedUpstreams.get(upstream) ??
            { schedule: new PermitSchedule(), stated, usedAt: now() };
        // The least recently used one is first.
        issuedUpstreams.delete(upstream);
        issuedUpstreams.set(upstream, found);
        if (stated.statedAt > found.stated.statedAt) {
            found.stated = stated;
        }
        found.usedAt = now();
        forgetUnused();
        return found;
    }

    function forgetUnused(): void {
        const [oldest] = issuedUpstreams;
        if (oldest !== undefined && oldest[1].usedAt < now() - forgetAfterMs) {
            issuedUpstreams.delete(oldest[0]);
        }
    }

    function issue(call: PermitCall & { readonly kind: "permit"; }): PermitAnswer {
        const { schedule, stated } = learn(call);
        const isLater = stated.statedAt > now() - call.statedAgo;
        const later = isLater
            ? { later: { requestsPerSecond: stated.requestsPerSecond, statedAgo: agoOf(stated.statedAt) } }
            : {};
        if (stated.requestsPerSecond === undefined) {
            return { decision: { kind: "granted", delay: 0 }, ...later };
        }
        const { rateShare, burst } = shareOf(call.upstream, now());
        const decision = schedule.take({ requestsPerSecond: stated.requestsPerSecond * rateShare, burst,
            maxDelay: call.maxDelay }, now());
        return { decision, ...later };
    }

    return { request, report, prepare, issue, learn };
}
