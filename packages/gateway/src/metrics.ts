import type { CallerMemoryUse, ClosingCause, DispatchRefusalReason, KeyProblem, PermitDecision,
    RateLimitChange } from "@tamarackgauge/core/gateway";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { QuotaCall } from "./peerMessage.ts";

/** How a store call was made: by this gateway, or by a peer on its behalf. */
export type StoreWay = "direct" | "peer";

/** Kinds of store calls. */
export type StoreCallKind = "read" | "change" | "feed";

/** A store call that has ended. `table` is `probe` for calls that only check whether the store answers. */
export interface StoreCallRecord {
    readonly kind: StoreCallKind;
    readonly table: string;
    readonly way: StoreWay;
    readonly outcome: "answered" | "failed";
}

/**
 * How a call of a team with a quota was decided. `held`: with a credit at hand. `issued`: by this gateway, as it decides.
 * `asked`: by another gateway. `denied`: that one, or this one, had no credit. `remembered`: it was known from an earlier
 * denial that there is none. `unreachable`: none of the deciding gateways could be reached.
 */
export type QuotaDecision = "held" | "issued" | "asked" | "denied" | "remembered" | "unreachable";

/** Metrics of one gateway. */
export interface Metrics {
    /** Records the end of a caller's call; `status` is 0 if there was no answer. */
    recordCall(route: string, status: number, ms: number): void;
    recordStoreCall(call: StoreCallRecord): void;
    /** Records the end of one attempt at an upstream. */
    recordSend(service: string, outcome: string): void;
    /** Records an answer that began and that was broken off or rejected, by the framing of its body. */
    recordBrokenAnswer(service: string, framing: string): void;
    /** Records that an upstream announced in an answer that it leaves. */
    recordLeaving(service: string): void;
    /** Records that an upstream named, changed or ended its rate limit. */
    recordRateLimitChange(service: string, change: RateLimitChange["kind"]): void;
    /** Records the outcome of a request for a permit to send to an upstream with a rate limit. */
    recordPermit(outcome: PermitDecision["kind"] | "unavailable"): void;
    /** Records how a request of this gateway for a place at an engine ended. */
    recordPlacement(outcome: PlacementOutcome): void;
    /** Records what this gateway decided as the dispatcher of a service. */
    recordDispatch(decision: DispatchRecord): void;
    /** Records whether a previous turn was found in memory or had to be read from the store. */
    recordTurnLookup(where: "memory" | "store"): void;
    /** Records whether a turn's tokens were reserved by this gateway or by the program's home gateway. */
    recordTokenReservation(where: "own" | "home"): void;
    /** Records a connection to an upstream, by whether another gateway opened it. */
    recordUpstreamConnection(path: "direct" | "relayed"): void;
    /** Records what became of a connection to an upstream that another gateway asked for. */
    recordRelay(outcome: RelayOutcome): void;
    setActiveCalls(calls: number): void;
    /** Sets the memory that callers hold in connections, unfinished heads and calls. */
    setCallerMemory(use: CallerMemoryUse): void;
    /** Records connections that were closed before their callers did so. */
    recordClosings(cause: ClosingCause, count: number): void;
    /** Records a call that was refused because there was no room for it or for its body. */
    recordMemoryRefusal(part: "call" | "body"): void;
    /** Records a call that was refused for its key. */
    recordKeyRefusal(reason: KeyProblem): void;
    /** Records how a call of a team with a quota was decided. */
    recordQuotaDecision(decision: QuotaDecision): void;
    /** Records credits that this gateway handed out, or took back, for all gateways. */
    recordCredits(kind: "granted" | "denied" | "takenBack", count: number): void;
    /** Records a message to a gateway that decides about quotas. */
    recordQuotaMessage(kind: QuotaCall["kind"], outcome: "answered" | "failed"): void;
    text(): Promise<string>;
    /** Values of all counters as log fields. */
    summary(): Promise<Readonly<Record<string, number>>>;
}

