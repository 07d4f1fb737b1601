/** Settings of the links between daemons. */
export interface PeerSettings {
    /** Maximum time for which messages are batched into a frame; 0 batches those of one event loop iteration. */
    readonly batchIntervalMs: number;
    /** Interval between heartbeats to the same peer. */
    readonly heartbeatIntervalMs: number;
    /** A monitored link that receives no frame for this long is closed. */
    readonly silenceTimeoutMs: number;
    /** Maximum time from the start of a connection to the end of its handshake. */
    readonly handshakeTimeoutMs: number;
    /** Initial and maximum backoff between attempts to connect; jitter reduces a delay to 50% to 100% of it. */
    readonly initialBackoffMs: number;
    readonly maxBackoffMs: number;
    /** The daemon with the greater name waits this long for the other one to connect before it connects itself. */
    readonly secondaryDialDelayMs: number;
    /** Maximum time that a call waits for a link to be opened. */
    readonly linkWaitTimeoutMs: number;
    /** Interval between checks for silent links, due heartbeats and missing connections. */
    readonly checkIntervalMs: number;
    /** Up to this many members, each one sends a heartbeat to every other one every `heartbeatIntervalMs`. */
    readonly maxMeshMembers: number;
    /**
     * With more than `maxMeshMembers` members: number of heartbeats sent per `heartbeatIntervalMs`, to peers in random
     * order. The receiver replies to each with a heartbeat.
     */
    readonly gossipFanout: number;
    /** Maximum number of engines in a heartbeat; those with the most calls are included first. */
    readonly maxHeartbeatEngines: number;
    /** Flow control window of a stream: the credit that its sender starts with. */
    readonly streamWindowBytes: number;
    /** Maximum size of a call, completion, query or response. A frame may be larger by `flushThresholdBytes`. */
    readonly maxMessageBytes: number;
    /** A frame is sent as soon as it reaches this size. */
    readonly flushThresholdBytes: number;
    /** Served streams are paused while the socket has at least this many unsent bytes. */
    readonly maxUnsentBytes: number;
    /** Maximum number of calls served concurrently on a link; further calls are refused. */
    readonly maxStreamsPerLink: number;
    /** Maximum number of connections that are opened concurrently. */
    readonly maxConcurrentDials: number;
    /** Maximum number of handshakes in progress; further incoming connections are dropped. */
    readonly maxConcurrentHandshakes: number;
}

export const defaultPeerSettings: PeerSettings = {
    batchIntervalMs: 5,
    heartbeatIntervalMs: 1000,
    silenceTimeoutMs: 3000,
    handshakeTimeoutMs: 2000,
    initialBackoffMs: 100,
    maxBackoffMs: 2000,
    secondaryDialDelayMs: 1000,
    linkWaitTimeoutMs: 1000,
    checkIntervalMs: 100,
    maxMeshMembers: 24,
    gossipFanout: 4,
    maxHeartbeatEngines: 64,
    streamWindowBytes: 64 * 1024,
    maxMessageBytes: 8 * 1024 * 1024,
    flushThresholdBytes: 256 * 1024,
    maxUnsentBytes: 1024 * 1024,
    maxStreamsPerLink: 16_384,
    maxConcurrentDials: 32,
    maxConcurrentHandshakes: 512,
};
