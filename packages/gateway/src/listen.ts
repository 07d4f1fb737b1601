import type { SocketAddress } from "@tamarackgauge/core/gateway";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** A server could not listen on its address for `maxListenWaitMs`. */
export class ListenError extends Error {
    constructor({ host, port }: SocketAddress, reason: string) {
        super(`cannot listen on ${host}:${port}: ${reason}`);
    }
}

/** Maximum number of connections that wait to be accepted. */
const backlog = 1_024;
/**
 * Maximum time for which listening is tried again. An outgoing connection or the process before may still hold the port,
 * and the address of the VM may not be configured yet.
 */
const maxListenWaitMs = 15_000;
const listenRetryIntervalMs = 100;
const transientCodes: ReadonlySet<string | undefined> = new Set(["EADDRINUSE", "EADDRNOTAVAIL"]);

/** Resolves when the server listens on the address. Rejects with a `ListenError` if that fails for too long. */
export async function listen(server: Server, address: SocketAddress): Promise<void> {
    const startedAt = performance.now();
    for (;;) {
        const error = await listenOnce(server, address);
        if (error === undefined) {
            return;
        }
        if (!transientCodes.has(error.code) || performance.now() - startedAt > maxListenWaitMs) {
            throw new ListenError(address, error.message);
        }
        await sleep(listenRetryIntervalMs);
    }
}

/** Resolves with the error, or with undefined if the server listens. */
function listenOnce(server: Server, { host, port }: SocketAddress): Promise<NodeJS.ErrnoException | undefined> {
    return new Promise(resolve => {
        const finish = (error?: NodeJS.ErrnoException) => {
            server.off("error", finish);
            server.off("listening", finish);
            resolve(error);
        };
        server.once("error", finish);
        server.once("listening", finish);
        server.listen({ host, port, backlog });
    });
}
