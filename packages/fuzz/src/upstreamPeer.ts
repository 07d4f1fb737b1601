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
        let previous: Buffer | undefined;
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
            await answerCall(socket, answer, reaction, previous);
            if (reaction.end === "silence" || (reaction.early && await readWhole(reader) === undefined)) {
                return;
            }
            previous = answer.bytes;
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

async function answerCall(socket: Socket, { bytes, isDelimited }: PlannedAnswer, reaction: Reaction,
    previous: Buffer | undefined): Promise<void> {
    await sleep(reaction.delayMs);
    if (reaction.before !== undefined) {
        await writeExtra(socket, reaction.before, previous);
    }
    await writeInParts(socket, bytes, reaction.writes, reaction.pauseMs);
    if (reaction.after !== undefined && isDelimited) {
        // Not awaited, as it may come in place of the answer to the next call.
        void writeExtra(socket, reaction.after, bytes);
    }
    if (reaction.end === "fin" || (reaction.end === "keep" && reaction.sentPermille < 1_000)) {
        socket.end();
    }
    else if (reaction.end === "reset") {
        socket.resetAndDestroy();
    }
}

async function writeExtra(socket: Socket, extra: Extra, previous: Buffer | undefined): Promise<void> {
    await sleep(extra.delayMs);
    if (socket.writable) {
        socket.write(extraBytes(extra, previous));
    }
}
