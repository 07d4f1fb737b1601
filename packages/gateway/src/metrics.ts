import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Ways by which a call of the store went. */
export type StoreWay = "direct" | "peer";

/** Kinds of calls of the store. */
export type StoreCallKind = "read" | "change" | "feed";

/** Counters and histograms of one gateway. */
export interface Metrics {
    /** A caller's call has ended; `status` is 0 if it had no answer. */
    recordCall(route: string, status: number, ms: number): void;
    recordStoreCall(kind: StoreCallKind, way: StoreWay, outcome: "answered" | "failed"): void;
    /** A send to an upstream has ended. */
    recordSend(service: string, outcome: string): void;
    /** Previous turns that were found in memory or had to be read. */
    recordTurnLookup(where: "memory" | "store"): void;
    /** Tokens of a turn were reserved here, or at the program's home. */
    recordTokenReservation(where: "own" | "home"): void;
    setActiveCalls(calls: number): void;
    text(): Promise<string>;
    /** All counts as fields of a log line. */
    summary(): Promise<Readonly<Record<string, number>>>;
}

const latencyBucketsMs = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

/** Creates the metrics of a gateway. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const registers = [registry];
    const calls = new Counter({ name: "tamarackgauge_calls_total", help: "Calls of callers that have ended",
        labelNames: ["status"], registers });
    const duration = new Histogram({ name: "tamarackgauge_call_ms",
        help: "Time from a call's arrival to the end of its answer", labelNames: ["route"], buckets: latencyBucketsMs,
        registers });
    const storeCalls = new Counter({ name: "tamarackgauge_store_calls_total", help: "Calls of the store",
        labelNames: ["kind", "way", "outcome"], registers });
    const sends = new Counter({ name: "tamarackgauge_sends_total", help: "Sends to upstreams that have ended",
        labelNames: ["service", "outcome"], registers });
    const turnLookups = new Counter({ name: "tamarackgauge_previous_turns_total",
        help: "Previous turns, by where they were found", labelNames: ["where"], registers });
    const tokenReservations = new Counter({ name: "tamarackgauge_token_reservations_total",
        help: "Reservations of tokens, by the gateway that made them", labelNames: ["where"], registers });
    const activeCalls = new Gauge({ name: "tamarackgauge_active_calls", help: "Calls of callers under way",
        registers });

    return {
        recordCall(route, status, ms) {
            calls.inc({ status: String(status) });
            duration.observe({ route }, ms);
        },
        recordStoreCall: (kind, way, outcome) => storeCalls.inc({ kind, way, outcome }),
        recordSend: (service, outcome) => sends.inc({ service, outcome }),
        recordTurnLookup: where => turnLookups.inc({ where }),
        recordTokenReservation: where => tokenReservations.inc({ where }),
        setActiveCalls: count => activeCalls.set(count),
        text: () => registry.metrics(),
        async summary() {
            const fields: Record<string, number> = {};
            for (const counter of [calls, storeCalls, sends, turnLookups, tokenReservations]) {
                const { name, values } = await counter.get();
                for (const { labels, value } of values) {
                    fields[[name.replace(/^tamarackgauge_|_total$/g, ""), ...Object.values(labels)].join(".")] = value;
                }
            }
            return fields;
        },
    };
}