/**
 * What became of a connection that another gateway asked for. `refused`: this gateway is cut off too, is stopping, or relays
 * as many as it may. `unreachable`: it does not know the upstream, or does not reach it either.
 */
export type RelayOutcome = "opened" | "refused" | "unreachable";

/** How a request for a place ended. `alone`: the dispatcher could not be asked, so that the gateway chose by itself. */
export type PlacementOutcome = "placed" | "refused" | "withdrawn" | "alone";

/** A decision of the dispatcher. */
export interface DispatchRecord {
    readonly service: string;
    readonly turn: "first" | "later";
    /** `queued`: placed after a wait. */
    readonly decision: "placed" | "queued" | "noEngine" | "withdrawn" | DispatchRefusalReason;
}

const latencyBucketsMs = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

/** What is read whenever the metrics are. */
export interface MetricsSources {
    /** Number of upstreams that name a rate limit, for each service. */
    readonly limitedUpstreams: () => ReadonlyMap<string, number>;
    /** Number of calls that wait here for a place, for each service that this gateway dispatches. */
    readonly waitingCalls?: () => ReadonlyMap<string, number>;
}

/** Creates the metrics of a gateway. */
export function createMetrics({ limitedUpstreams, waitingCalls }: MetricsSources): Metrics {
    const registry = new Registry();
    const registers = [registry];
    const calls = new Counter({ name: "tamarackgauge_calls_total", help: "Calls of callers that have ended",
        labelNames: ["status"], registers });
    const duration = new Histogram({ name: "tamarackgauge_call_ms",
        help: "Time from a call's arrival to the end of its answer", labelNames: ["route"], buckets: latencyBucketsMs,
        registers });
    const storeCalls = new Counter({ name: "tamarackgauge_store_calls_total", help: "Calls of the store",
        labelNames: ["kind", "way", "outcome", "table"], registers });
    const sends = new Counter({ name: "tamarackgauge_sends_total", help: "Sends to upstreams that have ended",
        labelNames: ["service", "outcome"], registers });
    const brokenAnswers = new Counter({ name: "tamarackgauge_broken_answers_total",
        help: "Answers of upstreams that began and were broken off or rejected", labelNames: ["service", "framing"],
        registers });
    const leaving = new Counter({ name: "tamarackgauge_upstreams_leaving_total",
        help: "Upstreams that announced in an answer that they leave", labelNames: ["service"], registers });
    const rateLimitChanges = new Counter({ name: "tamarackgauge_rate_limit_changes_total",
        help: "Rate limits that upstreams named, changed or ended", labelNames: ["service", "change"], registers });
    const permits = new Counter({ name: "tamarackgauge_permits_total",
        help: "Requests for permits to send to upstreams with a rate limit", labelNames: ["outcome"], registers });
    const placements = new Counter({ name: "tamarackgauge_placements_total",
        help: "Requests to the dispatcher for a place at an engine", labelNames: ["outcome"], registers });
    const dispatches = new Counter({ name: "tamarackgauge_dispatch_decisions_total",
        help: "Decisions of this gateway as the dispatcher of a service", labelNames: ["service", "turn", "decision"],
        registers });
    const turnLookups = new Counter({ name: "tamarackgauge_previous_turns_total",
        help: "Previous turns, by where they were found", labelNames: ["where"], registers });
    const tokenReservations = new Counter({ name: "tamarackgauge_token_reservations_total",
        help: "Reservations of tokens, by the gateway that made them", labelNames: ["where"], registers });
    const upstreamConnections = new Counter({ name: "tamarackgauge_upstream_connections_total",
        help: "Connections to upstreams, by whether this gateway opened them itself", labelNames: ["path"],
        registers });
    const relays = new Counter({ name: "tamarackgauge_relayed_connections_total",
        help: "Connections to upstreams that other gateways asked for", labelNames: ["outcome"], registers });
    const activeCalls = new Gauge({ name: "tamarackgauge_active_calls", help: "Calls of callers under way",
        registers });
    const callerBytes = new Gauge({ name: "tamarackgauge_caller_bytes",
        help: "Estimated memory that callers hold beside bodies", labelNames: ["part"], registers });
    const closings = new Counter({ name: "tamarackgauge_connections_closed_total",
        help: "Connections of callers that the gateway closed without a call under way", labelNames: ["cause"],
        registers });
    const memoryRefusals = new Counter({ name: "tamarackgauge_memory_refusals_total",
        help: "Calls refused for lack of memory", labelNames: ["part"], registers });
    const keyRefusals = new Counter({ name: "tamarackgauge_key_refusals_total", help: "Calls refused for their key",
        labelNames: ["reason"], registers });
    const quotaDecisions = new Counter({ name: "tamarackgauge_quota_decisions_total",
        help: "Calls of teams with a quota, by how they were decided", labelNames: ["decision"], registers });
    const credits = new Counter({ name: "tamarackgauge_quota_credits_total",
        help: "Credits that this gateway handed out, denied or took back", labelNames: ["kind"], registers });
    const quotaMessages = new Counter({ name: "tamarackgauge_quota_messages_total",
        help: "Messages to gateways that decide about quotas", labelNames: ["kind", "outcome"], registers });
    new Gauge({ name: "tamarackgauge_limited_upstreams", help: "Upstreams that name a rate limit",
        labelNames: ["service"], registers, collect() {
        this.reset();
        limitedUpstreams().forEach((count, service) => this.set({ service }, count));
    } });
    new Gauge({ name: "tamarackgauge_dispatch_waiting", help: "Calls that wait here for a place at an engine",
        labelNames: ["service"], registers, collect() {
        this.reset();
        waitingCalls?.().forEach((count, service) => this.set({ service }, count));
    } });

    return {
        recordCall(route, status, ms) {
            calls.inc({ status: String(status) });
            duration.observe({ route }, ms);
        },
        recordStoreCall: ({ kind, way, outcome, table }) => storeCalls.inc({ kind, way, outcome, table }),
        recordSend: (service, outcome) => sends.inc({ service, outcome }),
        recordBrokenAnswer: (service, framing) => brokenAnswers.inc({ service, framing }),
        recordLeaving: service => leaving.inc({ service }),
        recordRateLimitChange: (service, change) => rateLimitChanges.inc({ service, change }),
        recordPermit: outcome => permits.inc({ outcome }),
        recordPlacement: outcome => placements.inc({ outcome }),
        recordDispatch: ({ service, turn, decision }) => dispatches.inc({ service, turn, decision }),
        recordTurnLookup: where => turnLookups.inc({ where }),
        recordTokenReservation: where => tokenReservations.inc({ where }),
        recordUpstreamConnection: path => upstreamConnections.inc({ path }),
        recordRelay: outcome => relays.inc({ outcome }),
        setActiveCalls: count => activeCalls.set(count),
        setCallerMemory: use =>
            Object.entries(use).forEach(([part, bytes]) => callerBytes.set({ part }, bytes as number)),
        recordClosings: (cause, count) => closings.inc({ cause }, count),
        recordMemoryRefusal: part => memoryRefusals.inc({ part }),
        recordKeyRefusal: reason => keyRefusals.inc({ reason }),
        recordQuotaDecision: decision => quotaDecisions.inc({ decision }),
        recordCredits: (kind, count) => credits.inc({ kind }, count),
        recordQuotaMessage: (kind, outcome) => quotaMessages.inc({ kind, outcome }),
        text: () => registry.metrics(),
        async summary() {
            const fields: Record<string, number> = {};
            for (const counter of [calls, storeCalls, sends, brokenAnswers, leaving, turnLookups, tokenReservations,
                closings, memoryRefusals, rateLimitChanges, permits, keyRefusals, quotaDecisions, credits,
                quotaMessages, placements, dispatches, upstreamConnections, relays]) {
                const { name, values } = await counter.get();
                for (const { labels, value } of values) {
                    fields[[name.replace(/^tamarackgauge_|_total$/g, ""), ...Object.values(labels)].join(".")] = value;
                }
            }
            return fields;
        },
    };
}
