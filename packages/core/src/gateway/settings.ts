/** Where a service of this process listens. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Settings of a gateway process. Times are in milliseconds, sizes in bytes. */
export interface GatewaySettings {
    readonly name: string;
    readonly dataCentre: string;
    /** Callers connect here. */
    readonly callers: ListenAddress;
    /** The platform asks here whether new connections may come. */
    readonly readiness: ListenAddress;
    /** Other daemons connect here; undefined where none may. */
    readonly peers: ListenAddress | undefined;
    /** Peer addresses of some daemons; they may be out of date. */
    readonly knownPeers: readonly ListenAddress[];
    /** Counters are served here; undefined for nowhere. */
    readonly metrics: ListenAddress | undefined;
    readonly store: ListenAddress;
    /** The largest value of a row. */
    readonly mostRowBytes: number;
    /** A process that was told to stop is killed after this time. */
    readonly grace: number;
}
