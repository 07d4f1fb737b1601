import type { AnswerEvent, Beat, Call, Clock } from "@tamarackgauge/core";
import createDebug from "debug";
import type { WebSocket } from "ws";
import { createCalls } from "./calls.ts";
import type { Identity } from "./handshake.ts";
import { createBeatReader, createBeatWriter, type News } from "./heartbeat.ts";
import { type Answer, createAsks } from "./queries.ts";
import { describe, ProtocolError, type Reason, reasonOf, reasons } from "./reason.ts";
import { createOutbox } from "./sendQueue.ts";
import { createServing, type Serve } from "./serving.ts";
import type { Settings } from "./setting.ts";
import type { Meter } from "./traffic.ts";
import { controlSize, kinds, pack, readFrame, type WireMessage } from "./wire.ts";

const emptyFrame = pack([]);
const log = createDebug("tamarackgauge:peer");

/** An authenticated connection to a peer. */
export interface Link {
    readonly peer: Identity;
    /** This daemon opened the connection. */
    readonly dialed: boolean;
    readonly openedAt: number;
    call(call: Call, signal: AbortSignal): AsyncIterator<AnswerEvent, void>;
    ask(kind: string, body: unknown, timeoutMs: number): Promise<unknown>;
    beat(beat: Beat, news: News, wantsReply: boolean): void;
    lastBeatAt(): number;
    heardAt(): number;
    /** Ends the link if it is silent. `expectsBeats`: the peer sends a heartbeat each `beatMs`. */
    check(now: number, expectsBeats: boolean): void;
    /** Takes time in which this process itself did not run out of the silence. */
    excuse(ms: number): void;
    /** Open calls and asks, and calls served. */
    streams(): number;
    served(): number;
    flush(): void;
    /** Ends the link at once. `polite` tells the peer the reason first; a silent link gets no such frame. */
    end(reason: Reason, polite: boolean, detail?: string): void;
}

/** What a link reports. `ended` comes exactly once. */
export interface LinkEvents {
    readonly serve: Serve;
    readonly answer: Answer;
    readonly leaving: () => boolean;
    readonly beat: (link: Link, beat: Beat, news: News | undefined, wantsReply: boolean) => void;
    readonly finished: () => void;
    readonly ended: (link: Link, reason: Reason) => void;
}

