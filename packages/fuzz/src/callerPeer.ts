import { ownHost, parseMessage, readAnswerHead, renderCall } from "@tamarackgauge/standin";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { callBody, portion } from "./content.ts";
import type { ConnectionEnd, ObservedConnection, SentCall } from "./observation.ts";
import { callIdOf, type CallScript, type ConnectionScript } from "./script.ts";
import { writeInParts } from "./sockets.ts";

/** A connection that a caller has opened. */
interface OpenConnection {
    readonly socket: Socket;
    readonly calls: SentCall[];
    readonly received: () => Buffer;
    /** Bytes of the answers that have been complete. */
    answeredBytes: number;
    end: ConnectionEnd;
    endedAtMs: number;
    /** Resolves when more bytes have come or the connection has ended. */
    readonly changed: () => Promise<void>;
}

/** A gateway that has not answered this long after a call's deadline never will. */
const maxAnswerDelayMs = 8_000;

/** What a caller has seen. */
export interface PlayedConnection {
    readonly connections: readonly Omit<ObservedConnection, "gateway">[];
    /** The last turn that was answered whole. */
    readonly lastWholeTurn: string | undefined;
}

/** Makes the calls of a connection one after the other, over a new connection whenever the last one has ended. */
export async function playConnection(port: number, index: number, { startMs, budget, calls }: ConnectionScript,
    continuedTurn?: string): Promise<PlayedConnection> {
    const connections: OpenConnection[] = [];
    let lastWholeTurn = continuedTurn;
    await sleep(startMs);
    for (const [number, call] of calls.entries()) {
        const id = callIdOf(index, number);
        const open = connections.at(-1);
        const connection = open !== undefined && open.end === "open" ? open : await openConnection(port);
        if (connection !== open) {
            connections.push(connection);
        }
        const previous = call.route === "turn" && call.continues ? lastWholeTurn : undefined;
        const isWhole = await makeCall(connection, { id, call, program: `program-${index}`, budget, previous });
        lastWholeTurn = isWhole && call.route === "turn" ? id : lastWholeTurn;
    }
    connections.filter(({ end }) => end === "open").forEach(({ socket }) => socket.destroy());
    return { lastWholeTurn,
        connections: connections.map(({ calls: sent, received, end, endedAtMs }) => ({ calls: sent,
            received: received(), end, endedAtMs })
        ) };
}

async function openConnection(port: number): Promise<OpenConnection> {
    const socket = connect({ port, host: ownHost, noDelay: true });
    let chunks: Buffer[] = [];
    let wake = () => undefined as void;
    const connection: OpenConnection = {
        socket,
        calls: [],
        received: () => {
            chunks = [Buffer.concat(chunks)];
            return chunks[0]!;
        },
        answeredBytes: 0,
        end: "open",
        endedAtMs: 0,
        changed: () => new Promise(resolve => wake = resolve),
    };

    function finish(end: ConnectionEnd): void {
        if (connection.end === "open") {
            connection.end = end;
            connection.endedAtMs = performance.now();
        }
        wake();
    }

    socket.on("data", chunk => {
        chunks.push(chunk);
        wake();
    });
    socket.on("end", () => finish("fin"));
    socket.on("error", () => finish("reset"));
    socket.on("close", () => finish("fin"));
    await Promise.race([once(socket, "connect"), once(socket, "close")]);
    return connection;
}

interface CallToMake {
    readonly id: string;
    readonly call: CallScript;
    readonly program: string;
    readonly budget: number;
    readonly previous: string | undefined;
}

/** Makes a call and waits for its answer; returns whether the answer is a complete success. */
async function makeCall(connection: OpenConnection, { id, call, program, budget, previous }: CallToMake) {
    const { socket } = connection;
    const body = callBody(id, call);
    const method = body === "" ? "GET" : "POST";
    const path = `/${call.route}/x`;
    const turn = call.route === "turn" ? { program, budget, maxTokens: maxTokens(call), previous } : undefined;
    const bytes = renderCall({ ...call, id, method, path, turn, body: body === "" ? undefined : Buffer.from(body) });
    const sent = { id, method, path, body, previous, turn, sentAtMs: performance.now(),
        wholeAtMs: undefined as number | undefined, answeredAtMs: undefined as number | undefined };
    connection.calls.push(sent);
    if (call.readAfterMs > 0) {
        socket.pause();
        setTimeout(() => socket.resume(), call.readAfterMs);
    }
    const { leave } = call;
    await writeInParts(socket, bytes.subarray(0, portion(bytes.length, leave?.sentPermille ?? 1_000)), call.writes,
        call.pauseMs);
    sent.wholeAtMs = leave === undefined || leave.sentPermille === 1_000 ? performance.now() : undefined;
    if (leave !== undefined) {
        await sleep(leave.afterMs);
        leaveConnection(connection, leave.how);
        return false;
    }
    const status = await waitForAnswer(connection, call);
    sent.answeredAtMs = status === undefined ? undefined : performance.now();
    return status !== undefined && status >= 200 && status < 300;
}

/** Tokens in each event, as the declaration says. */
export const tokensPerEvent = 10;

/** The most tokens that the answer to a call may have. */
export function maxTokens({ events }: CallScript): number {
    return events * tokensPerEvent;
}

function leaveConnection(connection: OpenConnection, how: "halfClose" | "close" | "reset"): void {
    connection.end = "left";
    connection.endedAtMs = performance.now();
    const { socket } = connection;
    switch (how) {
        case "halfClose":
            socket.end();
            break;
        case "close":
            socket.destroy();
            break;
        case "reset":
            socket.resetAndDestroy();
    }
}

/** Waits for a complete answer and returns its status; undefined if the connection ended before. */
async function waitForAnswer(connection: OpenConnection, { deadlineMs }: CallScript): Promise<number | undefined> {
    const timer = setTimeout(() => {
        connection.end = "silent";
        connection.socket.destroy();
    }, deadlineMs + maxAnswerDelayMs);
    try {
        for (;;) {
            const status = takeAnswer(connection);
            if (status !== undefined || connection.end !== "open") {
                return status;
            }
            await connection.changed();
        }
    }
    finally {
        clearTimeout(timer);
    }
}

/** Takes the next complete answer and returns its status. */
function takeAnswer(connection: OpenConnection): number | undefined {
    for (;;) {
        const parsed = parseMessage(connection.received().subarray(connection.answeredBytes), { side: "response" });
        if (parsed.kind === "malformed") {
            connection.socket.destroy();
        }
        if (parsed.kind !== "message" || !parsed.message.complete) {
            return undefined;
        }
        connection.answeredBytes += parsed.message.consumed;
        const { status } = readAnswerHead(parsed.message);
        if (status >= 200) {
            return status;
        }
    }
}
