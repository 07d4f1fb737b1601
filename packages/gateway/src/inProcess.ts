import type { GatewaySettings } from "@tamarackgauge/core/gateway";
import { createStore } from "@tamarackgauge/platform";
import { createGateway, type Gateway, type GatewayParts } from "./gateway.ts";
import { defaultLimits } from "./limits.ts";
import type { Log, LogFields } from "./log.ts";

/** A line that a gateway logged. */
export interface RecordedLogLine {
    readonly event: string;
    readonly fields: LogFields;
}

/** A gateway in the process of a test. */
export interface InProcessGateway extends AsyncDisposable {
    readonly gateway: Gateway;
    readonly settings: GatewaySettings;
    readonly logLines: readonly RecordedLogLine[];
}

/** Settings of a gateway in the process of a test, without its addresses. */
export const inProcessDefaults = { name: "g", dataCentre: "a", knownPeers: [], metricsAddress: undefined,
    maxRowBytes: 65_536, memoryBytes: undefined, maxDescriptors: undefined, quota: undefined, maxKeyAge: undefined,
    processorCores: 1, shutdownGrace: 8_000 };

/** Starts a gateway in this process, which records what it logs. */
export async function startInProcess(settings: GatewaySettings,
    options: Pick<GatewayParts, "peerListTimes" | "connect"> = {}): Promise<InProcessGateway> {
    const logLines: RecordedLogLine[] = [];
    const record = (event: string, fields: LogFields) => void logLines.push({ event, fields });
    const log: Log = { info: record, warn: record };
    const store = createStore(settings.storeAddress);
    const gateway = await createGateway({ settings, limits: defaultLimits, store, log, ...options,
        now: () => performance.now() });
    return {
        gateway,
        settings,
        logLines,
        async [Symbol.asyncDispose]() {
            await gateway[Symbol.asyncDispose]();
            await store[Symbol.asyncDispose]();
        },
    };
}
