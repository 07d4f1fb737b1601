import type { NamedLimit } from "@tamarackgauge/standin";

/** A window in which more requests reached an upstream than its rate limit allows. */
export interface LimitExcess {
    /** Start of the window, in monotonic milliseconds. */
    readonly from: number;
    readonly requests: number;
    readonly allowed: number;
}

/** Length of the windows in which requests are counted. */
const windowMs = 4_000;
/** In a window, this multiple of the limit is allowed, and some more. */
const allowedFactor = 1.5;
const allowedExtra = 5;
/** Time from when an upstream first names a limit until the limit holds. */
const firstLearningMs = 3_000;
/** Time from a change of the limit until the new one holds; it is the largest of both meanwhile. */
const learningMs = 500;

/** A time during which an upstream may get that many requests a second; infinitely many without a limit. */
interface AllowedRate {
    readonly from: number;
    readonly to: number;
    readonly requestsPerSecond: number;
}

/**
 * Finds windows in which more requests reached an upstream than allowed, whether it ran or refused them. A window with
 * several limits is judged by the largest, one with a time without a limit not at all. Of windows that overlap, only the
 * one with the most requests is returned.
 */
export function findLimitExcesses(arrivalTimes: readonly number[],
    namedLimits: readonly NamedLimit[]): readonly LimitExcess[] {
    const rates = allowedRates(namedLimits);
    // Any other window holds the requests of one of these and is judged by at least the same limit.
    const starts = [...arrivalTimes, ...namedLimits.map(({ at }) => at - windowMs)];
    const excesses = starts.map(from => judgeWindow(from, arrivalTimes, rates))
        .filter(({ requests, allowed }) => requests > allowed)
        .sort((left, right) => right.requests - left.requests);
    return withoutOverlaps(excesses);
}

/** Each limit is allowed until the next one holds. Before the first there is none. */
function allowedRates(namedLimits: readonly NamedLimit[]): readonly AllowedRate[] {
    const limits = [{ at: -Infinity, requestsPerSecond: undefined }, ...namedLimits];
    return limits.map(({ at, requestsPerSecond }, index) => ({
        from: at,
        to: (limits[index + 1]?.at ?? Infinity) + (index === 0 ? firstLearningMs : learningMs),
        requestsPerSecond: requestsPerSecond ?? Infinity,
    }));
}

function judgeWindow(from: number, arrivalTimes: readonly number[], rates: readonly AllowedRate[]): LimitExcess {
    const to = from + windowMs;
    const requests = arrivalTimes.filter(at => at >= from && at < to).length;
    const rate = Math.max(
        ...rates.filter(each => each.from < to && each.to > from).map(each => each.requestsPerSecond),
    );
    return { from, requests, allowed: allowedFactor * rate * windowMs / 1_000 + allowedExtra };
}

function withoutOverlaps(excesses: readonly LimitExcess[]): readonly LimitExcess[] {
    const kept: LimitExcess[] = [];
    for (const excess of excesses) {
        if (kept.every(({ from }) => Math.abs(from - excess.from) >= windowMs)) {
            kept.push(excess);
        }
    }
    return kept;
}
