/** A network address, to listen on or to connect to. */
export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

/** What all gateways together may pass on of a team's requests beyond its quota. */
export interface QuotaSettings {
    /** Length of the sliding window, in ms. */
    readonly window: number;
    /** Share of the quota by which a window may exceed it. */
    readonly overage: number;
    /** Requests by which a window may exceed it besides. */
    readonly slack: number;
}

/** Settings of a gateway process. Times are in milliseconds, sizes in bytes. */
export interface GatewaySettings {
    readonly name: string;
    readonly dataCentre: string;
    /** Address for callers. */
    readonly callerAddress: SocketAddress;
    /** Address of the platform's readiness check: whether the process accepts new connections. */
    readonly readinessAddress: SocketAddress;
    /** Address for other daemons; undefined if they may not connect. */
    readonly peerAddress: SocketAddress | undefined;
    /** Peer addresses of some other daemons; they may be out of date. */
    readonly knownPeers: readonly SocketAddress[];
    /** Address at which metrics are served; undefined to disable. */
    readonly metricsAddress: SocketAddress | undefined;
    readonly storeAddress: SocketAddress;
    /** Maximum size of a row's value. */
    readonly maxRowBytes: number;
    /** Memory of the process beyond which the platform kills it; undefined if the platform does not tell. */
    readonly memoryBytes: number | undefined;
    /** Descriptors that the process may have open; undefined if the platform does not tell. */
    readonly maxDescriptors: number | undefined;
    /** How the quotas of teams are counted; undefined if no quotas are held. */
    readonly quota: QuotaSettings | undefined;
    /** Keys are accepted until the declaration has not been confirmed for this long; undefined: without end. */
    readonly maxKeyAge: number | undefined;
    /** Processor capacity of the VM for this process, in cores. */
    readonly processorCores: number;
    /** Time after which the platform kills a process that was asked to stop. */
    readonly shutdownGrace: number;
}
