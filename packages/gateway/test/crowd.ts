import { once } from "node:events";
import { readdirSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { type GatewayProcess, residentMegabytes } from "./gatewayProcess.ts";

const samplingIntervalMs = 20;

/** Clients that send what they were told and then keep their connections open. They never read. */
export interface Crowd extends Disposable {
    readonly sockets: readonly Socket[];
}

/** Opens connections that each send some bytes, and waits until all are open or refused. */
export async function openCrowd(port: number, count: number,
    bytes: (index: number) => string | Buffer): Promise<Crowd> {
    const sockets = await Promise.all(Array.from({ length: count }, async (_, index) => {
        const socket = connect(port, "127.0.0.1");
        socket.pause();
        socket.on("error", () => undefined);
        await Promise.race([once(socket, "connect"), once(socket, "close")]).catch(() => undefined);
        socket.write(bytes(index));
        return socket;
    }));
    return { sockets, [Symbol.dispose]: () => sockets.forEach(socket => socket.destroy()) };
}

/** A head of a request; further headers end with a line end each. */
export function crowdHead(method: string, path: string, headers: string): string {
    return `${method} ${path} HTTP/1.1\r\nhost: fleet.test\r\n${headers}\r\n`;
}

/** A chunked body without its end. */
export function unfinishedChunks(bytes: number, chunkBytes: number): string {
    return `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`.repeat(bytes / chunkBytes);
}

/** The most that a process has used until now. */
export interface Usage extends Disposable {
    readonly maxMegabytes: () => number;
    readonly maxDescriptors: () => number;
}

/** Measures the resident memory and the open descriptors of a process until it is disposed of. */
export function sampleUsage(gateway: GatewayProcess): Usage {
    let megabytes = 0;
    let descriptors = 0;
    const sampling = setInterval(() => {
        megabytes = Math.max(megabytes, residentMegabytes(gateway));
        descriptors = Math.max(descriptors, openDescriptors(gateway));
    }, samplingIntervalMs);
    return { maxMegabytes: () => megabytes, maxDescriptors: () => descriptors,
        [Symbol.dispose]: () => clearInterval(sampling) };
}

function openDescriptors({ child }: GatewayProcess): number {
    try {
        return readdirSync(`/proc/${child.pid}/fd`).length;
    }
    catch {
        // The process has ended and been removed.
        return 0;
    }
}
