/** Settings of the links. Times are in milliseconds, sizes in bytes. */
export interface Settings {
    /** Longest time for which messages are gathered into a frame; 0 gathers one turn of the event loop. */
    readonly tickMs: number;
    /** Time between two heartbeats to one peer. */
    readonly beatMs: number;
    /** A link on which nothing was heard for this long is dead. */
    readonly silenceMs: number;
    /** Longest time from the start of a connection to the end of its handshake. */
    readonly handshakeMs: number;
    /** First and longest delay between two attempts to connect; the real delay is 50% to 100% of it. */
    readonly backoffMs: number;
    readonly backoffLimitMs: number;
    /** The daemon with the greater name waits this long for the other one to connect before it does so itself. */
    readonly yieldMs: number;
    /** How long a call waits for a link that is being opened. */
    readonly connectWaitMs: number;
    /** Time between two checks of silence, heartbeats and connections. */
    readonly checkMs: number;
    /** Up to this many members, each sends every other one a heartbeat each `beatMs`. */
    readonly meshLimit: number;
    /** Heartbeats per `beatMs` above `meshLimit`, to peers in random order; each is answered with a heartbeat. */
    readonly rotation: number;
    /** Most engines in one heartbeat, those with the most calls first. */
    readonly engineLimit: number;
    /** Credit of a stream. */
    readonly window: number;
    /** Largest call, completion, ask or answer, and largest frame. */
    readonly messageLimit: number;
    /** A frame is sent as soon as it has this size. */
    readonly frameSize: number;
    /** Streams are not pulled while the socket holds more unsent bytes. */
    readonly unsentLimit: number;
    /** Most calls served at once on a link; more are refused. */
    readonly streamLimit: number;
    /** Most connections being opened at once. */
    readonly dialLimit: number;
    /** Most handshakes in progress at once; further incoming connections are dropped. */
    readonly handshakeLimit: number;
}

/** The settings used where the caller gives none. */
export const defaultSettings: Settings = {
    tickMs: 5,
    beatMs: 1000,
    silenceMs: 3000,
    handshakeMs: 2000,
    backoffMs: 100,
    backoffLimitMs: 2000,
    yieldMs: 1000,
    connectWaitMs: 1000,
    checkMs: 100,
    meshLimit: 24,
    rotation: 4,
    engineLimit: 64,
    window: 64 * 1024,
    messageLimit: 8 * 1024 * 1024,
    frameSize: 256 * 1024,
    unsentLimit: 1024 * 1024,
    streamLimit: 16_384,
    dialLimit: 32,
    handshakeLimit: 512,
};
