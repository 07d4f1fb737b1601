import type { AnswerEvent, Call, Clock, Heartbeat } from "@tamarackgauge/core";
import createDebug from "debug";
import type { WebSocket } from "ws";
import { createOutgoingCalls } from "./calls.ts";
import type { Identity } from "./handshake.ts";
import { createHeartbeatReader, createHeartbeatWriter, type KnownVersions } from "./heartbeat.ts";
import { createQueries, type QueryHandler } from "./queries.ts";
import { type CloseReason, closeReasonOf, closeReasons, describeReason, ProtocolError } from "./reason.ts";
import { createSendQueue } from "./sendQueue.ts";
import { type CallHandler, createIncomingCalls } from "./serving.ts";
import type { PeerSettings } from "./setting.ts";
import type { TrafficMeter } from "./traffic.ts";
import { controlBytesOf, messageKinds, pack, readFrame, type WireMessage } from "./wire.ts";

const emptyFrame = pack([]);
const log = createDebug("tamarackgauge:peer");

/** An authenticated connection to a peer. */
export interface Link {
    readonly peer: Identity;
    /** Whether this daemon opened the connection. */
    readonly dialed: boolean;
    readonly openedAt: number;
    call(call: Call, signal: AbortSignal): AsyncIterator<AnswerEvent, void>;
    query(name: string, body: unknown, timeoutMs: number): Promise<unknown>;
    sendHeartbeat(beat: Heartbeat, versions: KnownVersions, wantsReply: boolean): void;
    lastHeartbeatSentAt(): number;
    lastReceivedAt(): number;
    /**
     * Closes the link if it is silent. `expectsHeartbeats` says whether the peer sends a heartbeat every
     * `heartbeatIntervalMs`.
     */
    checkSilence(now: number, expectsHeartbeats: boolean): void;
    /** Excludes time in which this process did not run from the measured silence. */
    discountPause(ms: number): void;
    /** Number of open calls and queries of this daemon, plus the calls that it serves. */
    openStreams(): number;
    servedCalls(): number;
    flush(): void;
    /**
     * Closes the link immediately. With `sendCloseFrame`, the peer is sent the reason first; a silent link is closed
     * without it.
     */
    close(reason: CloseReason, sendCloseFrame: boolean, detail?: string): void;
}

/** Callbacks of a link. `onClosed` is called exactly once. */
export interface LinkHandlers {
    readonly handleCall: CallHandler;
    readonly handleQuery: QueryHandler;
    readonly isLeaving: () => boolean;
    readonly onHeartbeat: (link: Link, beat: Heartbeat, relayed: KnownVersions | undefined,
        wantsReply: boolean) => void;
    readonly onCallFinished: () => void;
    readonly onClosed: (link: Link, reason: CloseReason) => void;
}

