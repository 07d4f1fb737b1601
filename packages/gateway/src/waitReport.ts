import type { Log } from "./log.ts";

const repeatIntervalMs = 5_000;

/** Reports what a start waits for, with the reason. */
export type WaitReport = (awaited: string, reason: string) => void;

/**
 * Creates a report, to be called at each try. It logs at once, when what is awaited or the reason changes, and at
 * intervals.
 */
export function createWaitReport(log: Log): WaitReport {
    let logged: { readonly awaited: string; readonly reason: string; readonly at: number; } | undefined;
    return (awaited, reason) => {
        const isRepeated = logged?.awaited === awaited && logged.reason === reason;
        if (!isRepeated || performance.now() - logged!.at >= repeatIntervalMs) {
            logged = { awaited, reason, at: performance.now() };
            log.warn("gateway.waiting", { awaited, reason });
        }
    };
}
