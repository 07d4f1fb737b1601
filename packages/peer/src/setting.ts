/** Settings of the links. Times are in milliseconds, sizes in bytes. */
export interface PeerSettings {
    /** Longest time for which messages are gathered into a frame; 0 gathers one turn of the event loop. */
    readonly batchIntervalMs: number;
    /** Time between two heartbeats to one peer. */
    readonly heartbeatIntervalMs: number;
    /** A link on which nothing was heard for this long is dead. */
    readonly silenceTimeoutMs: number;
    /** Longest time from the start of a connection to the end of its handshake. */
    readonly handshakeTimeoutMs: number;
    /** First and longest delay between two attempts to connect; the real delay is 50% to 100% of it. */
    readonly initialBackoffMs: number;
    readonly maxBackoffMs: number;
    /** The daemon with the greater name waits this long for the other one to connect before it does so itself. */
    readonly secondaryDialDelayMs: number;
    /** How long a call waits for a link that is being opened. */
    readonly linkWaitTimeoutMs: number;
    /** Time between two checks of silence, heartbeats and connections. */
    readonly checkIntervalMs: number;
    /** Up to this many members, each sends every other one a heartbeat each `beatMs`. */
    readonly maxMeshMembers: number;
    /** Heartbeats per `beatMs` above `meshLimit`, to peers in random order; each is answered with a heartbeat. */
    readonly gossipFanout: number;
    /** Most engines in one heartbeat, those with the most calls first. */
    readonly maxHeartbeatEngines: number;
    /** Credit of a stream. */
    readonly streamWindowBytes: number;
    /** Largest call, completion, ask or answer, and largest frame. */
    readonly maxMessageBytes: number;
    /** A frame is sent as soon as it has this size. */
    readonly flushThresholdBytes: number;
    /** Streams are not pulled while the socket holds more unsent bytes. */
    readonly maxUnsentBytes: number;
    /** Most calls served at once on a link; more are refused. */
    readonly maxStreamsPerLink: number;
    /** Most connections being opened at once. */
    readonly maxConcurrentDials: number;
    /** Most handshakes in progress at once; further incoming connections are dropped. */
    readonly maxConcurrentHandshakes: number;
}

/** The settings used where the caller gives none. */
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
