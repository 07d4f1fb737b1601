import type { Random } from "../clock.ts";
import type { PromptPart, UpstreamEntry } from "./call.ts";
import { type AgedLoad, EngineAccount, type EngineOutcome, type FailureReporter } from "./engineAccount.ts";
import { incarnationOf } from "./incarnation.ts";
import { chooseEngine, type ChosenEngine, hasCandidate, PartRates, type PlacementBasis,
    type PlacementDemand } from "./placement.ts";
import { ReturnSchedule } from "./returnSchedule.ts";
import { ServiceEstimate } from "./serviceEstimate.ts";
import { LowQuantile, Rate, RecentMean } from "./statistics.ts";
import { TeamUse } from "./teamUse.ts";

/** A call that a gateway asks to place. Times are in milliseconds. */
export interface DispatchCall extends PlacementDemand {
    /** Identifies the placement. */
    readonly key: number;
    /** Priority of the route or team; 0 is the most urgent. */
    readonly priority: number;
    /** Turns of the program that came before. */
    readonly precedingTurns: number;
    /** Whether an engine was sent the call before, so that it is admitted and refusing it would break its answer. */
    readonly wasSent?: boolean | undefined;
    /** Empty if the call has no team. */
    readonly team: string;
    /** Identifies the program, to recognize a caller that returns. */
    readonly program: number | undefined;
    /** How long the call may wait for a place. */
    readonly maxWait: number;
    readonly timeLeft: number;
}

/** Why a call was not placed. `full`: the queue is full. `wait`: it would wait too long. `expired`: it has waited too long. */
export type DispatchRefusalReason = "full" | "wait" | "expired";

/** What becomes of a call. */
export type DispatchDecision =
    | { readonly kind: "placed"; readonly upstream: string; /** See `incarnationOf`. */ readonly incarnation: string; }
    | { readonly kind: "refused"; readonly reason: DispatchRefusalReason; /** When a retry is worthwhile, in ms. */
        readonly retryAfter: number; readonly expectedWait: number; /** Number of calls that would have gone first. */
        readonly ahead: number; }
    /** No engine is known that the call could be sent to. */
    | { readonly kind: "noEngine"; };

/** The end of a placement, as its gateway reports it. Times are in milliseconds. */
export interface DispatchRelease {
    readonly key: number;
    readonly upstream: string;
    /** The engine's incarnation that the call was placed at. */
    readonly incarnation: string | undefined;
    readonly outcome: EngineOutcome;
    readonly reporter?: FailureReporter;
    readonly load: AgedLoad | undefined;
    /** Measurements of a complete answer. */
    readonly timing:
        | { readonly timeToFirstByte: number; readonly latency: number; readonly events: number; }
        | undefined;
}

/** A decision about a call that has waited. */
export interface QueuedDecision {
    readonly key: number;
    readonly decision: DispatchDecision;
    /** How long the call has waited, in ms. */
    readonly waited: number;
}

/** State of a queue, for operators. */
export interface DispatchSummary {
    readonly engines: number;
    readonly running: number;
    readonly waiting: number;
    /** Largest number of tokens in progress at an engine, as a share of what is allowed. */
    readonly memory: number;
    /** Number of calls that each engine got since the last summary. */
    readonly placed: Readonly<Record<string, number>>;
    readonly suspended: number;
    /** Share of the slots that first turns may use. */
    readonly firstTurnShare: number;
}

/** Settings of a queue. */
export interface DispatchQueueOptions {
    /** Tokens in the memory of an engine. */
    readonly cacheTokens: number;
    readonly crossDataCentreMs: number;
    readonly random: Random;
    readonly startedAt: number;
}

interface WaitingCall {
    readonly call: DispatchCall;
    readonly isReturning: boolean;
    readonly arrivedAt: number;
    readonly waitsUntil: number;
    readonly endsAt: number;
}

interface Placement {
    readonly engine: EngineAccount;
    readonly team: string;
    readonly uncachedTokens: number;
}

/** Number of calls that may wait. More would wait longer than their callers do. */
const maxWaiting = 512;
/** The share of its slots that an engine gets rises to 1 in this time after the start, as its earlier calls are not known. */
const startMs = 2_000;
const startShare = 0.25;
/**
 * Shares of what first turns may use that remain to first and later turns of teams above their usual share, so that
 * others find free slots.
 */
