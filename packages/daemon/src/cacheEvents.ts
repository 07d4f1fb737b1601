import type { CacheEvent, Clock } from "@tamarackgauge/core";
import type { EngineControl, NumberedCacheEvent } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { repeat } from "./repeat.ts";

const log = createDebug("tamarackgauge:cache");

/** Polls the prefix cache events of engines for this daemon's programs. */
export interface CacheEventPoller {
    /** Records that a call of a program was dispatched to an engine. */
    recordDispatch(engine: string, program: string): void;
    /** Polls the engines that are due. */
    poll(): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the poller; times in milliseconds. */
export interface CacheEventPollerOptions {
    readonly clock: Clock;
    readonly clientOf: (engine: string) => EngineControl | undefined;
    /** Whether a program is live and owned by this daemon. */
    readonly isLive: (program: string) => boolean;
    readonly onEvent: (engine: string, event: CacheEvent) => void;
    readonly interval?: number;
    readonly bytesPerSecond?: number;
}

const defaultIntervalMs = 2_000;
/** One sixth of the 6 KB/s that a daemon may use for control traffic. */
const defaultBytesPerSecond = 1_024;
/** Estimated size of the headers of a request and its response. */
const headerBytes = 350;
/** Maximum delay until the next poll of an engine, however large its last response was. */
const maxPollDelayMs = 60_000;
/** Number of polls after the last call to an engine; more than one, because events arrive late. */
const pollsAfterDispatch = 3;

interface PolledEngine {
    readonly client: EngineControl;
    /** Sequence number of the last event read. */
    lastSequence: number;
    /** Programs of this daemon that the engine's cache may hold. */
    readonly programs: Set<string>;
    remainingPolls: number;
    nextPollAt: number;
}

/** Creates the poller and starts it. */
export function createCacheEventPoller(options: CacheEventPollerOptions): CacheEventPoller {
    const { clock, clientOf } = options;
    const polledEngines = new Map<string, PolledEngine>();
    let lastPoll: Promise<void> = Promise.resolve();
    const stopRepeating = repeat(options.interval ?? defaultIntervalMs, poll);

    function recordDispatch(engine: string, program: string): void {
        const client = clientOf(engine);
        if (client === undefined) {
            return;
        }
        let polledEngine = polledEngines.get(engine);
        if (polledEngine?.client !== client) {
            // An engine at a new address is a new process, whose sequence numbers start again.
            polledEngine = { client, lastSequence: 0, programs: new Set(), remainingPolls: 0, nextPollAt: -Infinity };
            polledEngines.set(engine, polledEngine);
        }
        polledEngine.programs.add(program);
        polledEngine.remainingPolls = pollsAfterDispatch;
    }

    /** Polls run one after another, because concurrent polls would read the same events. */
    function poll(): Promise<void> {
        lastPoll = lastPoll.then(pollDueEngines);
        return lastPoll;
    }

    async function pollDueEngines(): Promise<void> {
        const now = clock.monotonic();
        removeInactive();
        const active = [...polledEngines].filter(([, entry]) => entry.remainingPolls > 0);
        await Promise.all(active.filter(([, entry]) => now >= entry.nextPollAt).map(async ([engine, entry]) => {
            const bytes = await pollEngine(engine, entry).catch((error: unknown) => {
                log("Could not read the cache events of engine %s: %s.", engine, (error as Error).message);
                return headerBytes;
            });
            const bytesPerSecond = (options.bytesPerSecond ?? defaultBytesPerSecond) / active.length;
            entry.nextPollAt = now + Math.min(maxPollDelayMs, bytes * 1_000 / bytesPerSecond);
        }));
    }

    /** Removes programs that have ended or moved to another owner, and engines that are no longer listed. */
    function removeInactive(): void {
        for (const [engine, { programs }] of polledEngines) {
            [...programs].filter(program => !options.isLive(program)).forEach(program => programs.delete(program));
            if (clientOf(engine) === undefined) {
                polledEngines.delete(engine);
            }
        }
    }

    /** Reads new events of an engine, and its whole cache if events were lost. Returns the bytes transferred. */
    async function pollEngine(engine: string, entry: PolledEngine): Promise<number> {
        entry.remainingPolls -= 1;
        const { events, bytes } = await entry.client.events(entry.lastSequence);
        const last = events.at(-1);
        if (last === undefined) {
            return bytes + headerBytes;
        }
        const isIncomplete = hasSequenceGap(events, entry.lastSequence);
        entry.lastSequence = last.sequence;
        if (isIncomplete) {
            return bytes + 2 * headerBytes + await readCache(engine, entry);
        }
        for (const { kind, program, tokens } of events.filter(({ program: key }) => entry.programs.has(key))) {
            options.onEvent(engine, { kind, program, tokens });
        }
        return bytes + headerBytes;
    }

    async function readCache(engine: string, entry: PolledEngine): Promise<number> {
        const { held, bytes } = await entry.client.cache();
        for (const program of entry.programs) {
            const tokens = held.get(program);
            const kind = tokens === undefined ? "evicted" : "stored";
            options.onEvent(engine, { kind, program, tokens: tokens ?? 0 });
        }
        return bytes;
    }

    return {
        recordDispatch,
        poll,
        [Symbol.asyncDispose]: async () => {
            stopRepeating();
        },
    };
}

function hasSequenceGap(events: readonly NumberedCacheEvent[], after: number): boolean {
    return events.some(({ sequence }, index) => sequence !== (events[index - 1]?.sequence ?? after) + 1);
}
