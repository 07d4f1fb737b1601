/** Where a service of this process listens. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/** Settings of a gateway process. Times are in milliseconds, sizes in bytes. */
export interface GatewaySettings {
    readonly name: string;
    readonly dataCentre: string;
    /** Callers connect here. */
    readonly callerAddress: SocketAddress;
    /** The platform asks here whether new connections may come. */
    readonly readinessAddress: SocketAddress;
    /** Other daemons connect here; undefined where none may. */
    readonly peerAddress: SocketAddress | undefined;
    /** Peer addresses of some daemons; they may be out of date. */
    readonly knownPeers: readonly SocketAddress[];
    /** Counters are served here; undefined for nowhere. */
    readonly metricsAddress: SocketAddress | undefined;
    readonly storeAddress: SocketAddress;
    /** The largest value of a row. */
    readonly maxRowBytes: number;
    /** A process that was told to stop is killed after this time. */
    readonly shutdownGrace: number;
}
