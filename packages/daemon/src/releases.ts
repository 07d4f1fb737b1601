import type { EngineClient } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:release");

/** Releases the engine memory of programs that have ended. */
export interface CacheReleaser {
    /** Releases a program at engines; `done` is called when each has confirmed it or is gone. */
    release(key: string, engines: readonly string[], onReleased: () => void): void;
    /** Compares what the engines hold with the live programs, and releases the rest. */
    reconcile(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the releases; times in milliseconds. */
export interface CacheReleaserOptions {
    readonly engines: () => readonly string[];
    readonly clientOf: (engine: string) => EngineClient | undefined;
    /** Whether a program is live; undefined when this daemon cannot tell. */
    readonly isLive: (key: string) => boolean | undefined;
    readonly reconcileInterval?: number;
}

const retryIntervalMs = 1_000;
/** With the retries of a release this keeps the bound of 30 s after a program's end. */
const defaultReconcileIntervalMs = 10_000;

/** Creates the releases and starts reconciling. */
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
                log("%s did not release %s: %s.", engine, key, (error as Error).message);
                await sleep(retryIntervalMs);
            }
        }
    }

    async function reconcile(): Promise<void> {
        await Promise.all(options.engines().map(async engine => {
            const client = options.clientOf(engine);
            const cachedKeys = await client?.cachedKeys().catch(() => []) ?? [];
            for (const key of cachedKeys.filter(cachedKey => options.isLive(cachedKey) === false)) {
                log("%s holds memory of %s, which has ended.", engine, key);
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
