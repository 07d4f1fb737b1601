import type { IncomingHttpHeaders } from "node:http";

/** What a gateway answers to one that asks it for a connection to an upstream. */
export const relayStatus = {
    opened: 200,
    /** The upstream is not known there, or cannot be reached from there either. */
    upstreamUnreachable: 502,
    /** The gateway reaches no upstream itself, is stopping, or relays as many connections as it may. */
    unavailable: 503,
} as const;

/** Target of a request for a connection; the upstream is named by a header, as its id need not be a host's name. */
export const relayTarget = "upstream:1";
const upstreamHeader = "upstream-id";

/** Headers of a request for a connection to an upstream. */
export function encodeRelayHeaders(upstream: string): Record<string, string> {
    return { [upstreamHeader]: encodeURIComponent(upstream) };
}

/** The upstream that a request names; undefined if it names none. */
export function decodeRelayHeaders(headers: IncomingHttpHeaders): string | undefined {
    const value = headers[upstreamHeader];
    try {
        return typeof value === "string" ? decodeURIComponent(value) : undefined;
    }
    catch {
        // Not from a gateway. The request is refused.
        return undefined;
    }
}
