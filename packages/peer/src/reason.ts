/**
 * Reasons for closing a link. The codes are WebSocket close codes of the private range, so that both ends log the same
 * reason. The meaning of a code must never change.
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

export type CloseReason = keyof typeof closeReasons;

/** Text for logs and error messages, with the close code. */
export function describeReason(reason: CloseReason, detail?: string): string {
    const { code, text } = closeReasons[reason];
    return detail === undefined ? `${code} ${text}` : `${code} ${text}: ${detail}`;
}

/** The reason for a close code that the other end sent; `lost` if the code is not one of `closeReasons`. */
export function closeReasonOf(code: number): CloseReason {
    const found = Object.entries(closeReasons).find(([, reason]) => reason.code === code);
    return found === undefined ? "lost" : found[0] as CloseReason;
}

/** The other end violated the protocol. The link is closed with `reason`. */
export class ProtocolError extends Error {
    constructor(readonly reason: CloseReason, detail?: string) {
        super(describeReason(reason, detail));
    }
}

/**
 * A call or query failed because its link was closed or could not be opened. `sent` is false only if the call or query
 * was certainly never passed to the socket.
 */
export class LinkError extends Error {
    constructor(readonly peer: string, readonly reason: CloseReason, readonly sent: boolean) {
        super(`link to ${peer}: ${describeReason(reason)}`);
    }
}

/** Abort reason of the signal of a served call when the calling daemon cancels it. */
export class CancelledError extends Error {
    constructor(readonly peer: string) {
        super(`${peer} cancelled the call`);
    }
}

/** The peer failed to handle a query or did not respond in time. */
export class QueryError extends Error {
    constructor(readonly peer: string, message: string) {
        super(`query to ${peer}: ${message}`);
    }
}
