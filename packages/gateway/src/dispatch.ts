import type { Declaration, EngineOutcome, Random, RefusalCause } from "@tamarackgauge/core/gateway";
import type { AttemptMeasurement } from "./attempt.ts";
import type { DispatcherSession, PlaceCall } from "./dispatcher.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { PeerContacts } from "./peerContacts.ts";
import type { RequestTimeouts } from "./peerLink.ts";
import type { Peer } from "./peerList.ts";
import type { PlaceAnswer } from "./peerMessage.ts";

/** Asks the dispatcher of a service where to send a call. */
export interface Dispatch {
    /** Whether the calls of the service are placed by a dispatcher that could be reached of late. */
    isInForce(service: string): boolean;
    /** Undefined if the gateway is to decide alone. When the signal is aborted, the request is withdrawn. */
    place(call: PlacementRequest, signal: AbortSignal): Promise<Placement | PlacementRefusal | undefined>;
}

/** What the dispatcher is told of a call. */
export type PlacementRequest = Omit<PlaceCall, "kind" | "key">;

/** A place at an upstream. It must be released when the attempt ends. */
export interface Placement {
    readonly kind: "placed";
    readonly upstream: string;
    /** The incarnation of the upstream that the dispatcher knows; undefined if it does not say. */
    readonly incarnation: string | undefined;
    release(outcome: EngineOutcome, measured?: AttemptMeasurement): void;
}

/** Why there is no place. `withdrawn`: the caller has left. */
export type PlacementRefusal =
    | { readonly kind: "refused"; readonly cause: RefusalCause; }
    | { readonly kind: "withdrawn"; };

/** The gateways that may be a service's dispatcher, and the calls to them. */
export interface DispatchAuthorities {
    /** Number of gateways that all others know. */
    establishedCount(): number;
    /** The first gateways for a subject among those with the most processor time; `undefined` stands for this gateway. */
    rankCapable(subject: string, count: number): readonly (Peer | undefined)[];
    /** Asks the gateways in turn; undefined if none answers. */
    ask(ranked: readonly Peer[], call: PlaceCall,
        limits: RequestTimeouts): Promise<{ readonly result: PlaceAnswer; readonly from: Peer; } | undefined>;
}

/** Dependencies of the dispatch. */
export interface DispatchParts {
    readonly authorities: DispatchAuthorities;
    readonly contacts: Pick<PeerContacts, "notify">;
    /** The dispatcher in this process. */
    readonly session: DispatcherSession;
    readonly declaration: () => Declaration | undefined;
    readonly metrics: Pick<Metrics, "recordPlacement">;
    readonly log: Log;
    readonly now: () => number;
    readonly random: Random;
}

/** With fewer gateways, each one sees enough of the engines by itself. */
const minGateways = 24;
/** A dispatcher without a sign of life for this long is done without. */
const silenceTimeoutMs = 150;
/** Time for the answer beside the wait for a place. */
const answerMarginMs = 500;
/** A dispatcher that failed is not asked for this long. */
const awayMs = 1_000;
/** The second dispatcher is asked for the same call only if it was known at once that the first is away. */
const maxLostMs = 20;
/** The second one takes over from the first while that is away. */
const maxDispatchers = 2;
/** The ranking is computed anew after this time, as gateways come and go. */
const rankingMs = 1_000;
const keyRange = 2 ** 48;

interface Ranking {
    readonly dispatchers: readonly (Peer | undefined)[];
    readonly computedAt: number;
}

