/** What a daemon tells its peers once a second. Ages are in milliseconds. */
export interface Heartbeat {
    /** Since the store last answered; undefined if it never did. */
    readonly storeAge?: number;
    readonly configurationVersion: number;
    readonly ownershipVersion: number;
    readonly leaving: boolean;
    /** Calls in flight of this daemon on each engine, to keep daemons from choosing the same one. */
    readonly inFlight: Readonly<Record<string, number>>;
    /** Calls of this daemon that wait for an engine, by model; undefined when none waits. */
    readonly waiting?: Readonly<Record<string, number>> | undefined;
}