export function createLink(
    options: {
        readonly socket: WebSocket;
        readonly peer: Identity;
        readonly dialed: boolean;
        readonly clock: Clock;
        readonly settings: PeerSettings;
        readonly meter: TrafficMeter;
        readonly handlers: LinkHandlers;
    },
): Link {
    const { socket, peer, dialed, clock, settings, meter, handlers } = options;
    const openedAt = clock.monotonic();
    let lastReceivedAt = openedAt;
    let monitoredSince: number | undefined;
    let awaitsHeartbeatReply = false;
    let lastProbeAt = Number.NEGATIVE_INFINITY;
    let lastHeartbeatSentAt = Number.NEGATIVE_INFINITY;
    let closed = false;
    let writableWaiters: (() => void)[] = [];
    const sendQueue = createSendQueue({ clock, batchIntervalMs: settings.batchIntervalMs,
        flushThresholdBytes: settings.flushThresholdBytes, write });
    const outgoingCalls = createOutgoingCalls(peer.name, settings, push);
    const queries = createQueries(peer.name, settings, handlers.handleQuery, push);
    const incomingCalls = createIncomingCalls({
        peer: peer.name,
        settings,
        handleCall: handlers.handleCall,
        push,
        whenWritable,
        isLeaving: handlers.isLeaving,
        onCallFinished: handlers.onCallFinished,
    });
    const writeHeartbeat = createHeartbeatWriter(settings.maxHeartbeatEngines);
    const readHeartbeat = createHeartbeatReader();

    function push(message: WireMessage, onFlush?: () => void): void {
        sendQueue.push(message, onFlush);
    }

    function write(frame: Buffer, controlBytes: number): void {
        if (socket.readyState !== socket.OPEN) {
            return;
        }
        meter.recordSent(frame.length, controlBytes, dialed);
        socket.send(frame, resolveWritableWaiters);
    }

    function whenWritable(): Promise<void> | undefined {
        if (closed || socket.bufferedAmount < settings.maxUnsentBytes) {
            return undefined;
        }
        return new Promise(resolve => writableWaiters.push(resolve));
    }

    function resolveWritableWaiters(): void {
        if (writableWaiters.length > 0 && (closed || socket.bufferedAmount < settings.maxUnsentBytes)) {
            const resolvers = writableWaiters;
            writableWaiters = [];
            resolvers.forEach(wake => wake());
        }
    }

    function receive(data: Buffer): void {
        if (closed) {
            return;
        }
        lastReceivedAt = clock.monotonic();
        awaitsHeartbeatReply = false;
        try {
            const messages = readFrame(data);
            meter.recordReceived(data.length, messages.reduce((sum, message) => sum + controlBytesOf(message), 0),
                !dialed);
            messages.forEach(dispatch);
        }
        catch (error) {
            if (!(error instanceof ProtocolError)) {
                throw error;
            }
            close(error.reason, true, error.message);
        }
    }

    function dispatch(message: WireMessage): void {
        switch (message[0]) {
            case messageKinds.text:
            case messageKinds.done:
            case messageKinds.refused:
                outgoingCalls.receive(message);
                return;
            case messageKinds.call:
            case messageKinds.cancel:
            case messageKinds.credit:
                incomingCalls.receive(message);
                return;
            case messageKinds.probe:
                sendQueue.flush();
                write(emptyFrame, 0);
                return;
            case messageKinds.heartbeat: {
                const { beat, versions: relayed } = readHeartbeat(message[2]);
                handlers.onHeartbeat(link, beat, relayed, message[1]);
                return;
            }
            default:
                queries.receive(message);
        }
    }

    function openStreams(): number {
        return outgoingCalls.count() + queries.count() + incomingCalls.count();
    }

    /**
     * An idle link need not carry any frames, so that a daemon with many peers does not receive one from each of them
     * every second. A link is monitored while it has streams or an unanswered heartbeat. Before a monitored link is
     * closed as silent, a probe is sent, because the peer may not know that the link is monitored. The dialer probes
     * earlier than the accepter; otherwise both ends would send a probe at the same time.
     */
    function checkSilence(now: number, expectsHeartbeats: boolean): void {
        if (!expectsHeartbeats && !awaitsHeartbeatReply && openStreams() === 0) {
            monitoredSince = undefined;
            return;
        }
        monitoredSince ??= now;
        const silentMs = now - Math.max(lastReceivedAt, monitoredSince);
        if (silentMs > settings.silenceTimeoutMs) {
            close("silent", false);
        }
        else if (silentMs > (dialed ? 1.5 : 2) * settings.heartbeatIntervalMs &&
            now - lastProbeAt >= settings.heartbeatIntervalMs) {
            lastProbeAt = now;
            push([messageKinds.probe]);
        }
    }

    function close(reason: CloseReason, sendCloseFrame: boolean, detail?: string): void {
        if (closed) {
            return;
        }
        closed = true;
        log("link to %s closed: %s", peer.name, detail ?? describeReason(reason));
        if (sendCloseFrame && socket.readyState === socket.OPEN) {
            socket.close(closeReasons[reason].code, closeReasons[reason].text);
            // The peer may never reply to the close frame.
            setTimeout(() => socket.terminate(), settings.handshakeTimeoutMs).unref();
        }
        else {
            socket.terminate();
        }
        sendQueue.close();
        outgoingCalls.fail(reason);
        queries.fail(reason);
        incomingCalls.fail(reason);
        resolveWritableWaiters();
        handlers.onClosed(link, reason);
    }

    const link: Link = {
        peer,
        dialed,
        openedAt,
        call: (call, signal) => outgoingCalls.open(call, signal),
        query: (name, body, timeoutMs) => queries.query(name, body, timeoutMs),
        sendHeartbeat(beat, versions, wantsReply) {
            lastHeartbeatSentAt = clock.monotonic();
            awaitsHeartbeatReply ||= wantsReply;
            push([messageKinds.heartbeat, wantsReply, writeHeartbeat(beat, versions)]);
        },
        lastHeartbeatSentAt: () => lastHeartbeatSentAt,
        lastReceivedAt: () => lastReceivedAt,
        checkSilence,
        discountPause(ms) {
            monitoredSince = monitoredSince === undefined ? undefined : Math.max(monitoredSince, lastReceivedAt) + ms;
        },
        openStreams,
        servedCalls: () => incomingCalls.count(),
        flush: () => sendQueue.flush(),
        close,
    };

    socket.on("message", (data, isBinary) => {
        if (isBinary && Buffer.isBuffer(data)) {
            receive(data);
        }
        else {
            close("malformed", true, describeReason("malformed", "a text frame after the handshake"));
        }
    });
    socket.on("close", code => close(closeReasonOf(code), false));
    socket.on("error", error => close(closeReasonOfError(error), true, error.message));
    return link;
}

/** Errors of the WebSocket receiver indicate a malformed or oversized frame; any other error, a lost connection. */
function closeReasonOfError(error: Error): CloseReason {
    const code = "code" in error ? String(error.code) : "";
    if (code === "WS_ERR_UNSUPPORTED_MESSAGE_LENGTH") {
        return "too_large";
    }
    return code.startsWith("WS_ERR") ? "malformed" : "lost";
}
