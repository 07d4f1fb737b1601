import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Upstream, Upstreams } from "./upstreams.ts";

/** What is told of an upstream that leaves. */
export interface LeavingParts {
    readonly upstreams: Pick<Upstreams, "retire">;
    readonly metrics: Pick<Metrics, "recordLeaving">;
    readonly log: Log;
}

/** Takes an upstream out of use that has announced that it leaves; `answeredCall` is the call whose answer said so. */
export function retireLeavingUpstream({ upstreams, metrics, log }: LeavingParts, upstream: Upstream,
    answeredCall: string): void {
    const { id, service } = upstream.state.entry;
    if (!upstream.state.hasAnnouncedLeaving()) {
        upstreams.retire(upstream);
        metrics.recordLeaving(service);
        log.info("upstream.leaving", { upstream: id, service, answeredCall });
    }
}
