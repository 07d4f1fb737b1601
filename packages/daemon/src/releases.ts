import type { EngineClient } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:release");

/** Releases the engine memory of programs that have ended. */
export interface Releases {
    /** Releases a program at engines; `done` is called when each has confirmed it or is gone. */
    release(key: string, engines: readonly string[], done: () => void): void;
    /** Compares what the engines hold with the live programs, and releases the rest. */
    reconcile(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the releases; times in milliseconds. */
export interface ReleaseOptions {
    readonly engines: () => readonly string[];
    readonly clientOf: (engine: string) => EngineClient | undefined;
    /** Whether a program is live; undefined when this daemon cannot tell. */
    readonly isLive: (key: string) => boolean | undefined;
    readonly interval?: number;
}

const retryPause = 1_000;
/** With the retries of a release this keeps the bound of 30 s after a program's end. */
const defaultInterval = 10_000;

/** Creates the releases and starts reconciling. */
export function createReleases(options: ReleaseOptions): Releases {
    let stopped = false;
    const timer = setInterval(() => void reconcile(), options.interval ?? defaultInterval);

    function release(key: string, engines: readonly string[], done: () => void): void {
        void Promise.all(engines.map(engine => releaseAt(key, engine))).then(done);
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
                await sleep(retryPause);
            }
        }
    }

    async function reconcile(): Promise<void> {
        await Promise.all(options.engines().map(async engine => {
            const client = options.clientOf(engine);
            const held = await client?.cachedKeys().catch(() => []) ?? [];
            for (const key of held.filter(each => options.isLive(each) === false)) {
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
