import { type Declaration, type DispatchDecision, DispatchQueue, modelCosts, type QueuedDecision, type Random,
    type UpstreamEntry } from "@tamarackgauge/core/gateway";
import type { Log } from "./log.ts";
import type { DispatchRecord, Metrics } from "./metrics.ts";
import type { DispatchPeerCall, PeerNotice, PlaceAnswer } from "./peerMessage.ts";

/** A request for a place. */
export type PlaceCall = Extract<DispatchPeerCall, { kind: "place"; }>;

/** Places the calls of model services for all gateways that ask this one. */
export interface Dispatcher extends Disposable {
    /** Sets the upstreams of all services. */
    setUpstreams(entries: readonly UpstreamEntry[]): void;
    /** Opens a session for one gateway. Its places end when it is disposed of. */
    open(): DispatcherSession;
    /** Number of calls that wait, for each service. */
    waitingCalls(): ReadonlyMap<string, number>;
    /** Logs the state of each queue that was used since the last time. */
    logSummary(): void;
}

/** The calls of one gateway. */
export interface DispatcherSession extends Disposable {
    /** Resolves when the call is placed or refused, at the latest after its `maxWait`. */
    place(call: PlaceCall): Promise<PlaceAnswer>;
    /** Handles the end of a placement, or of a request for one. */
    notify(notice: PeerNotice): void;
}

/** Dependencies of a dispatcher. */
export interface DispatcherParts {
    readonly declaration: () => Declaration | undefined;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly now: () => number;
    readonly random: Random;
}

/** Waiting calls are looked at again after this time, also if no placement ends. */
const checkIntervalMs = 20;
/** A queue that was not used for this long knows nothing of the engines' calls any more. */
const forgetAfterMs = 10_000;
/**
 * The placements of a gateway end this long after its link: it may have lost only the link, and its calls then still run.
 */
const orphanedMs = 500;
/** Number of teams that are named in a summary. */
const namedTeams = 5;

interface Pending {
    readonly call: PlaceCall;
    readonly resolve: (answer: PlaceAnswer) => void;
}

interface ServiceDispatch {
    readonly service: string;
    readonly queue: DispatchQueue;
    readonly pending: Map<number, Pending>;
    entries: readonly UpstreamEntry[] | undefined;
    timer: NodeJS.Timeout | undefined;
    usedAt: number;
    refusedByTeam: Map<string, number>;
    waitedMs: number;
    decisions: number;
}

