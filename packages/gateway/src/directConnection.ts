import type { SocketAddress } from "@tamarackgauge/core/gateway";
import { connect, type Socket } from "node:net";

/** Opens a TCP connection; rejects if it is not open within `timeoutMs`, or when the signal is aborted. */
export type DirectConnector = (address: SocketAddress, timeoutMs: number, signal?: AbortSignal) => Promise<Socket>;

/** Bytes of an answer that are read at once. */
const readBytes = 64 * 1_024;
const keepAliveDelayMs = 1_000;

/** Opens a connection of this process's own. */
export const connectDirectly: DirectConnector = ({ host, port }, timeoutMs, signal) =>
    new Promise((resolve, reject) => {
        const options = { host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveDelayMs,
            highWaterMark: readBytes };
        const socket = connect(options);
        const timer = setTimeout(() => fail(new Error("the connection did not open in time")), timeoutMs);
        const abort = () => fail(new Error("the connection is not needed any more"));
        if (signal?.aborted === true) {
            abort();
        }
        signal?.addEventListener("abort", abort);
        socket.once("connect", succeed);
        socket.on("error", fail);

        function stop(): void {
            clearTimeout(timer);
            signal?.removeEventListener("abort", abort);
            socket.off("connect", succeed);
        }

        function succeed(): void {
            stop();
            socket.off("error", fail);
            resolve(socket);
        }

        function fail(error: Error): void {
            stop();
            // Later errors of the same connection are of no interest.
            socket.destroy();
            reject(error);
        }
    });
