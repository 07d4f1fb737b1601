import type { SocketAddress } from "@tamarackgauge/core/gateway";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Log } from "./log.ts";
import { createWaitReport } from "./waitReport.ts";

/** A server may not listen on its address. */
export class ListenError extends Error {
    constructor({ host, port }: SocketAddress, reason: string) {
        super(`cannot listen on ${host}:${port}: ${reason}`);
    }
}

/** Maximum number of connections that wait to be accepted. */
const backlog = 1_024;
const retryIntervalMs = 100;
/**
 * An outgoing connection or the process before may still hold the port, the address of the VM may not be configured yet,
 * and callers that have come already, or other processes, may have taken all descriptors or memory for sockets.
 */
const transientCodes: ReadonlySet<string | undefined> = new Set(["EADDRINUSE", "EADDRNOTAVAIL", "EMFILE", "ENFILE",
    "ENOBUFS", "ENOMEM"]);

/**
 * Resolves when the server listens on the address, which is asked for at each try. It waits as long as the address is in
 * use or not there, or there are no resources for a socket, or until it is aborted; `onWaiting` is called at each failed
 * try. Rejects with a `ListenError` if it may not listen there.
 */
export async function listen(server: Server, address: () => SocketAddress, log: Log, signal?: AbortSignal,
    onWaiting?: () => void): Promise<void> {
    const report = createWaitReport(log);
    const isAborted = () => signal?.aborted === true;
    while (!isAborted()) {
        const current = address();
        const error = await listenOnce(server, current);
        if (error === undefined) {
            // It may have been aborted meanwhile, and then has been closed before it listened.
            return void (isAborted() && server.close());
        }
        if (!transientCodes.has(error.code)) {
            throw new ListenError(current, error.message);
        }
        report(`${current.host}:${current.port}`, error.message);
        onWaiting?.();
        await sleep(retryIntervalMs);
    }
}

/**
 * Listens as `listen` does, but resolves as soon as it has to wait. Rejects only if the server may not listen there at the
 * first try; a later refusal is logged.
 */
export async function listenBeside(server: Server, address: () => SocketAddress, log: Log,
    signal: AbortSignal): Promise<void> {
    const { promise: waiting, resolve: onWaiting } = withResolvers();
    const listening = listen(server, address, log, signal, onWaiting);
    await Promise.race([listening, waiting]);
    listening.catch((error: Error) => log.warn("listen.failed", { reason: error.message }));
}

function withResolvers(): { readonly promise: Promise<void>; readonly resolve: () => void; } {
    let resolve: () => void;
    const promise = new Promise<void>(resolvePromise => resolve = resolvePromise);
    return { promise, resolve: resolve! };
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
