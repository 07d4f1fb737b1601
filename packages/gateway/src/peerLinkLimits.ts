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

/** The greatest frame of a ping. */
const maxPingBytes = 131;

/** Starts counting. */
export function createPeerLinkLimits(log: Log, now: () => number): PeerLinkLimits {
    const links = new Set<TrackedLink>();
    let totalBytes = 0;

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
            link.on("message", () => setBytes(tracked, 0));
            // A ping may come between the parts of a message, so that it ends none.
            link.on("ping", () => {
                if (tracked.bytes <= pieceCost(maxPingBytes)) {
                    setBytes(tracked, 0);
                }
            });
            link.once("close", () => remove(tracked));
        },
    };
}
