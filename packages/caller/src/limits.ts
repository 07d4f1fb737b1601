/** What the front accepts. Times are in milliseconds, sizes in bytes unless said otherwise. */
export interface Limits {
    readonly maxBody: number;
    /** Request line and headers together. */
    readonly maxHeader: number;
    /** Time for the whole head of a request to arrive. */
    readonly headerTimeout: number;
    /** Time for the whole request to arrive. */
    readonly requestTimeout: number;
    /** A caller that takes nothing for this long is disconnected. */
    readonly writeTimeout: number;
    /** Idle time before the first TCP keep-alive probe; a dead caller is noticed about 10 s later. */
    readonly tcpKeepAliveDelay: number;
    /** A stream without text sends a comment at this interval, so that proxies keep it open. */
    readonly commentInterval: number;
    readonly maxStreams: number;
    readonly maxConnections: number;
    /** All request bodies that are arriving at one time. */
    readonly maxTotalBody: number;
    /** Characters of an answer that is not streamed, and of out-of-order text that is held. */
    readonly maxAnswer: number;
    /** `max_tokens` of a call that does not state it. */
    readonly defaultMaxTokens: number;
}

/** Limits for a small entry VM. */
export const defaultLimits: Limits = {
    maxBody: 4_194_304,
    maxHeader: 16_384,
    headerTimeout: 10_000,
    requestTimeout: 30_000,
    writeTimeout: 20_000,
    tcpKeepAliveDelay: 5000,
    commentInterval: 10_000,
    maxStreams: 4096,
    maxConnections: 10_000,
    maxTotalBody: 67_108_864,
    maxAnswer: 16_777_216,
    defaultMaxTokens: 1024,
};
