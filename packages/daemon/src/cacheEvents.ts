import type { CacheEvent, Clock } from "@tamarackgauge/core";
import type { EngineControl, NumberedCacheEvent } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { repeat } from "./repeat.ts";

const log = createDebug("tamarackgauge:cache");

/** Follows what engines hold of this daemon's programs. */
export interface CacheEvents {
    /** A call of a program starts on an engine. */
    used(engine: string, program: string): void;
    /** Asks the engines that are due. */
    poll(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options; times in milliseconds. */
export interface CacheEventsOptions {
    readonly clock: Clock;
    readonly clientOf: (engine: string) => EngineControl | undefined;
    /** Whether a program is live and this daemon's. */
    readonly isLive: (program: string) => boolean;
    readonly onEvent: (engine: string, event: CacheEvent) => void;
    readonly interval?: number;
    readonly bytesPerSecond?: number;
}

const defaultInterval = 2_000;
/** A sixth of the 6 KB/s that a daemon may spend on control. */
const defaultBytesPerSecond = 1_024;
/** Heads of a request and its answer. */
const headBytes = 350;
/** However much an engine answered once, it is asked again after this time. */
const longestPause = 60_000;
/** Events come late, so an engine is asked this often after its last call. */
const pollsAfterUse = 3;

interface Followed {
    readonly client: EngineControl;
    /** Number of the last event read. */
    after: number;
    /** Own programs that may be held there. */
    readonly programs: Set<string>;
    pollsLeft: number;
    dueAt: number;
}

/** Creates the follower and starts polling. */
export function createCacheEvents(options: CacheEventsOptions): CacheEvents {
    const { clock, clientOf } = options;
    const followed = new Map<string, Followed>();
    let work: Promise<void> = Promise.resolve();
    const stop = repeat(options.interval ?? defaultInterval, poll);

    function used(engine: string, program: string): void {
        const client = clientOf(engine);
        if (client === undefined) {
            return;
        }
        let entry = followed.get(engine);
        if (entry?.client !== client) {
            // An engine at another address is another process, whose numbers start again.
            entry = { client, after: 0, programs: new Set(), pollsLeft: 0, dueAt: -Infinity };
            followed.set(engine, entry);
        }
        entry.programs.add(program);
        entry.pollsLeft = pollsAfterUse;
    }

    /** One poll at a time: two would read the same events. */
    function poll(): Promise<void> {
        work = work.then(pollOnce);
        return work;
    }

    async function pollOnce(): Promise<void> {
        const now = clock.monotonic();
        forget();
        const active = [...followed].filter(([, entry]) => entry.pollsLeft > 0);
        await Promise.all(active.filter(([, entry]) => now >= entry.dueAt).map(async ([engine, entry]) => {
            const bytes = await follow(engine, entry).catch((error: unknown) => {
                log("%s gave no cache events: %s.", engine, (error as Error).message);
                return headBytes;
            });
            const share = (options.bytesPerSecond ?? defaultBytesPerSecond) / active.length;
            entry.dueAt = now + Math.min(longestPause, bytes * 1_000 / share);
        }));
    }

    /** Drops programs that have ended or moved, and engines without any. */
    function forget(): void {
        for (const [engine, { programs }] of followed) {
            [...programs].filter(program => !options.isLive(program)).forEach(program => programs.delete(program));
            if (clientOf(engine) === undefined) {
                followed.delete(engine);
            }
        }
    }

    /** Reads the new events of an engine, and its cache when some were lost. Answers with the bytes it took. */
    async function follow(engine: string, entry: Followed): Promise<number> {
        entry.pollsLeft -= 1;
        const { events, bytes } = await entry.client.events(entry.after);
        const last = events.at(-1);
        if (last === undefined) {
            return bytes + headBytes;
        }
        const hasGap = isGapped(events, entry.after);
        entry.after = last.sequence;
        if (hasGap) {
            return bytes + 2 * headBytes + await readCache(engine, entry);
        }
        for (const { kind, program, tokens } of events.filter(({ program: key }) => entry.programs.has(key))) {
            options.onEvent(engine, { kind, program, tokens });
        }
        return bytes + headBytes;
    }

    async function readCache(engine: string, entry: Followed): Promise<number> {
        const { held, bytes } = await entry.client.cache();
        for (const program of entry.programs) {
            const tokens = held.get(program);
            const kind = tokens === undefined ? "evicted" : "stored";
            options.onEvent(engine, { kind, program, tokens: tokens ?? 0 });
        }
        return bytes;
    }

    return {
        used,
        poll,
        [Symbol.asyncDispose]: async () => {
            stop();
        },
    };
}

function isGapped(events: readonly NumberedCacheEvent[], after: number): boolean {
    return events.some(({ sequence }, index) => sequence !== (events[index - 1]?.sequence ?? after) + 1);
}