const excessFirstTurnShare = 0.65;
const excessLaterTurnShare = 0.8;
const drainHalfLifeMs = 500;
const firstTurnHalfLifeMs = 1_000;
const usualHalfLifeMs = 60_000;
/** Lower bound of the share of first turns among the calls that are placed. */
const minFirstTurnRateShare = 0.12;
/** Share of the spare rate at which refused callers are told to return, and its lower bound. */
const returnRateShare = 0.7;
const minReturnRateShare = 0.25;
/** Bounds of the retry delay of a later turn: its program should not lose more time than necessary. */
const minTurnDelayMs = 100;
const maxTurnDelayMs = 1_000;
/**
 * Time between two events, relative to that without load, above and below which fewer and more first turns are admitted.
 * Programs are of value if they end within 1.4 to 1.7 times their time without load.
 */
const highStretch = 1.5;
const lowStretch = 1.35;
const minFirstTurnShare = 0.6;
const firstTurnShareFall = 0.99;
const firstTurnShareRise = 0.005;
/** Minimum number of events from which the time between events is derived. */
const minEvents = 3;
const defaultEventIntervalMs = 10;

/** Places the calls of one service, and lets those wait for which there is no place. Times are monotonic milliseconds. */
export class DispatchQueue {
    private engines: readonly EngineAccount[] = [];
    private readonly enginesById = new Map<string, EngineAccount>();
    private readonly placements = new Map<number, Placement>();
    private waiting: WaitingCall[] = [];
    private readonly estimate = new ServiceEstimate();
    private readonly baselineInterval = new LowQuantile(defaultEventIntervalMs);
    private readonly recentInterval = new RecentMean();
    private readonly partRates = new PartRates();
    private readonly teams: TeamUse;
    private readonly returns: ReturnSchedule;
    private readonly drainRate = new Rate(drainHalfLifeMs);
    private readonly firstTurnRate = new Rate(firstTurnHalfLifeMs);
    private readonly usualFirstTurnRate = new Rate(usualHalfLifeMs);
    private firstTurnShare = 1;
    private readonly placedAtSummary = new Map<string, number>();

    constructor(private readonly options: DispatchQueueOptions) {
        this.teams = new TeamUse(options.startedAt);
        this.returns = new ReturnSchedule(options.random);
    }

    /** Sets the engines of the service. */
    setEngines(entries: readonly UpstreamEntry[], now: number): void {
        const listed = new Set(entries.map(({ id }) => id));
        [...this.enginesById.values()].filter(({ entry }) => !listed.has(entry.id)).forEach(each =>
            this.removeEngine(each, now)
        );
        for (const entry of entries) {
            const known = this.enginesById.get(entry.id);
            if (known?.isSameProcess(entry) === true) {
                known.entry = entry;
                continue;
            }
            if (known !== undefined) {
                this.removeEngine(known, now);
            }
            this.enginesById.set(entry.id, new EngineAccount(entry, this.options.cacheTokens, now));
        }
        this.engines = [...this.enginesById.values()];
    }

    /** Places a call, refuses it, or lets it wait: then the decision is undefined, and `advance` returns it later. */
    place(request: DispatchCall, now: number): DispatchDecision | undefined {
        const call = { ...request, parts: distinctParts(request.parts) };
        this.removeExpired(now);
        if (!hasCandidate(this.engines, call, now)) {
            return { kind: "noEngine" };
        }
        const waitingCall: WaitingCall = { call, isReturning: this.returns.isReturning(call.program, now),
            arrivedAt: now, waitsUntil: now + Math.min(call.maxWait, call.timeLeft), endsAt: now + call.timeLeft };
        if (isFirstTurn(call) && !waitingCall.isReturning) {
            this.usualFirstTurnRate.record(now);
        }
        const ahead = this.waiting.filter(each => isUnrestricted(each.call) && this.compare(each, waitingCall) <= 0);
        const engine = ahead.length === 0 ? this.tryToPlace(waitingCall, now) : undefined;
        if (engine !== undefined) {
            return placedAt(engine);
        }
        const expectedWait = this.expectedWait(waitingCall, ahead, now);
        if (call.wasSent !== true &&
            (this.waiting.length >= maxWaiting || expectedWait > waitingCall.waitsUntil - now)) {
            const reason = this.waiting.length >= maxWaiting ? "full" : "wait";
            return this.refusal(waitingCall, reason, expectedWait, ahead.length, now);
        }
        this.waiting.push(waitingCall);
        return undefined;
    }

