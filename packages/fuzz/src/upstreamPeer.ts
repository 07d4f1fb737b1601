import { type ParsedMessage, type RawServer, readCallHead, startRawServer } from "@tamarackgauge/standin";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { extraBytes, planAnswer, type PlannedAnswer } from "./content.ts";
import type { ObservedAttempt } from "./observation.ts";
import { type CallScript, type Extra, type Reaction } from "./script.ts";
import { openSocketReader, type SocketReader, writeInParts } from "./sockets.ts";

/** What an upstream needs of the play. */
export interface UpstreamPeerParts {
    readonly name: string;
    readonly refusedConnections: number;
    /** The call with an id, and the reaction to its next attempt. */
    readonly takeReaction: (id: string) => { readonly call: CallScript; readonly reaction: Reaction; } | undefined;
    readonly onAttempt: (attempt: ObservedAttempt) => void;
    readonly onMalformed: (reason: string) => void;
}

/** An upstream that answers with the bytes of a script. */
export interface UpstreamPeer extends RawServer {
    readonly name: string;
}

/** Starts an upstream. */
export async function startUpstreamPeer(parts: UpstreamPeerParts): Promise<UpstreamPeer> {
    let refusalsLeft = parts.refusedConnections;
    let runs = 0;
    const server = await startRawServer(accept);

    function accept(socket: Socket): void {
        if (refusalsLeft > 0) {
            refusalsLeft -= 1;
            socket.resetAndDestroy();
            return;
        }
        void serveConnection(socket);
    }

    async function serveConnection(socket: Socket): Promise<void> {
        const reader = openSocketReader(socket);
        const writer = createAnswerWriter(socket);
        let isClean = true;
        for (;;) {
            const call = await readCall(reader);
            if (call === undefined) {
                return;
            }
            const { answer, reaction } = call;
            parts.onAttempt({ upstream: parts.name, head: call.head, body: call.body, atMs: performance.now(),
                ran: reaction.kind !== "refusal", answer, isSound: isClean && answer.isSound,
                announcesLeaving: reaction.leaving === "1" && reaction.id === "own" });
            await writer.answer(answer, reaction);
            if (reaction.end === "silence" || (reaction.early && await readWhole(reader) === undefined)) {
                return;
            }
            isClean &&= answer.isSound && reaction.after === undefined && reaction.end === "keep";
        }
    }

    /** Reads the next call, without its body if it is to be answered early. */
    async function readCall(reader: SocketReader) {
        const opening = await reader.peekHead({ side: "request" });
        if (opening.kind !== "message") {
            reportMalformed(opening);
            return undefined;
        }
        const head = readCallHead(opening.message);
        const id = head.ids[0] ?? "";
        const scripted = parts.takeReaction(id);
        if (scripted === undefined) {
            parts.onMalformed(`a call that nobody sent: ${head.method} ${head.path} ${id}`);
            return undefined;
        }
        const { call, reaction } = scripted;
        const body = reaction.early ? undefined : await readWhole(reader);
        if (!reaction.early && body === undefined) {
            return undefined;
        }
        const answer = planAnswer({ id, call, reaction, signature: `s.${parts.name}.${runs += 1}`,
            lastEventId: head.lastEventId });
        return { head, body, answer, reaction };
    }

    /** Reads a whole request and returns its body. */
    async function readWhole(reader: SocketReader): Promise<string | undefined> {
        const parsed = await reader.readMessage({ side: "request" });
        reportMalformed(parsed);
        return parsed.kind === "message" ? parsed.message.body.toString("latin1") : undefined;
    }

    function reportMalformed(parsed: ParsedMessage): void {
        if (parsed.kind === "malformed") {
            parts.onMalformed(parsed.reason);
        }
    }

    return { ...server, name: parts.name, [Symbol.dispose]: () => server[Symbol.dispose]() };
}

/** Writes answers to a connection, and further bytes between them, but never inside one. */
interface AnswerWriter {
    answer(answer: PlannedAnswer, reaction: Reaction): Promise<void>;
}

function createAnswerWriter(socket: Socket): AnswerWriter {
    let previous: PlannedAnswer | undefined;
    let lastWrite = Promise.resolve();

    function afterLastWrite(write: () => Promise<void>): Promise<void> {
        lastWrite = lastWrite.then(write);
        return lastWrite;
    }

    async function answer(next: PlannedAnswer, reaction: Reaction): Promise<void> {
        await sleep(reaction.delayMs);
        await afterLastWrite(async () => {
            if (reaction.before !== undefined) {
                writeExtra(reaction.before, previous?.bytes);
            }
            await writeInParts(socket, next.bytes, reaction.writes, reaction.pauseMs);
            previous = next;
        });
        if (reaction.after !== undefined) {
            // Not awaited, as it may come in place of the answer to the next call.
            void writeLate(reaction.after, next.bytes);
        }
        if (reaction.end === "fin" || (reaction.end === "keep" && reaction.sentPermille < 1_000)) {
            socket.end();
        }
        else if (reaction.end === "reset") {
            socket.resetAndDestroy();
        }
    }

    async function writeLate(extra: Extra, copied: Buffer): Promise<void> {
        await sleep(extra.delayMs);
        await afterLastWrite(async () => {
            // Behind an answer whose end its framing does not show, the bytes would be a part of it.
            if (previous?.isDelimited === true) {
                writeExtra(extra, copied);
            }
        });
    }

    function writeExtra(extra: Extra, copied: Buffer | undefined): void {
        if (socket.writable) {
            socket.write(extraBytes(extra, copied));
        }
    }

    return { answer };
}
