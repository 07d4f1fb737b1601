import type { Log } from "./log.ts";

const repeatIntervalMs = 5_000;

/**
 * Reports that a start waits for something, with the reason: at once, when the reason changes, and at intervals. Returns a
 * function to be called at each try.
 */
export function createWaitReport(log: Log, awaited: string): (reason: string) => void {
    let reported: { readonly reason: string; readonly at: number; } | undefined;
    return reason => {
        if (reported?.reason !== reason || performance.now() - reported.at >= repeatIntervalMs) {
            reported = { reason, at: performance.now() };
            log.warn("gateway.waiting", { awaited, reason });
        }
    };
}
