import type { AnswerEvent, Clock, Refusal } from "@tamarackgauge/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Functions that the gauges read when the metrics are collected. */
export interface GaugeSources {
    readonly programs: () => number;
    readonly waitingCalls: () => number;
    readonly queuedBytes: () => number;
    readonly traffic: () => object;
}

/** Prometheus metrics of a daemon. Times are exported in seconds, as is usual for Prometheus. */
export interface Metrics {
    registerGauges(sources: GaugeSources): void;
    /** Passes the events of a call on; counts the call and measures the time until its first and its last event. */
    observe(events: AsyncIterable<AnswerEvent>, clock: Clock): AsyncGenerator<AnswerEvent>;
    recordRefusal(refusal: Refusal): void;
    /** Records the duration of a confirmed transaction. */
    recordCommit(durationMs: number): void;
    text(): Promise<string>;
}

const latencyBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.9, 5, 10, 30, 60];

/** Creates the metrics of a daemon. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const registers = [registry];
    const firstEventLatency = new Histogram({
        name: "tamarackgauge_first_event_seconds",
        help: "Time from a call to the first event of its answer",
        buckets: latencyBucketsSeconds,
        registers,
    });
    const callDuration = new Histogram({
        name: "tamarackgauge_call_seconds",
        help: "Time from a call to the end of its answer",
        buckets: latencyBucketsSeconds,
        registers,
    });
    const refusals = new Counter({
        name: "tamarackgauge_refusals_total",
        help: "Refused calls by result code",
        labelNames: ["code", "run"],
        registers,
    });
    const commitDuration = new Histogram({
        name: "tamarackgauge_commit_seconds",
        help: "Time of a transaction of the table service",
        buckets: latencyBucketsSeconds,
        registers,
    });

    function gauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers,
            collect() {
                this.set(read());
            },
        });
    }

    function registerGauges(sources: GaugeSources): void {
        gauge("tamarackgauge_programs", "Programs in the memory of their owner", sources.programs);
        gauge("tamarackgauge_waiting_calls", "Model calls that wait for an engine", sources.waitingCalls);
        gauge("tamarackgauge_journal_queued_bytes", "History that waits for the store", sources.queuedBytes);
        for (const kind of Object.keys(sources.traffic())) {
            gauge(`tamarackgauge_link_${kind.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)}`,
                "Traffic of the links between daemons", () =>
                Number(new Map<string, unknown>(Object.entries(sources.traffic())).get(kind)) || 0);
        }
    }

    async function* observe(events: AsyncIterable<AnswerEvent>, clock: Clock): AsyncGenerator<AnswerEvent> {
        const startedAt = clock.monotonic();
        let isFirstEvent = true;
        for await (const event of events) {
            if (isFirstEvent) {
                isFirstEvent = false;
                firstEventLatency.observe((clock.monotonic() - startedAt) / 1000);
            }
            if (event.type !== "text") {
                callDuration.observe((clock.monotonic() - startedAt) / 1000);
            }
            yield event;
        }
    }

    return {
        registerGauges,
        observe,
        recordRefusal: ({ code, run }) => refusals.inc({ code: String(code), run }),
        recordCommit: durationMs => commitDuration.observe(durationMs / 1000),
        text: () => registry.metrics(),
    };
}
