import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Bounds the connections of a server that answers each request at once: beyond `max`, the one that was opened first is
 * closed, as a new one is more likely to ask something. Returns a function that stops counting a connection.
 */
export function limitConnections(server: Server, max: number): (socket: Socket) => void {
    const connections = new Set<Socket>();
    const forget = (socket: Socket) => void connections.delete(socket);
    server.on("connection", socket => {
        connections.add(socket);
        socket.once("close", () => forget(socket));
        if (connections.size > max) {
            const [oldest] = connections;
            forget(oldest!);
            oldest!.destroy();
        }
    });
    return forget;
}
