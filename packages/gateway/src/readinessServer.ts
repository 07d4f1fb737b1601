import type { SocketAddress } from "@tamarackgauge/core/gateway";
import { readinessPath } from "@tamarackgauge/platform";
import { createServer } from "node:http";
import { limitConnections } from "./limitConnections.ts";
import { listenBeside } from "./listen.ts";
import type { Log } from "./log.ts";

/** Parts of a readiness server. */
export interface ReadinessServerParts {
    readonly address: () => SocketAddress;
    readonly isReady: () => boolean;
    readonly maxConnections: number;
    readonly log: Log;
}

const notFound = 404;

/**
 * Answers whether a gateway takes new connections. Callers that are connected are served without it, so a start does not
 * wait for its port.
 */
export async function openReadinessServer(parts: ReadinessServerParts): Promise<Disposable> {
    const server = createServer((request, response) => {
        const path = (request.url ?? "").split("?")[0];
        response.writeHead(path !== readinessPath ? notFound : parts.isReady() ? 200 : 503, { "content-length": 0 })
            .end();
    });
    limitConnections(server, parts.maxConnections);
    const stopped = new AbortController();
    await listenBeside(server, parts.address, parts.log, stopped.signal);
    return { [Symbol.dispose]() {
        stopped.abort();
        server.close();
    } };
}
