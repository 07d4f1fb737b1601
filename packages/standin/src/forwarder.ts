import { systemClock } from "@tamarackgauge/core";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { z } from "zod";
import { HttpError, listen, parseBody, sendJson } from "./listener.ts";
import type { Received, Standin } from "./listener.ts";

/** Settings of the forwarder. */
export interface ForwarderOptions {
    /** Port to listen on; 0 picks a free one. */
    readonly port?: number;
    /** Loopback port to forward to. */
    readonly target: number;
    /** Port of the HTTP control; when omitted, there is no HTTP control. */
    readonly controlPort?: number;
    /** Delay in each direction in milliseconds. */
    readonly delayMs?: number;
}

/** Direction of the bytes: `up` to the target, `down` back to the client. */
export type Direction = "up" | "down";

/** Which connections are silent. */
export type Silence = "none" | "existing" | "all";

/** Counts of connections and bytes. */
export interface ForwarderCounts {
    readonly accepted: number;
    readonly refused: number;
    readonly open: number;
    readonly silent: number;
    readonly bytesUp: number;
    readonly bytesDown: number;
}

/** A TCP forwarder between loopback ports whose connections can fail in several ways. */
export interface Forwarder extends Standin {
    readonly controlPort?: number;
    /** Resets all open connections. */
    cut(): void;
    /** Resets new connections as soon as they are accepted. */
    refuse(on: boolean): void;
    /**
     * `existing` silences the connections that are open now: they stay open, but all bytes and closes are dropped, and
     * they never recover. `all` also silences new connections, until another value is set.
     */
    silence(which: Silence): void;
    /** Delays each direction, or only the given one, by `ms` milliseconds. */
    delay(ms: number, direction?: Direction): void;
    counts(): ForwarderCounts;
}

interface Connection {
    readonly client: Socket;
    readonly target?: Socket;
    silent: boolean;
}

/** Starts a forwarder on a loopback port. */
export async function createForwarder(options: ForwarderOptions): Promise<Forwarder> {
    const connections = new Set<Connection>();
    const counted = { accepted: 0, refused: 0, bytesUp: 0, bytesDown: 0 };
    const delaysMs = { up: options.delayMs ?? 0, down: options.delayMs ?? 0 };
    let refusingNew = false;
    let silencingNew = false;
    const counts = (): ForwarderCounts => ({
        ...counted,
        open: connections.size,
        silent: [...connections].filter(connection => connection.silent).length,
    });

    function accept(client: Socket): void {
        if (refusingNew) {
            counted.refused += 1;
            client.resetAndDestroy();
            return;
        }
        counted.accepted += 1;
        client.setNoDelay(true);
        const connection = silencingNew ? { client, silent: true } : { client, target: openTarget(), silent: false };
        connections.add(connection);
        if (connection.target === undefined) {
            discardInput(connection, client);
            return;
        }
        forward(connection, client, connection.target, "up");
        forward(connection, connection.target, client, "down");
    }

    function openTarget(): Socket {
        return connect({ port: options.target, host: "127.0.0.1", noDelay: true, allowHalfOpen: true });
    }

    function discardInput(connection: Connection, client: Socket): void {
        client.resume();
        client.on("error", () => {});
        client.on("close", () => connections.delete(connection));
    }

    function forward(connection: Connection, from: Socket, to: Socket, direction: Direction): void {
        const runDelayed = createDelayLine(() => delaysMs[direction]);
        from.on("data", (bytes: Buffer) => {
            if (connection.silent) {
                return;
            }
            counted[direction === "up" ? "bytesUp" : "bytesDown"] += bytes.length;
            runDelayed(() => write(connection, from, to, bytes));
        });
        from.on("end", () => runDelayed(() => connection.silent || to.end()));
        from.on("error", () => {});
        from.on("close", hadError => {
            if (connection.silent) {
                removeIfClosed(connection);
                return;
            }
            runDelayed(() => {
                if (hadError) {
                    to.destroy();
                }
                removeIfClosed(connection);
            });
        });
    }

    function write(connection: Connection, from: Socket, to: Socket, bytes: Buffer): void {
        if (connection.silent || to.destroyed) {
            return;
        }
        if (!to.write(bytes)) {
            from.pause();
            to.once("drain", () => from.resume());
        }
    }

    function removeIfClosed(connection: Connection): void {
        if (connection.client.destroyed && connection.target?.destroyed !== false) {
            connections.delete(connection);
        }
    }

    function cut(): void {
        for (const connection of connections) {
            connection.client.resetAndDestroy();
            connection.target?.resetAndDestroy();
        }
        connections.clear();
    }

    function silence(which: Silence): void {
        silencingNew = which === "all";
        if (which !== "none") {
            connections.forEach(connection => {
                connection.silent = true;
            });
        }
    }

    function delay(ms: number, direction?: Direction): void {
        delaysMs.up = direction === "down" ? delaysMs.up : ms;
        delaysMs.down = direction === "up" ? delaysMs.down : ms;
    }

    const server = createServer({ allowHalfOpen: true }, accept);
    const port = await listenTcp(server, options.port ?? 0);
    const commands = { cut, refuse: (on: boolean) => {
        refusingNew = on;
    }, silence, delay, counts };
    const control = options.controlPort === undefined
        ? undefined
        : await listen(options.controlPort, received => answerControl(commands, received));
    return {
        address: "127.0.0.1",
        port,
        url: `http://127.0.0.1:${port}`,
        controlPort: control?.port,
        ...commands,
        async [Symbol.asyncDispose]() {
            cut();
            await new Promise(resolve => server.close(resolve));
            await control?.[Symbol.asyncDispose]();
        },
    };
}

type Commands = Pick<Forwarder, "cut" | "refuse" | "silence" | "delay" | "counts">;

const refuseRequest = z.object({ on: z.boolean().default(true) });
const silenceRequest = z.object({ which: z.enum(["none", "existing", "all"]) });
const delayRequest = z.object({ ms: z.number().nonnegative(), direction: z.enum(["up", "down"]).optional() });

function answerControl(commands: Commands, received: Received): void {
    switch (`${received.method} /${received.path.join("/")}`) {
        case "GET /control/counts":
            break;
        case "POST /control/cut":
            commands.cut();
            break;
        case "POST /control/refuse":
            commands.refuse(parseBody(received, refuseRequest).on);
            break;
        case "POST /control/silence":
            commands.silence(parseBody(received, silenceRequest).which);
            break;
        case "POST /control/delay": {
            const { ms, direction } = parseBody(received, delayRequest);
            commands.delay(ms, direction);
            break;
        }
        default:
            throw new HttpError(404, "there is no such control");
    }
    sendJson(received.response, 200, commands.counts());
}

/** Runs actions in order, each once its delay has passed; at once while there is no delay. */
function createDelayLine(delayMs: () => number): (action: () => void) => void {
    const queue: { readonly due: number; readonly action: () => void; }[] = [];
    const now = () => systemClock.monotonic();

    function run(): void {
        while (queue.length > 0 && queue[0]!.due <= now()) {
            queue.shift()!.action();
        }
        if (queue.length > 0) {
            // Timers count whole milliseconds; rounding up keeps the delay from being too short.
            setTimeout(run, Math.ceil(queue[0]!.due - now()));
        }
    }

    return action => {
        const ms = delayMs();
        if (ms === 0 && queue.length === 0) {
            action();
            return;
        }
        queue.push({ due: now() + ms, action });
        if (queue.length === 1) {
            run();
        }
    };
}

async function listenTcp(server: Server, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    return (server.address() as AddressInfo).port;
}
