import { createServer, type Server, type Socket } from "node:net";

const sharedHost = "127.0.0.1";

/**
 * A loopback address of this process alone. Processes of other tests may go on calling a port whose server has closed, and a
 * server that gets the same port would take these calls for calls of its own test.
 */
export const ownHost = process.platform === "linux"
    ? `127.${64 + (process.pid >> 16 & 63)}.${process.pid >> 8 & 255}.${process.pid & 255}`
    : sharedHost;

/** A TCP server whose connections a test serves byte by byte. */
export interface RawServer extends Disposable {
    readonly address: string;
    readonly port: number;
    openConnections(): number;
}

/** Starts a TCP server on a loopback port, for peers that send malformed HTTP. */
export async function startRawServer(onConnection: (socket: Socket) => void): Promise<RawServer> {
    const openSockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, socket => {
        openSockets.add(socket);
        // The client may reset the connection at any time.
        socket.on("error", () => undefined);
        socket.on("close", () => openSockets.delete(socket));
        onConnection(socket);
    });
    const port = await listenOnFreePort(server, ownHost);
    return {
        address: `${ownHost}:${port}`,
        port,
        openConnections: () => openSockets.size,
        [Symbol.dispose]() {
            server.close();
            openSockets.forEach(socket => socket.destroy());
        },
    };
}

/** Range below the kernel's ephemeral ports, so that no outgoing connection takes a port before a test listens on it. */
const firstPort = 10_000;
const portCount = 22_000;
let nextPort = Math.floor(Math.random() * portCount);

/** Listens on a loopback port that this process has not used yet, and returns it. */
async function listenOnFreePort(server: Server, host: string): Promise<number> {
    for (;;) {
        const port = firstPort + nextPort;
        nextPort = (nextPort + 1) % portCount;
        if (await isListening(server, host, port)) {
            return port;
        }
    }
}

/** Resolves with whether the server listens; the port may be in use. */
function isListening(server: Server, host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const fail = () => resolve(false);
        server.once("error", fail);
        server.listen(port, host, () => {
            server.off("error", fail);
            resolve(true);
        });
    });
}

/** Returns an address on which nothing listens, a different one each time. */
export async function freeAddress(host = sharedHost): Promise<{ host: string; port: number; }> {
    const server = createServer();
    const port = await listenOnFreePort(server, host);
    await new Promise(resolve => server.close(resolve));
    return { host, port };
}