export function createLink(
    options: {
        readonly socket: WebSocket;
        readonly peer: Identity;
        readonly dialed: boolean;
        readonly clock: Clock;
        readonly settings: Settings;
        readonly meter: Meter;
        readonly events: LinkEvents;
    },
): Link {
    const { socket, peer, dialed, clock, settings, meter, events } = options;
    const openedAt = clock.monotonic();
    let heardAt = openedAt;
    let watchedSince: number | undefined;
    let awaitsReply = false;
    let probedAt = Number.NEGATIVE_INFINITY;
    let lastBeatAt = Number.NEGATIVE_INFINITY;
    let ended = false;
    let waiting: (() => void)[] = [];
    const outbox = createOutbox({ clock, tickMs: settings.tickMs, frameSize: settings.frameSize, write });
    const calls = createCalls(peer.name, settings, push);
    const asks = createAsks(peer.name, settings, events.answer, push);
    const serving = createServing({
        peer: peer.name,
        settings,
        serve: events.serve,
        push,
        room,
        leaving: events.leaving,
        finished: events.finished,
    });
    const writeBeat = createBeatWriter(settings.engineLimit);
    const readBeat = createBeatReader();

    function push(message: WireMessage, flushed?: () => void): void {
        outbox.push(message, flushed);
    }

    function write(frame: Buffer, control: number): void {
        if (socket.readyState !== socket.OPEN) {
            return;
        }
        meter.sent(frame.length, control, dialed);
        socket.send(frame, wakeStreams);
    }

    function room(): Promise<void> | undefined {
        if (ended || socket.bufferedAmount < settings.unsentLimit) {
            return undefined;
        }
        return new Promise(resolve => waiting.push(resolve));
    }

    function wakeStreams(): void {
        if (waiting.length > 0 && (ended || socket.bufferedAmount < settings.unsentLimit)) {
            const woken = waiting;
            waiting = [];
            woken.forEach(wake => wake());
        }
    }

    function receive(data: Buffer): void {
        if (ended) {
            return;
        }
        heardAt = clock.monotonic();
        awaitsReply = false;
        try {
            const messages = readFrame(data);
            meter.received(data.length, messages.reduce((sum, message) => sum + controlSize(message), 0), !dialed);
            messages.forEach(route);
        }
        catch (error) {
            if (!(error instanceof ProtocolError)) {
                throw error;
            }
            end(error.reason, true, error.message);
        }
    }

    function route(message: WireMessage): void {
        switch (message[0]) {
            case kinds.text:
            case kinds.done:
            case kinds.refused:
                calls.receive(message);
                return;
            case kinds.call:
            case kinds.cancel:
            case kinds.credit:
                serving.receive(message);
                return;
            case kinds.probe:
                outbox.flush();
                write(emptyFrame, 0);
                return;
            case kinds.beat: {
                const { beat, news } = readBeat(message[2]);
                events.beat(link, beat, news, message[1]);
                return;
            }
            default:
                asks.receive(message);
        }
    }

    function streams(): number {
        return calls.count() + asks.count() + serving.count();
    }

    /**
     * An idle link owes no frame, so that a daemon with many peers need not hear each of them every second. A link
     * with streams or an unanswered heartbeat is watched; a watched link that brings no frame is probed first, since
     * the peer may not know that it is watched. The end that dialled probes first; otherwise both would, at the same time.
     */
    function check(now: number, expectsBeats: boolean): void {
        if (!expectsBeats && !awaitsReply && streams() === 0) {
            watchedSince = undefined;
            return;
        }
        watchedSince ??= now;
        const quiet = now - Math.max(heardAt, watchedSince);
        if (quiet > settings.silenceMs) {
            end("silent", false);
        }
        else if (quiet > (dialed ? 1.5 : 2) * settings.beatMs && now - probedAt >= settings.beatMs) {
            probedAt = now;
            push([kinds.probe]);
        }
    }

    function end(reason: Reason, polite: boolean, detail?: string): void {
        if (ended) {
            return;
        }
        ended = true;
        log("link to %s ended: %s", peer.name, detail ?? describe(reason));
        if (polite && socket.readyState === socket.OPEN) {
            socket.close(reasons[reason].code, reasons[reason].text);
            // The peer may never answer the close frame.
            setTimeout(() => socket.terminate(), settings.handshakeMs).unref();
        }
        else {
            socket.terminate();
        }
        outbox.close();
        calls.fail(reason);
        asks.fail(reason);
        serving.fail(reason);
        wakeStreams();
        events.ended(link, reason);
    }

    const link: Link = {
        peer,
        dialed,
        openedAt,
        call: (call, signal) => calls.open(call, signal),
        ask: (kind, body, timeoutMs) => asks.ask(kind, body, timeoutMs),
        beat(beat, news, wantsReply) {
            lastBeatAt = clock.monotonic();
            awaitsReply ||= wantsReply;
            push([kinds.beat, wantsReply, writeBeat(beat, news)]);
        },
        lastBeatAt: () => lastBeatAt,
        heardAt: () => heardAt,
        check,
        excuse(ms) {
            watchedSince = watchedSince === undefined ? undefined : Math.max(watchedSince, heardAt) + ms;
        },
        streams,
        served: () => serving.count(),
        flush: () => outbox.flush(),
        end,
    };

    socket.on("message", (data, isBinary) => {
        if (isBinary && Buffer.isBuffer(data)) {
            receive(data);
        }
        else {
            end("malformed", true, describe("malformed", "a text frame after the handshake"));
        }
    });
    socket.on("close", code => end(reasonOf(code), false));
    socket.on("error", error => end(reasonOfError(error), true, error.message));
    return link;
}

/** Errors of the WebSocket receiver mean a malformed or too large frame; others that the connection was lost. */
function reasonOfError(error: Error): Reason {
    const code = "code" in error ? String(error.code) : "";
    if (code === "WS_ERR_UNSUPPORTED_MESSAGE_LENGTH") {
        return "too_large";
    }
    return code.startsWith("WS_ERR") ? "malformed" : "lost";
}
