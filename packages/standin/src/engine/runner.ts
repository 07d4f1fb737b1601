import { systemClock } from "@tamarackgauge/core";
import type { LoadReport } from "@tamarackgauge/core";
import type { ServerResponse } from "node:http";
import { contextTokens, createBatch } from "./batch.ts";
import type { Sequence } from "./batch.ts";
import type { PrefixCache } from "./cache.ts";
import type { EngineCounter } from "./counts.ts";
import { createDelayed } from "./delayed.ts";
import { createPace } from "./pace.ts";
import type { Reply } from "./reply.ts";
import type { EngineSettings } from "./settings.ts";

/** Runs calls in real time and sends their answers. */
export interface Runner extends Disposable {
    /** Runs a call; closing `response` cancels it. */
    run(sequence: Sequence, reply: Reply, response: ServerResponse): void;
    load(): LoadReport;
    /** The load as it was one report lag ago. */
    report(): LoadReport;
    slow(factor: number, ms: number): void;
    hang(on: boolean): void;
}

interface Stream {
    readonly sequence: Sequence;
    readonly reply: Reply;
    readonly promptTokens: number;
}

/** A runner with nothing to do. */
export function createRunner(settings: EngineSettings, cache: PrefixCache, counter: EngineCounter): Runner {
    const now = () => systemClock.monotonic();
    const batch = createBatch(settings, cache, sequence => {
        const tokens = contextTokens(sequence);
        const history = sequence.position > 0 ? tokens : sequence.prompt.historyTokens;
        counter.started(tokens, sequence.cachedTokens ?? 0, cache.seen(sequence.key), history);
    });
    const load = (): LoadReport => ({
        running: batch.running(),
        waiting: batch.waiting(),
        cachedTokens: cache.used(),
        cacheCapacity: cache.capacity,
    });
    const reports = createDelayed(load(), settings.reportLagMs / settings.scale);
    const streams = new Map<Sequence, Stream>();
    // Sequences with something to send.
    const touched = new Set<Sequence>();
    const pace = createPace({ start, finish: step, flush }, settings.scale);

    function start(): number | undefined {
        const length = batch.startStep();
        counter.running(batch.running());
        return length;
    }

    function step(): void {
        batch.finishStep().forEach(sequence => touched.add(sequence));
    }

    function flush(): void {
        reports.set(load(), now());
        for (const sequence of touched) {
            counter.generated(sequence.key, sequence.generated - sequence.counted);
            sequence.counted = sequence.generated;
            const stream = streams.get(sequence);
            if (stream !== undefined) {
                send(stream);
            }
        }
        touched.clear();
    }

    function send({ sequence, reply, promptTokens }: Stream): void {
        if (sequence.pending !== "") {
            reply.text(sequence.pending);
            sequence.pending = "";
        }
        if (sequence.finished !== undefined) {
            streams.delete(sequence);
            counter.left(sequence.key, "finished");
            const usage = { promptTokens, cachedTokens: sequence.cachedTokens ?? 0, tokens: sequence.generated };
            reply.end(sequence.finished, usage, reports.get(now()));
        }
    }

    function disconnect(sequence: Sequence): void {
        if (streams.delete(sequence)) {
            batch.cancel(sequence);
            counter.left(sequence.key, "cancelled");
        }
    }

    return {
        run(sequence, reply, response) {
            streams.set(sequence, { sequence, reply, promptTokens: contextTokens(sequence) });
            response.on("close", () => disconnect(sequence));
            reply.open(reports.get(now()));
            batch.add(sequence);
            reports.set(load(), now());
            pace.wake();
        },
        load,
        report: () => reports.get(now()),
        slow: (factor, ms) => pace.slow(factor, ms),
        hang: on => pace.hang(on),
        [Symbol.dispose]: () => pace[Symbol.dispose](),
    };
}