    /**
     * Records the end of a placement; returns whether its engine is suspended from now on. A report about another incarnation
     * tells nothing of the engine, and the outcome of a placement that is not known may be out of date.
     */
    release({ key, upstream, incarnation, outcome, reporter, load, timing }: DispatchRelease, now: number): boolean {
        const placement = this.endPlacement(key, now);
        const engine = this.enginesById.get(upstream);
        if (engine === undefined || incarnation !== incarnationOf(engine.entry) ||
            (placement !== undefined && placement.engine !== engine)) {
            return false;
        }
        const wasSuspended = engine.isSuspended(now);
        if (placement !== undefined) {
            engine.recordOutcome(outcome, now, reporter);
        }
        if (load !== undefined) {
            engine.recordLoad(load, now);
        }
        if (timing !== undefined) {
            this.recordTiming(engine, timing, placement?.uncachedTokens, load, now);
        }
        return !wasSuspended && engine.isSuspended(now);
    }

    /** Ends the wait or the placement of a call that its gateway no longer sends. */
    withdraw(key: number, now: number): void {
        this.waiting = this.waiting.filter(({ call }) => call.key !== key);
        this.endPlacement(key, now);
    }

    /** Places the waiting calls for which there is a place now, and refuses those that have waited too long. */
    advance(now: number): readonly QueuedDecision[] {
        this.removeExpired(now);
        const decisions: QueuedDecision[] = [];
        for (const next of this.waiting.length === 0 ? [] : this.placeable(now)) {
            const engine = this.tryToPlace(next, now);
            if (engine !== undefined) {
                decisions.push(decided(next, placedAt(engine), now));
                this.waiting = this.waiting.filter(each => each !== next);
            }
        }
        for (const expired of this.waiting.filter(({ waitsUntil }) => now >= waitsUntil)) {
            decisions.push(
                decided(expired, this.refusal(expired, "expired", expired.call.maxWait, 0, now), now),
            );
        }
        this.waiting = this.waiting.filter(({ waitsUntil }) => now < waitsUntil);
        return decisions;
    }

    /**
     * The waiting calls in the order in which they get places. A call is left out if a call before it has found no free slot
     * that it could use as well, or if a more urgent one waits for a slot.
     */
    private *placeable(now: number): Iterable<WaitingCall> {
        const left = new Set(this.waiting);
        let blockedLevel = Infinity;
        let blockedPriority = Infinity;
        while (left.size > 0) {
            let next: WaitingCall | undefined;
            for (const each of left) {
                if (this.level(each.call) >= blockedLevel || each.call.priority > blockedPriority) {
                    left.delete(each);
                }
                else if (next === undefined || this.compare(each, next) < 0) {
                    next = each;
                }
            }
            if (next === undefined) {
                return;
            }
            left.delete(next);
            yield next;
            // A call that lacks memory must not keep smaller ones from running.
            if (!this.placements.has(next.call.key) && isUnrestricted(next.call) && !this.hasFreeSlot(next.call, now)) {
                blockedLevel = Math.min(blockedLevel, this.level(next.call));
                blockedPriority = Math.min(blockedPriority, next.call.priority);
            }
        }
    }

    /** Calls of a higher level may use fewer slots. */
    private level(call: DispatchCall): number {
        return (this.isInExcess(call) ? 2 : 0) + Number(isFirstTurn(call));
    }

    private hasFreeSlot(call: DispatchCall, now: number): boolean {
        const slotShare = this.slotShare(call);
        return this.engines.some(engine =>
            !engine.isLeaving() && !engine.isPaused(now) && !engine.isSuspended(now) &&
            engine.estimatedCalls(now) < this.maxCalls(engine, slotShare, now)
        );
    }

    /** Number of calls that wait. */
    get waitingCalls(): number {
        return this.waiting.length;
    }

    /** Summarizes the state since the last summary. */
    summary(now: number): DispatchSummary {
        const placed = Object.fromEntries(
            this.engines.map((
                { entry, placedCalls },
            ) => [entry.id, placedCalls - (this.placedAtSummary.get(entry.id) ?? 0)]),
        );
        this.engines.forEach(({ entry, placedCalls }) => this.placedAtSummary.set(entry.id, placedCalls));
        const memory = Math.max(0, ...this.engines.map(({ tokens, maxTokens }) => tokens / maxTokens));
        return { engines: this.engines.length, running: this.placements.size, waiting: this.waiting.length,
            memory: Math.round(memory * 100) / 100, placed,
            suspended: this.engines.filter(engine => engine.isSuspended(now)).length,
            firstTurnShare: Math.round(this.firstTurnShare * 100) / 100 };
    }

