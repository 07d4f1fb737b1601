import { systemClock } from "@tamarackgauge/core";
import type { LoadReport } from "@tamarackgauge/core";
import type { ServerResponse } from "node:http";
import { contextTokens, createBatch } from "./batch.ts";
import type { Sequence } from "./batch.ts";
import type { PrefixCache } from "./cache.ts";
import type { EngineCounter } from "./counts.ts";
import { createDelayed } from "./delayed.ts";
import { createPacer } from "./pace.ts";
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

/** Creates an idle runner. */
export function createRunner(settings: EngineSettings, cache: PrefixCache, counter: EngineCounter): Runner {
    const now = () => systemClock.monotonic();
    const batch = createBatch(settings, cache, sequence => {
        const tokens = contextTokens(sequence);
        const history = sequence.position > 0 ? tokens : sequence.prompt.historyTokens;
        counter.sequenceStarted(tokens, sequence.cachedTokens ?? 0, cache.seenTokens(sequence.key), history);
    });
    const load = (): LoadReport => ({
        running: batch.running(),
        waiting: batch.waiting(),
        cachedTokens: cache.used(),
        cacheCapacity: cache.capacity,
    });
    const loadReports = createDelayed(load(), settings.reportLagMs / settings.scale);
    const streams = new Map<Sequence, Stream>();
    // Sequences that have new text or have finished since the last flush.
    const updatedSequences = new Set<Sequence>();
    const pacer = createPacer({ start, finish: step, flush }, settings.scale);

    function start(): number | undefined {
        const length = batch.startStep();
        counter.sequencesRunning(batch.running());
        return length;
    }

    function step(): void {
        batch.finishStep().forEach(sequence => updatedSequences.add(sequence));
    }

    function flush(): void {
        loadReports.set(load(), now());
        for (const sequence of updatedSequences) {
            counter.tokensGenerated(sequence.key, sequence.generatedTokens - sequence.countedTokens);
            sequence.countedTokens = sequence.generatedTokens;
            const stream = streams.get(sequence);
            if (stream !== undefined) {
                send(stream);
            }
        }
        updatedSequences.clear();
    }

    function send({ sequence, reply, promptTokens }: Stream): void {
        if (sequence.unsentText !== "") {
            reply.text(sequence.unsentText);
            sequence.unsentText = "";
        }
        if (sequence.finishReason !== undefined) {
            streams.delete(sequence);
            counter.requestEnded(sequence.key, "finished");
            const usage = { promptTokens, cachedTokens: sequence.cachedTokens ?? 0, tokens: sequence.generatedTokens };
            reply.end(sequence.finishReason, usage, loadReports.get(now()));
        }
    }

    function disconnect(sequence: Sequence): void {
        if (streams.delete(sequence)) {
            batch.cancel(sequence);
            counter.requestEnded(sequence.key, "cancelled");
        }
    }

    return {
        run(sequence, reply, response) {
            streams.set(sequence, { sequence, reply, promptTokens: contextTokens(sequence) });
            response.on("close", () => disconnect(sequence));
            reply.open(loadReports.get(now()));
            batch.add(sequence);
            loadReports.set(load(), now());
            pacer.wake();
        },
        load,
        report: () => loadReports.get(now()),
        slow: (factor, ms) => pacer.slow(factor, ms),
        hang: on => pacer.hang(on),
        [Symbol.dispose]: () => pacer[Symbol.dispose](),
    };
}
