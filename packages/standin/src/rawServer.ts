import { type AddressInfo, createServer, type Socket } from "node:net";

/** A TCP server whose connections a test serves byte by byte. */
export interface RawServer extends Disposable {
    readonly address: string;
    readonly port: number;
    openConnections(): number;
}

/** Starts a TCP server on a loopback port, a free one by default, for peers that send malformed HTTP. */
export async function startRawServer(onConnection: (socket: Socket) => void, chosenPort = 0): Promise<RawServer> {
    const openSockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, socket => {
        openSockets.add(socket);
        // The client may reset the connection at any time.
        socket.on("error", () => undefined);
        socket.on("close", () => openSockets.delete(socket));
        onConnection(socket);
    });
    await new Promise<void>(resolve => server.listen(chosenPort, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${port}`,
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

/**
 * Returns an address on which nothing listens, a different one each time. Gateways of other processes may go on calling an
 * ephemeral port after its server has closed, so these ports suit servers that report unexpected calls.
 */
export function freeAddress(): Promise<{ host: string; port: number; }> {
    const host = "127.0.0.1";
    const port = firstPort + nextPort;
    nextPort = (nextPort + 1) % portCount;
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(freeAddress()));
        server.listen({ host, port }, () => server.close(() => resolve({ host, port })));
    });
}