    private tryToPlace({ call, isReturning }: WaitingCall, now: number): EngineAccount | undefined {
        const chosen = this.choose(call, now);
        if (chosen === undefined || this.wouldBeginTooLate(chosen, call, now)) {
            return undefined;
        }
        const { engine, uncachedTokens, prefillMs } = chosen;
        engine.add({ key: call.key, parts: call.parts, promptTokens: call.promptTokens, maxTokens: call.maxTokens,
            uncachedTokens, prefillMs, expiresAt: now + call.timeLeft }, now);
        this.placements.set(call.key, { engine, team: call.team, uncachedTokens });
        this.teams.add(call.team, 1, now);
        if (isFirstTurn(call)) {
            this.firstTurnRate.record(now);
        }
        if (isReturning) {
            this.returns.forget(call.program);
        }
        if (call.parts.length > 0) {
            this.partRates.record(call.parts[0]!.id, call.dataCentre, now);
        }
        return engine;
    }

    private choose(call: DispatchCall, now: number): ChosenEngine | undefined {
        const slotShare = this.slotShare(call);
        const basis: PlacementBasis = { prefillTokensPerMs: this.estimate.prefillTokensPerMs,
            baselineLatency: this.estimate.baselineLatency, crossDataCentreMs: this.options.crossDataCentreMs,
            partRates: this.partRates, maxCalls: engine => this.maxCalls(engine, slotShare, now) };
        return chooseEngine(this.engines, call, basis, now, this.options.random);
    }

    /** Share of an engine's slots that the call may use; undefined if it may also be one more, read meanwhile. */
    private slotShare(call: DispatchCall): number | undefined {
        const isFirst = isFirstTurn(call);
        if (this.isInExcess(call)) {
            return this.firstTurnShare * (isFirst ? excessFirstTurnShare : excessLaterTurnShare);
        }
        return isFirst ? this.firstTurnShare : undefined;
    }

    private isInExcess({ team, wasSent }: DispatchCall): boolean {
        return wasSent !== true && this.teams.excess(team) > 0;
    }

    private maxCalls(engine: EngineAccount, slotShare: number | undefined, now: number): number {
        const { slots } = engine.entry;
        const limit = Math.max(1, slotShare === undefined ? slots + 1 : Math.floor(slots * slotShare));
        const startedFor = now - this.options.startedAt;
        if (startedFor >= startMs) {
            return limit;
        }
        const ownCalls = Math.ceil(slots * (startShare + (1 - startShare) * startedFor / startMs));
        return Math.min(limit, ownCalls + engine.estimatedCalls(now) - engine.ownCalls);
    }

    /** Whether the prompts before a first turn take longer to read than it may wait. */
    private wouldBeginTooLate({ engine }: ChosenEngine, call: DispatchCall, now: number): boolean {
        return isFirstTurn(call) && engine.prefillBacklog(now) > call.maxWait;
    }

    /** Negative if the left call goes first. Calls that were sent before are admitted. Teams above their usual share wait for themselves. */
    private compare(left: WaitingCall, right: WaitingCall): number {
        return Number(right.call.wasSent === true) - Number(left.call.wasSent === true) ||
            this.teams.excess(left.call.team) - this.teams.excess(right.call.team) ||
            left.call.priority - right.call.priority ||
            right.call.precedingTurns - left.call.precedingTurns ||
            Number(right.isReturning) - Number(left.isReturning) ||
            left.endsAt - right.endsAt;
    }

    private expectedWait({ call }: WaitingCall, ahead: readonly WaitingCall[], now: number): number {
        const drain = this.drain(now);
        const all = (ahead.length + 1) / drain;
        if (!isFirstTurn(call)) {
            return all;
        }
        const firstTurns = ahead.filter(each => isFirstTurn(each.call)).length + 1;
        return Math.max(all, firstTurns / this.firstTurnDrain(now));
    }

    /** Calls that end per millisecond. Before some have ended, all are assumed to take several times their baseline. */
    private drain(now: number): number {
        const slots = this.engines.reduce((sum, { entry }) => sum + entry.slots, 0);
        return Math.max(this.drainRate.value(now), slots / (4 * this.estimate.baselineLatency));
    }