/** Creates the dispatch of a gateway. */
export function createDispatch(
    { authorities, contacts, session, declaration, metrics, log, now, random }: DispatchParts,
): Dispatch {
    const rankings = new Map<string, Ranking>();
    const awayUntil = new Map<string, number>();

    function isInForce(service: string): boolean {
        return declaration()?.services.get(service)?.model !== undefined &&
            authorities.establishedCount() >= minGateways && !dispatchersOf(service).every(isAway);
    }

    function dispatchersOf(service: string): readonly (Peer | undefined)[] {
        const known = rankings.get(service);
        if (known !== undefined && now() - known.computedAt < rankingMs) {
            return known.dispatchers;
        }
        const dispatchers = authorities.rankCapable(`dispatch ${service}`, maxDispatchers);
        rankings.set(service, { dispatchers, computedAt: now() });
        return dispatchers;
    }

    function isAway(dispatcher: Peer | undefined): boolean {
        return dispatcher !== undefined && now() < (awayUntil.get(dispatcher.name) ?? -Infinity);
    }

    async function place(request: PlacementRequest, signal: AbortSignal) {
        if (!isInForce(request.service)) {
            return undefined;
        }
        const call: PlaceCall = { kind: "place", key: Math.floor(random() * keyRange), ...request };
        const askedAt = now();
        for (const dispatcher of dispatchersOf(request.service)) {
            if (isAway(dispatcher) || now() - askedAt > maxLostMs) {
                continue;
            }
            const answer = await askOne(dispatcher, call, signal);
            if (answer !== undefined) {
                return outcomeOf(answer, call, dispatcher);
            }
        }
        metrics.recordPlacement("alone");
        return undefined;
    }

    /** Undefined if the dispatcher does not answer. A caller that leaves does not wait for the answer. */
    async function askOne(dispatcher: Peer | undefined, call: PlaceCall,
        signal: AbortSignal): Promise<PlaceAnswer | undefined> {
        const withdraw = () => notify(dispatcher, { kind: "withdraw", key: call.key, service: call.service });
        const answer = dispatcher === undefined ? session.place(call) : askPeer(dispatcher, call);
        return new Promise((resolve, reject) => {
            const leave = () => {
                withdraw();
                resolve({ kind: "withdrawn" });
            };
            signal.addEventListener("abort", leave, { once: true });
            answer.then(given => {
                signal.removeEventListener("abort", leave);
                if (signal.aborted && given?.kind === "placed") {
                    // The dispatcher did not know that the caller has left, for example as the link was still being opened.
                    withdraw();
                }
                resolve(signal.aborted ? { kind: "withdrawn" } : given);
            }, reject);
        });
    }

    async function askPeer(dispatcher: Peer, call: PlaceCall): Promise<PlaceAnswer | undefined> {
        const answered = await authorities.ask([dispatcher], call, { timeout: call.maxWait + answerMarginMs,
            silenceTimeout: silenceTimeoutMs });
        if (answered === undefined) {
            awayUntil.set(dispatcher.name, now() + awayMs);
            log.info("dispatch.away", { service: call.service, dispatcher: dispatcher.name });
        }
        return answered?.result;
    }

    function outcomeOf(answer: PlaceAnswer, { key, service }: PlaceCall, dispatcher: Peer | undefined):
        | Placement
        | PlacementRefusal
        | undefined {
        switch (answer.kind) {
            case "placed":
                metrics.recordPlacement("placed");
                return { kind: "placed", upstream: answer.upstream, incarnation: answer.incarnation,
                    release: (outcome, measured) =>
                        notify(dispatcher, { kind: "release", key, service, upstream: answer.upstream, outcome,
                            ...answer.incarnation === undefined ? {} : { incarnation: answer.incarnation },
                            ...measured?.load === undefined ? {} : { load: measured.load },
                            ...measured?.timing === undefined ? {} : { timing: measured.timing } }) };
            case "refused":
                metrics.recordPlacement("refused");
                return { kind: "refused",
                    cause: { kind: "noPlace", refusal: answer.reason, retryAfter: Math.round(answer.retryAfter),
                        expectedWait: Math.round(answer.expectedWait), ahead: answer.ahead } };
            case "withdrawn":
                metrics.recordPlacement("withdrawn");
                return answer;
            case "noEngine":
                metrics.recordPlacement("alone");
                return undefined;
        }
    }

    /** If the link has broken, the dispatcher ends the placement by itself. */
    function notify(dispatcher: Peer | undefined, notice: Parameters<DispatcherSession["notify"]>[0]): void {
        if (dispatcher === undefined) {
            session.notify(notice);
        }
        else {
            contacts.notify(dispatcher, notice);
        }
    }

    return { isInForce, place };
}
