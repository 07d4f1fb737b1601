/** Limits of the front. Times are in milliseconds, sizes in bytes unless stated otherwise. */
export interface Limits {
    readonly maxBody: number;
    /** Size of the request line and all headers together. */
    readonly maxHeader: number;
    /** Time for all headers of a request to arrive. */
    readonly headerTimeout: number;
    /** Time for the whole request to arrive. */
    readonly requestTimeout: number;
    /** A caller that reads nothing for this long is disconnected. */
    readonly writeTimeout: number;
    /** Idle time before the first TCP keep-alive probe; a dead caller is detected about 10 s later. */
    readonly tcpKeepAliveDelay: number;
    /** Interval of the comments in an idle stream, which prevent proxies from closing it. */
    readonly commentInterval: number;
    readonly maxStreams: number;
    readonly maxConnections: number;
    /** Total size of all request bodies that are being received. */
    readonly maxTotalBody: number;
    /** Maximum number of characters of an answer that is not streamed. */
    readonly maxAnswer: number;
    /** Maximum number of generated tokens for calls without `max_tokens` and `max_completion_tokens`. */
    readonly defaultMaxTokens: number;
}

/** Default limits, chosen for a small VM that serves callers. */
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
