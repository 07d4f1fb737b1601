import { countPrecedingTurns, decideAdmission, isFirstTurn, outageEndsWithin, outageRetryDelay, StoreError,
    turnPriority } from "@tamarackgauge/core/gateway";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { BudgetedTurn, Budgets, ReservationResult, TokenReservation } from "./budgets.ts";
import { type LocalAnswer, writeLocalAnswer, writeUpstreamAnswer } from "./callerAnswer.ts";
import type { ReceivedCall } from "./sendPlan.ts";
import { type SendParts, type SendResult, type Sends, serviceOf, startSends } from "./sends.ts";
import { createStreamRelay, type StreamRelay } from "./streams.ts";
import type { History, NewTurn, Turn, Turns } from "./turns.ts";

/** Parts that all exchanges share. */
export interface ExchangeParts extends SendParts {
    readonly budgets: Budgets;
    readonly turns: Turns;
    /** Milliseconds since the store became unreachable, directly and through peers; 0 while it can be reached. */
    readonly storeOutageAge: () => number;
}

/** Serves one call, from the end of its request body to the end of its answer. */
export interface Exchange {
    /** Name of the call's route. */
    readonly route: string;
    readonly done: Promise<void>;
    /** Cancels the call because its caller has disconnected. */
    abandon(): void;
}

const badGateway = 502;
const serviceUnavailable = 503;
const gatewayTimeout = 504;
const paymentRequired = 402;
const notFound = 404;
/** Retry delay that a refused caller is told. */
const retryDelayMs = 100;

function storeUnavailableAnswer(outageAge: number): LocalAnswer {
    return { status: serviceUnavailable, reason: "the store does not answer",
        retryAfter: outageRetryDelay(outageAge, Math.random), closeConnection: true };
}

/** Reservation of a turn that has no token budget. */
const unlimitedReservation: TokenReservation = { settle: () => undefined };

/** Returns the answer that refuses a turn, or undefined if the turn may run. */
function refusalAnswer(reservation: ReservationResult, history: History, outageAge: number): LocalAnswer | undefined {
    if (reservation === "unavailable" || history === "unavailable") {
        return storeUnavailableAnswer(outageAge);
    }
    if (history === "unknown") {
        return { status: notFound, reason: "there is no such turn" };
    }
    return reservation === "exhausted"
        ? { status: paymentRequired, reason: "the program's token budget is spent" }
        : undefined;
}

