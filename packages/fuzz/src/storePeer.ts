import { startRawServer } from "@tamarackgauge/standin";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { portion } from "./content.ts";
import type { StoreReaction } from "./script.ts";
import { openSocketReader } from "./sockets.ts";

/** A store that answers as a script says, in front of a sound one. */
export interface StorePeer extends Disposable {
    readonly port: number;
    /** Applies the reactions to the next answers, in order. */
    react(reactions: readonly StoreReaction[]): void;
}

const sound: StoreReaction = { kind: "pass", delayMs: 0, permille: 1_000 };
const busyAnswer = "HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
const garbage = "\0\x01 no answer \r\n";
const splitPauseMs = 5;

/** Starts a store in front of the one that listens on a port. */
export async function startStorePeer(storePort: number): Promise<StorePeer> {
    let reactions: StoreReaction[] = [];
    const server = await startRawServer(socket => void forward(socket));

    async function forward(socket: Socket): Promise<void> {
        const store = connect(storePort, "127.0.0.1");
        store.on("error", () => socket.destroy());
        socket.on("close", () => store.destroy());
        const [calls, answers] = [openSocketReader(socket), openSocketReader(store)];
        for (;;) {
            const call = await calls.readMessage({ side: "request" });
            if (call.kind !== "message") {
                store.destroy();
                return;
            }
            const reaction = reactions.shift() ?? sound;
            const { startLine, headers, body } = call.message;
            const request = Buffer.concat([
                Buffer.from(`${startLine}\r\n${headers.map(([name, value]) => `${name}: ${value}\r\n`).join("")}\r\n`,
                    "latin1"),
                body,
            ]);
            if (!await answerCall(socket, reaction, () => exchange(store, answers, request))) {
                return;
            }
        }
    }

    return {
        port: server.port,
        react: next => void (reactions = [...next]),
        [Symbol.dispose]: () => server[Symbol.dispose](),
    };
}

/** Makes a call of the sound store and returns the bytes of its answer. */
async function exchange(store: Socket, answers: ReturnType<typeof openSocketReader>, request: Buffer): Promise<Buffer> {
    store.write(request);
    const parsed = await answers.readMessage({ side: "response" });
    if (parsed.kind !== "message") {
        return Buffer.alloc(0);
    }
    const { startLine, body } = parsed.message;
    return Buffer.concat([
        Buffer.from(`${startLine}\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n`),
        body,
    ]);
}

/** Answers a call; returns whether the connection serves further ones. */
async function answerCall(socket: Socket, { kind, delayMs, permille }: StoreReaction,
    serve: () => Promise<Buffer>): Promise<boolean> {
    await sleep(delayMs);
    switch (kind) {
        case "busy":
            socket.write(busyAnswer);
            return true;
        case "reset":
            socket.resetAndDestroy();
            return false;
        case "silence":
            return false;
        case "lostReply":
            await serve();
            return false;
        case "garbage":
            socket.end(Buffer.concat([Buffer.from(garbage), await serve()]));
            return false;
        case "cut": {
            const answer = await serve();
            socket.end(answer.subarray(0, portion(answer.length, permille)));
            return false;
        }
        case "split": {
            const answer = await serve();
            const place = portion(answer.length, permille);
            socket.write(answer.subarray(0, place));
            await sleep(splitPauseMs);
            socket.write(answer.subarray(place));
            return true;
        }
        case "pass":
            socket.write(await serve());
            return true;
    }
}
