/** The state that a daemon sends to its peers once a second. Ages are in milliseconds. */
export interface Heartbeat {
    /** Time since the last answer of the store; undefined if it has never answered. */
    readonly storeAge?: number;
    readonly configurationVersion: number;
    readonly ownershipVersion: number;
    readonly leaving: boolean;
    /** This daemon's calls in flight by engine, so that daemons do not all choose the same engine. */
    readonly inFlight: Readonly<Record<string, number>>;
    /** This daemon's calls that wait for an engine, by model; undefined if none waits. */
    readonly waiting?: Readonly<Record<string, number>> | undefined;
}
