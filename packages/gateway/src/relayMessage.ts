import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";
import type { UpstreamTarget } from "./relays.ts";

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
/** Sent by a gateway that reads frames, and by one that then sends them; versions without them ignore it. */
const framesHeader = "upstream-frames";
const framesVersion = "1";
const leavingHeader = "upstream-leaving";
/** The requests a second that the upstream takes, as the sender knows them. */
const limitHeader = "upstream-limit";

/** What a gateway knows of an upstream that another one has to know before it sends to it. */
export type UpstreamKnowledge = Pick<UpstreamTarget, "isLeaving" | "requestsPerSecond">;

/** Headers of a request for a connection to an upstream. */
export function encodeRelayHeaders({ id, ...knowledge }: UpstreamTarget): OutgoingHttpHeaders {
    return { [upstreamHeader]: encodeURIComponent(id), [framesHeader]: framesVersion, ...encodeKnowledge(knowledge) };
}

/** Header of the answer that says that the upstream's bytes follow in frames. */
export const framesAnswerHeaders: Readonly<Record<string, string>> = { [framesHeader]: framesVersion };

/** Whether the other gateway reads frames, by its request, or sends them, by its answer. */
export function usesFrames(headers: IncomingHttpHeaders): boolean {
    return headers[framesHeader] === framesVersion;
}

/** Headers that tell what a gateway knows of an upstream. */
export function encodeKnowledge({ isLeaving, requestsPerSecond }: UpstreamKnowledge): Record<string, string> {
    return {
        ...isLeaving ? { [leavingHeader]: "1" } : {},
        ...requestsPerSecond === undefined ? {} : { [limitHeader]: String(requestsPerSecond) },
    };
}

/** What the headers of another gateway tell of an upstream. */
export function decodeKnowledge(headers: IncomingHttpHeaders): UpstreamKnowledge {
    const limit = headers[limitHeader];
    const requestsPerSecond = typeof limit === "string" ? Number(limit) : NaN;
    return { isLeaving: headers[leavingHeader] !== undefined,
        requestsPerSecond: requestsPerSecond >= 0 ? requestsPerSecond : undefined };
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