/** Creates a dispatcher that knows no engines yet. */
export function createDispatcher({ declaration, metrics, log, now, random }: DispatcherParts): Dispatcher {
    const services = new Map<string, ServiceDispatch>();
    let upstreams: readonly UpstreamEntry[] = [];

    /** Undefined if the service has no model. */
    function dispatchOf(service: string): ServiceDispatch | undefined {
        const known = services.get(service);
        if (known !== undefined && now() - known.usedAt < forgetAfterMs) {
            updateEngines(known);
            return known;
        }
        const model = declaration()?.services.get(service)?.model;
        if (model === undefined) {
            return undefined;
        }
        clearTimeout(known?.timer);
        known?.pending.forEach(({ resolve }) => resolve({ kind: "noEngine" }));
        const queue = new DispatchQueue({ cacheTokens: model.cacheTokens, crossDataCentreMs: modelCosts.crossDataCentre,
            random, startedAt: now() });
        const created: ServiceDispatch = { service, queue, pending: new Map(), entries: undefined, timer: undefined,
            usedAt: now(), refusedByTeam: new Map(), waitedMs: 0, decisions: 0 };
        services.set(service, created);
        updateEngines(created);
        log.info("dispatch.started", { service });
        return created;
    }

    /** The engines' rows change often, so they are read only for a service that is dispatched here. */
    function updateEngines(dispatch: ServiceDispatch): void {
        if (dispatch.entries !== upstreams) {
            dispatch.entries = upstreams;
            dispatch.queue.setEngines(upstreams.filter(({ service }) => service === dispatch.service), now());
        }
    }

    function place(call: PlaceCall): PlaceAnswer | Promise<PlaceAnswer> {
        const dispatch = dispatchOf(call.service);
        if (dispatch === undefined) {
            return { kind: "noEngine" };
        }
        dispatch.usedAt = now();
        const { only, preferred, program } = call;
        const decision = dispatch.queue.place({ ...call, only, preferred, program }, now());
        if (decision !== undefined) {
            record(dispatch, call, decision, 0);
            return decision;
        }
        schedule(dispatch);
        return new Promise(resolve => dispatch.pending.set(call.key, { call, resolve }));
    }

    function notify(notice: PeerNotice): void {
        const dispatch = services.get(notice.service);
        if (dispatch === undefined) {
            return;
        }
        if (notice.kind === "withdraw") {
            withdraw(dispatch, notice.key);
        }
        else {
            const { incarnation, load, timing } = notice;
            if (dispatch.queue.release({ ...notice, incarnation, load, timing }, now())) {
                log.warn("dispatch.suspended", { service: dispatch.service, upstream: notice.upstream });
            }
        }
        advance(dispatch);
    }

    function withdraw(dispatch: ServiceDispatch, key: number): void {
        dispatch.queue.withdraw(key, now());
        const waiting = dispatch.pending.get(key);
        if (waiting !== undefined) {
            dispatch.pending.delete(key);
            metrics.recordDispatch({ service: dispatch.service, turn: turnOf(waiting.call), decision: "withdrawn" });
            waiting.resolve({ kind: "withdrawn" });
        }
    }

    function advance(dispatch: ServiceDispatch): void {
        if (dispatch.pending.size > 0) {
            dispatch.queue.advance(now()).forEach(queued => settle(dispatch, queued));
        }
    }

    function settle(dispatch: ServiceDispatch, { key, decision, waited }: QueuedDecision): void {
        const waiting = dispatch.pending.get(key);
        if (waiting !== undefined) {
            dispatch.pending.delete(key);
            record(dispatch, waiting.call, decision, waited);
            waiting.resolve(decision);
        }
    }

    /** One timer for each service, which runs only while calls wait. */
    function schedule(dispatch: ServiceDispatch): void {
        dispatch.timer ??= setTimeout(() => {
            dispatch.timer = undefined;
            advance(dispatch);
            if (dispatch.pending.size > 0) {
                schedule(dispatch);
            }
        }, checkIntervalMs);
    }

    function record(dispatch: ServiceDispatch, call: PlaceCall, decision: DispatchDecision, waited: number): void {
        dispatch.decisions += 1;
        dispatch.waitedMs += waited;
        metrics.recordDispatch({ service: dispatch.service, turn: turnOf(call), decision: labelOf(decision, waited) });
        if (decision.kind === "refused") {
            dispatch.refusedByTeam.set(call.team, (dispatch.refusedByTeam.get(call.team) ?? 0) + 1);
        }
    }

    function open(): DispatcherSession {
        /** Services by the key of a placement. */
        const keys = new Map<number, string>();

        async function placeForSession(call: PlaceCall): Promise<PlaceAnswer> {
            keys.set(call.key, call.service);
            const answer = await place(call);
            if (answer.kind !== "placed") {
                keys.delete(call.key);
            }
            return answer;
        }

        function end(): void {
            const orphaned = [...keys];
            orphaned.filter(([key, service]) => services.get(service)?.pending.has(key) === true)
                .forEach(([key, service]) => notify({ kind: "withdraw", key, service }));
            if (keys.size > 0) {
                setTimeout(() => orphaned.forEach(([key, service]) => notify({ kind: "withdraw", key, service })),
                    orphanedMs).unref();
            }
        }

        return {
            place: placeForSession,
            notify(notice) {
                keys.delete(notice.key);
                notify(notice);
            },
            [Symbol.dispose]: end,
        };
    }

    function logSummary(): void {
        for (const dispatch of services.values()) {
            if (dispatch.decisions > 0) {
                const refused = [...dispatch.refusedByTeam].sort(([, left], [, right]) => right - left);
                const { placed, ...state } = dispatch.queue.summary(now());
                log.info("dispatch.summary", { service: dispatch.service, ...state, decisions: dispatch.decisions,
                    meanWaitMs: Math.round(dispatch.waitedMs / dispatch.decisions),
                    refused: refused.reduce((sum, [, count]) => sum + count, 0),
                    refusedTeams: Object.fromEntries(refused.slice(0, namedTeams)), placed });
                dispatch.decisions = 0;
                dispatch.waitedMs = 0;
                dispatch.refusedByTeam = new Map();
            }
        }
    }

    return {
        setUpstreams(entries) {
            upstreams = entries;
        },
        open,
        waitingCalls: () =>
            new Map([...services.values()].filter(({ pending }) => pending.size > 0)
                .map(({ service, pending }) => [service, pending.size])),
        logSummary,
        [Symbol.dispose]() {
            services.forEach(({ timer, pending }) => {
                clearTimeout(timer);
                pending.forEach(({ resolve }) => resolve({ kind: "noEngine" }));
            });
        },
    };
}

function turnOf({ precedingTurns }: PlaceCall): DispatchRecord["turn"] {
    return precedingTurns === 0 ? "first" : "later";
}

function labelOf(decision: DispatchDecision, waited: number): DispatchRecord["decision"] {
    switch (decision.kind) {
        case "placed":
            return waited > 0 ? "queued" : "placed";
        case "refused":
            return decision.reason;
        case "noEngine":
            return "noEngine";
    }
}
