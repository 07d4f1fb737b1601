import { createServer, type Server, type Socket } from "node:net";

const host = "127.0.0.1";

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
    const port = await listenOnFreePort(server);
    return {
        address: `${host}:${port}`,
        port,
        openConnections: () => openSockets.size,
        [Symbol.dispose]() {
            server.close();
            openSockets.forEach(socket => socket.destroy());
        },
    };
}

/**
 * Range below the kernel's ephemeral ports: no outgoing connection takes a port before a test listens on it, and a gateway of
 * another process that still calls an ephemeral port whose server has closed reaches none of these servers.
 */
const firstPort = 10_000;
const portCount = 22_000;
let nextPort = Math.floor(Math.random() * portCount);

/** Listens on a loopback port that this process has not used yet, and returns it. */
async function listenOnFreePort(server: Server): Promise<number> {
    for (;;) {
        const port = firstPort + nextPort;
        nextPort = (nextPort + 1) % portCount;
        if (await isListening(server, port)) {
            return port;
        }
    }
}

/** Resolves with whether the server listens; the port may be in use. */
function isListening(server: Server, port: number): Promise<boolean> {
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
export async function freeAddress(): Promise<{ host: string; port: number; }> {
    const server = createServer();
    const port = await listenOnFreePort(server);
    await new Promise(resolve => server.close(resolve));
    return { host, port };
}