/** Starts serving a call. */
export function startExchange(parts: ExchangeParts, call: ReceivedCall, response: ServerResponse): Exchange {
    const { budgets, turns, log, now } = parts;
    const { head, route } = call;
    const program = head.program ?? head.id;
    const budgetedTurn: BudgetedTurn | undefined = head.tokenBudget === undefined
        ? undefined
        : { program, most: head.maxTokens, budget: head.tokenBudget };
    const startedAt = now();
    let sends: Sends | undefined;
    let disconnected = false;
    let timedOut = false;
    const timer = setTimeout(() => {
        timedOut = true;
        sends?.cancel("late");
    }, call.deadlineAt - startedAt);

    async function run(): Promise<void> {
        try {
            await (isTurn() ? serveTurn() : serve(call, undefined));
        }
        finally {
            clearTimeout(timer);
        }
    }

    function isTurn(): boolean {
        return route.streamed && (route.retention !== undefined || head.tokenBudget !== undefined);
    }

    async function serveTurn(): Promise<void> {
        if (cannotFinishDuringOutage()) {
            answerLocally(storeUnavailableAnswer(parts.storeOutageAge()));
            return;
        }
        const retryDelay = isFirstTurn(head) ? checkAdmission() : undefined;
        if (retryDelay !== undefined) {
            answerLocally({ status: serviceUnavailable, reason: "the engines are full", retryAfter: retryDelay });
            return;
        }
        const historyLookup = findHistory();
        // Prevents an unhandled rejection while the reservation is pending; the await below handles the failure.
        historyLookup.catch(() => undefined);
        const reservation = await reserve();
        let usedTokens = 0;
        try {
            const previous = await historyLookup;
            const refusal = refusalAnswer(reservation, previous, parts.storeOutageAge());
            if (refusal !== undefined) {
                answerLocally(refusal);
                return;
            }
            const history = previous as readonly Turn[];
            // If the call fails from here on, the engine may have generated the maximum number of tokens.
            usedTokens = head.maxTokens;
            const events = await serve({ ...call, body: bodyWithHistory(history) }, history);
            usedTokens = events * maxTokensPerEvent();
        }
        finally {
            if (typeof reservation !== "string") {
                reservation.settle(usedTokens);
            }
        }
    }

    /**
     * While the store is unavailable, a program cannot start because no tokens are reserved for it yet. A turn of a running
     * program may run if the store is expected to recover in time to keep the turn; its history and its tokens may be
     * available in this process.
     */
    function cannotFinishDuringOutage(): boolean {
        const outageAge = parts.storeOutageAge();
        return route.retention !== undefined && outageAge > 0 &&
            (head.previousTurn === undefined || !outageEndsWithin(call.deadlineAt - now(), outageAge));
    }

    /**
     * Returns the retry delay in ms if a new program is refused because the engines are overloaded. Only first turns are
     * checked: running programs free capacity when they finish.
     */
    function checkAdmission(): number | undefined {
        const declaration = parts.declaration();
        const service = serviceOf(call, declaration);
        const estimate = parts.upstreams.estimate(service);
        // The smallest target of all routes of the service, so that their programs are refused at the same load.
        const targetLatencies =
            declaration?.routes.filter(each => each.streamed && each.shares.some(share => share.service === service))
                .map(each => each.targetLatency) ?? [];
        return decideAdmission({ occupancy: estimate.occupancy(now()), excessLatency: estimate.excessLatency(now()),
            baselineLatency: estimate.baselineLatency, targetLatency: Math.min(route.targetLatency, ...targetLatencies),
            priority: route.priority }, Math.random);
    }

    async function findHistory(): Promise<History> {
        return route.retention === undefined || head.previousTurn === undefined ? [] : turns.history(head.previousTurn);
    }

    /** The body sent to the engine: all earlier inputs and outputs, followed by the new input. */
    function bodyWithHistory(history: readonly Turn[]): Buffer | undefined {
        return history.length === 0
            ? call.body
            : Buffer.concat([...history.flatMap(({ input, output }) => [input, output]), call.body ?? Buffer.alloc(0)]);
    }

    async function reserve(): Promise<ReservationResult> {
        return budgetedTurn === undefined ? unlimitedReservation : budgets.reserve(budgetedTurn);
    }

    /** The maximum over all services of the route, because any of them may have generated the events. */
    function maxTokensPerEvent(): number {
        const services = parts.declaration()?.services;
        return Math.max(...route.shares.map(({ service }) => services?.get(service)?.model?.tokensPerEvent ?? 1));
    }

    /** Sends the call and forwards the answer; returns the number of events that the caller may have received. */
    async function serve(callToSend: ReceivedCall, history: readonly Turn[] | undefined): Promise<number> {
        if (disconnected) {
            return 0;
        }
        if (timedOut) {
            answerLocally({ status: serviceUnavailable, reason: "no time was left", retryAfter: retryDelayMs });
            return 0;
        }
        const keepsTurn = history !== undefined && route.retention !== undefined;
        const relay = route.streamed
            ? createStreamRelay({ response, holdBackLastEvent: keepsTurn, resumable: route.resumable })
            : undefined;
        const priority = route.streamed
            ? turnPriority(route.priority, countPrecedingTurns(head, history?.length ?? 0))
            : undefined;
        sends = startSends(parts, { call: callToSend, priority, sink: relay,
            preferred: history?.[history.length - 1]?.upstream });
        const result = await sends.result;
        logAnswer(result);
        await finish(result, relay, keepsTurn ? history : undefined);
        return relay?.events().length ?? 0;
    }

    function logAnswer(result: SendResult): void {
        if (result.kind === "answer" || result.kind === "streamed") {
            log.info("call.answered", { call: head.id, program: head.program, route: route.name,
                upstream: result.upstream, ms: Math.round(now() - startedAt) });
        }
    }

    async function finish(result: SendResult, relay: StreamRelay | undefined, history: readonly Turn[] | undefined) {
        switch (result.kind) {
            case "streamed":
                await finishStream(relay!, history, result.upstream);
                return;
            case "answer":
                writeUpstreamAnswer(response, result.answer);
                return;
            case "cancelled":
                if (!disconnected) {
                    answerLocally(result.sent
                        ? { status: gatewayTimeout, reason: "the time limit was reached" }
                        : { status: serviceUnavailable, reason: "the time limit was reached",
                            retryAfter: retryDelayMs });
                }
                return;
            case "failed":
                answerFailure(result);
        }
    }

    async function finishStream(relay: StreamRelay, history: readonly Turn[] | undefined, upstream: string) {
        if (history === undefined) {
            relay.finish();
            return;
        }
        const output = Buffer.concat(relay.events().flatMap(({ data }) => [data, lineFeed]));
        const turn: NewTurn = { id: head.id, input: call.body ?? Buffer.alloc(0), output, upstream };
        try {
            // A caller may continue a turn as soon as its answer is complete, so the turn is stored before the last event
            // is sent.
            const timeLeft = call.deadlineAt - now();
            await withTimeout(timeLeft, turns.save(turn, history, route.retention!, timeLeft));
            relay.finish();
        }
        catch (error) {
            if (!(error instanceof StoreError)) {
                throw error;
            }
            log.warn("turn.notKept", { call: head.id, program, reason: error.message });
            response.destroy();
        }
    }

    function answerFailure({ failure, reason, answer }: SendResult & { kind: "failed"; }): void {
        if (answer !== undefined && !response.headersSent) {
            writeUpstreamAnswer(response, answer);
            return;
        }
        answerLocally(failure === "notRun"
            ? { status: serviceUnavailable, reason, retryAfter: retryDelayMs }
            : { status: badGateway, reason });
    }

    function answerLocally(answer: LocalAnswer): void {
        log.warn("call.refused", { call: head.id, program: head.program, route: route.name, status: answer.status,
            reason: answer.reason, ms: Math.round(now() - startedAt), begun: response.headersSent });
        writeLocalAnswer(response, head.id, answer);
    }

    function abandon(): void {
        disconnected = true;
        sends?.cancel("left");
    }

    return { route: route.name, done: run(), abandon };
}

/** Rejects with a `StoreError` if the store operation takes longer than `timeoutMs`. */
async function withTimeout(timeoutMs: number, operation: Promise<void>): Promise<void> {
    const controller = new AbortController();
    const timeout = sleep(timeoutMs, undefined, { signal: controller.signal }).then(() => {
        throw new StoreError("unknown", "the store did not answer within the time of the call");
    });
    // The promise that settles second is ignored: after a timeout the turn may still be stored.
    timeout.catch(() => undefined);
    operation.catch(() => undefined);
    try {
        await Promise.race([operation, timeout]);
    }
    finally {
        controller.abort();
    }
}

const lineFeed = Buffer.from("\n");
