import type { EngineClient } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:release");

/** Releases the engine caches of ended programs. */
export interface CacheReleaser {
    /** Releases a program's cache; calls `onReleased` once each engine has confirmed it or is no longer listed. */
    release(key: string, engines: readonly string[], onReleased: () => void): void;
    /** Releases the caches that engines hold for programs that are not live. */
    reconcile(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the cache releaser; times in milliseconds. */
export interface CacheReleaserOptions {
    readonly engines: () => readonly string[];
    readonly clientOf: (engine: string) => EngineClient | undefined;
    /** Whether a program is live, which means that it has not ended; undefined if this daemon does not know. */
    readonly isLive: (key: string) => boolean | undefined;
    readonly reconcileInterval?: number;
}

const retryIntervalMs = 1_000;
/** Together with the retries, this releases caches within 30 s of the end of a program. */
const defaultReconcileIntervalMs = 10_000;

/** Creates the cache releaser and starts periodic reconciliation. */
export function createCacheReleaser(options: CacheReleaserOptions): CacheReleaser {
    let stopped = false;
    const timer = setInterval(() => void reconcile(), options.reconcileInterval ?? defaultReconcileIntervalMs);

    function release(key: string, engines: readonly string[], onReleased: () => void): void {
        void Promise.all(engines.map(engine => releaseAt(key, engine))).then(onReleased);
    }

    async function releaseAt(key: string, engine: string): Promise<void> {
        while (!stopped) {
            const client = options.clientOf(engine);
            if (client === undefined) {
                return;
            }
            try {
                await client.release(key);
                return;
            }
            catch (error) {
                log("Engine %s did not release the cache of %s: %s.", engine, key, (error as Error).message);
                await sleep(retryIntervalMs);
            }
        }
    }

    async function reconcile(): Promise<void> {
        await Promise.all(options.engines().map(async engine => {
            const client = options.clientOf(engine);
            const cachedKeys = await client?.cachedKeys().catch(() => []) ?? [];
            for (const key of cachedKeys.filter(cachedKey => options.isLive(cachedKey) === false)) {
                log("Engine %s still holds the cache of %s, which has ended.", engine, key);
                await client?.release(key).catch(() => undefined);
            }
        }));
    }

    return {
        release,
        reconcile,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            clearInterval(timer);
        },
    };
}
