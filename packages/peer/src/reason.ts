/**
 * Why a link ended. The numbers are WebSocket close codes of the private range, so that both ends log the same reason.
 * A number never changes its meaning.
 */
export const closeReasons = {
    malformed: { code: 4400, text: "a frame is malformed" },
    unauthenticated: { code: 4401, text: "the proof of the cluster key is wrong" },
    wrong_name: { code: 4403, text: "the connection was meant for another daemon" },
    handshake_late: { code: 4408, text: "the handshake took too long" },
    stream_reused: { code: 4409, text: "a stream id was used twice or never opened" },
    too_large: { code: 4413, text: "a frame or the handshake is larger than the limit" },
    credit_exceeded: { code: 4414, text: "a stream sent more than its credit" },
    silent: { code: 4419, text: "nothing was heard for the silence limit" },
    replaced: { code: 4420, text: "the peer opened a new link" },
    removed: { code: 4421, text: "the peer left the member list" },
    unreachable: { code: 4422, text: "the peer could not be reached" },
    lost: { code: 4423, text: "the connection was lost" },
    disposed: { code: 4424, text: "the daemon stops" },
} as const satisfies Record<string, { readonly code: number; readonly text: string; }>;

/** The name of a reason. */
export type CloseReason = keyof typeof closeReasons;

/** The reason with its number, for logs and messages. */
export function describeReason(reason: CloseReason, detail?: string): string {
    const { code, text } = closeReasons[reason];
    return detail === undefined ? `${code} ${text}` : `${code} ${text}: ${detail}`;
}

/** The reason that the other end gave with a close code; any other code means that the connection was lost. */
export function closeReasonOf(code: number): CloseReason {
    const found = Object.entries(closeReasons).find(([, reason]) => reason.code === code);
    return found === undefined ? "lost" : found[0] as CloseReason;
}

/** The other end broke the protocol; the link is closed with the reason. */
export class ProtocolError extends Error {
    constructor(readonly reason: CloseReason, detail?: string) {
        super(describeReason(reason, detail));
    }
}

/** A call or ask failed with its link. `sent` is false only if it certainly never left this process. */
export class LinkError extends Error {
    constructor(readonly peer: string, readonly reason: CloseReason, readonly sent: boolean) {
        super(`link to ${peer}: ${describeReason(reason)}`);
    }
}

/** The reason of the abort signal that a served call gets when its caller cancels it. */
export class CancelledError extends Error {
    constructor(readonly peer: string) {
        super(`${peer} cancelled the call`);
    }
}

/** The peer could not answer an ask, or did not answer in time. */
export class QueryError extends Error {
    constructor(readonly peer: string, message: string) {
        super(`ask of ${peer}: ${message}`);
    }
}
