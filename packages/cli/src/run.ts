import type { StreamingRoute } from "@tamarackgauge/caller";
import type { Route, Settings } from "@tamarackgauge/core";
import { createDaemon } from "@tamarackgauge/daemon";
import type { RouteContext } from "@tamarackgauge/daemon";
import { createAuthorization, createOperatorRoutes, exitCodes } from "@tamarackgauge/operator";
import type { Terminal } from "@tamarackgauge/operator";
import { handleTimeline } from "@tamarackgauge/timeline";

/** Runs a daemon until SIGTERM or SIGINT and returns its exit code. A second signal ends the wait for streams. */
export async function runDaemon(settings: Settings, terminal: Terminal): Promise<number> {
    const daemon = await createDaemon({ settings, routes: context => createRoutes(settings, context) });
    terminal.out(`${settings.name} listening on ${settings.address}:${daemon.port}, peers on ${daemon.peerPort}`);
    await nextSignal();
    const force = new AbortController();
    void nextSignal().then(() => force.abort());
    const allFinished = await daemon.shutDown(force.signal);
    await daemon[Symbol.asyncDispose]();
    return allFinished ? exitCodes.done : exitCodes.failed;
}

function createRoutes(settings: Settings,
    { configuration, status, timeline }: RouteContext): readonly (Route | StreamingRoute)[] {
    return [
        ...createOperatorRoutes({
            keyHash: settings.operatorKeyHash,
            store: configuration,
            status: async () => {
                const { name, ready, reason, configurationVersion, ...details } = status();
                return { daemon: name, ready, configurationVersion, details,
                    ...reason === undefined ? {} : { reason } };
            },
        }),
        {
            method: "GET",
            path: "/timeline",
            authorize: createAuthorization(settings.operatorKeyHash),
            // Streamed over many iterations of the event loop, since a full record is 4.7 MB.
            respond: (request, response) => handleTimeline(timeline, request, response),
        },
    ];
}

function nextSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
}