    /** First turns that are placed per millisecond. */
    private firstTurnDrain(now: number): number {
        return Math.max(this.firstTurnRate.value(now), this.drain(now) * minFirstTurnRateShare);
    }

    private refusal({ call }: WaitingCall, reason: DispatchRefusalReason, expectedWait: number, ahead: number,
        now: number): DispatchDecision {
        const retryAfter = isFirstTurn(call)
            ? this.scheduleReturn(call, now)
            : this.returns.remember(call.program, Math.min(maxTurnDelayMs, Math.max(minTurnDelayMs, expectedWait)),
                now);
        return { kind: "refused", reason, retryAfter, expectedWait, ahead };
    }

    /** Refused programs return at the rate that is left beside usual arrivals. */
    private scheduleReturn({ program, team }: DispatchCall, now: number): number {
        const drain = this.firstTurnDrain(now);
        const spare = Math.max(drain * minReturnRateShare,
            (drain - this.usualFirstTurnRate.value(now)) * returnRateShare);
        const isInExcess = this.teams.excess(team) > 0;
        return isInExcess
            ? this.returns.schedule(program, team, spare * Math.max(0.02, this.teams.usualShare(team)), now)
            : this.returns.schedule(program, "", spare, now);
    }

    private recordTiming(engine: EngineAccount, { timeToFirstByte, latency, events }: NonNullable<
        DispatchRelease["timing"]
    >, uncachedTokens: number | undefined, load: AgedLoad | undefined, now: number): void {
        const slowness = load?.slowness ?? 1;
        this.estimate.recordFirstByte({ timeToFirstByte, prefillTokens: uncachedTokens, load }, now);
        this.estimate.recordCompletedCall({ latency, timeToFirstByte, events, slowness }, now);
        if (events < minEvents) {
            return;
        }
        const interval = (latency - timeToFirstByte) / (events - 1);
        const average = this.recentInterval.value(now) ?? interval;
        if (average > 0) {
            engine.recordPace(interval / average, now);
        }
        this.baselineInterval.add(interval);
        this.recentInterval.add(interval, now);
        const stretch = this.recentInterval.value(now)! / Math.max(0.1, this.baselineInterval.value);
        if (stretch > highStretch) {
            this.firstTurnShare = Math.max(minFirstTurnShare, this.firstTurnShare * firstTurnShareFall);
        }
        else if (stretch < lowStretch) {
            this.firstTurnShare = Math.min(1, this.firstTurnShare + firstTurnShareRise);
        }
    }

    private endPlacement(key: number, now: number): Placement | undefined {
        const placement = this.placements.get(key);
        if (placement !== undefined) {
            this.placements.delete(key);
            placement.engine.remove(key, now);
            this.teams.add(placement.team, -1, now);
            this.drainRate.record(now);
        }
        return placement;
    }

    private removeExpired(now: number): void {
        for (const engine of this.engines) {
            for (const key of engine.removeExpired(now)) {
                this.endPlacement(key, now);
            }
        }
    }

    private removeEngine(engine: EngineAccount, now: number): void {
        this.enginesById.delete(engine.entry.id);
        this.placedAtSummary.delete(engine.entry.id);
        [...this.placements].filter(([, placement]) => placement.engine === engine)
            .forEach(([key]) => this.endPlacement(key, now));
    }
}

function isFirstTurn({ precedingTurns, tried, wasSent }: DispatchCall): boolean {
    // A call that was sent before has been admitted.
    return precedingTurns === 0 && tried.length === 0 && wasSent !== true;
}

/** Callers may repeat a part. It is counted once, and the rest of the prompt as read anew. */
function distinctParts(parts: readonly PromptPart[]): readonly PromptPart[] {
    const tokensById = new Map<string, number>();
    parts.forEach(({ id, tokens }) => tokensById.set(id, Math.max(tokens, tokensById.get(id) ?? 0)));
    return tokensById.size === parts.length ? parts : [...tokensById].map(([id, tokens]) => ({ id, tokens }));
}

function isUnrestricted({ excluded, only }: DispatchCall): boolean {
    return excluded.length === 0 && only === undefined;
}

function placedAt({ entry }: EngineAccount): DispatchDecision {
    return { kind: "placed", upstream: entry.id, incarnation: incarnationOf(entry) };
}

function decided({ call, arrivedAt }: WaitingCall, decision: DispatchDecision, now: number): QueuedDecision {
    return { key: call.key, decision, waited: now - arrivedAt };
}
