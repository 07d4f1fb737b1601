import { chooseLink, maxUnfinishedBytes, pieceCost, type UnfinishedMessage } from "@tamarackgauge/core/gateway";
import type { Socket } from "node:net";
import type { WebSocket } from "ws";
import type { Log } from "./log.ts";

/** Bounds what the unfinished messages of all links to a server hold together. */
export interface PeerLinkLimits {
    /** Counts what comes on a link. */
    track(link: WebSocket, socket: Socket): void;
}

/** What a link holds of a message. */
interface TrackedLink extends UnfinishedMessage {
    readonly link: WebSocket;
    bytes: number;
    since: number;
}

/** Above this, links with unfinished messages are read in turn, as what has been read is freed only some time later. */
const pausingBytes = maxUnfinishedBytes / 2;
/** Time for a message to end while other links wait. */
const turnMs = 250;
/** The greatest frame of a ping. */
const maxPingBytes = 131;

/** Starts counting. */
export function createPeerLinkLimits(log: Log, now: () => number): PeerLinkLimits {
    const links = new Set<TrackedLink>();
    /** Links that are not read until there is room, in the order in which they are to be read on. */
    const paused = new Set<TrackedLink>();
    let totalBytes = 0;
    let timer: NodeJS.Timeout | undefined;

    function setBytes(link: TrackedLink, bytes: number): void {
        totalBytes += bytes - link.bytes;
        link.bytes = bytes;
    }

    function add(link: TrackedLink, bytes: number): void {
        if (link.bytes === 0) {
            link.since = now();
        }
        setBytes(link, link.bytes + pieceCost(bytes));
        while (totalBytes > maxUnfinishedBytes) {
            closeLargest();
        }
        if (totalBytes > pausingBytes && links.has(link) && hasUnfinishedOther(link)) {
            pause(link);
        }
    }

    /** Whether another message is unfinished and still read, so that room may come. */
    function hasUnfinishedOther(link: TrackedLink): boolean {
        return [...links].some(other => other !== link && other.bytes > 0 && !paused.has(other));
    }

    function pause(link: TrackedLink): void {
        paused.add(link);
        link.link.pause();
        timer ??= setTimeout(makeRoom, turnMs).unref();
    }

    /** Links that wait go on when there is room, one when there is none. */
    function resumePaused(): void {
        for (const link of paused) {
            if (totalBytes > pausingBytes && hasUnfinishedOther(link)) {
                return;
            }
            paused.delete(link);
            link.link.resume();
        }
    }

    /** A message that does not end in its turn is not waited for by the others. */
    function makeRoom(): void {
        timer = undefined;
        if (paused.size > 0) {
            closeLargest();
            timer ??= setTimeout(makeRoom, turnMs).unref();
        }
    }

    function endMessage(link: TrackedLink): void {
        setBytes(link, 0);
        if (paused.delete(link)) {
            link.link.resume();
        }
        resumePaused();
    }

    function closeLargest(): void {
        const largest = chooseLink([...links], now())!;
        log.warn("peer.closed", { reason: "unfinished messages hold too much", bytes: largest.bytes });
        remove(largest);
        largest.link.terminate();
    }

    function remove(link: TrackedLink): void {
        setBytes(link, 0);
        links.delete(link);
        paused.delete(link);
        resumePaused();
    }

    return {
        track(link, socket) {
            const tracked: TrackedLink = { link, bytes: 0, since: 0 };
            links.add(tracked);
            // Before the link's own listener, which emits the messages that a piece has ended.
            socket.prependListener("data", (piece: Buffer) => {
                if (links.has(tracked)) {
                    add(tracked, piece.length);
                }
            });
            link.on("message", () => endMessage(tracked));
            // A ping may come between the parts of a message, so that it ends none.
            link.on("ping", () => {
                if (tracked.bytes <= pieceCost(maxPingBytes)) {
                    endMessage(tracked);
                }
            });
            link.once("close", () => remove(tracked));
        },
    };
}
