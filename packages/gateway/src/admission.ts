import { countPrecedingTurns, decideAdmission, maxPermitDelay, type RefusalCause,
    scopedId } from "@tamarackgauge/core/gateway";
import type { ReceivedCall } from "./sendPlan.ts";
import { type SendParts, serviceOf } from "./sends.ts";

/** Number of turns of the call's program that came before, as far as this gateway knows. */
export function precedingTurns({ recentPrograms, now }: SendParts, { head, scope }: ReceivedCall,
    historyTurns = 0): number {
    const answered = head.program === undefined ? 0 : recentPrograms.turns(scopedId(scope, head.program), now());
    return countPrecedingTurns(head, Math.max(historyTurns, answered));
}

/**
 * Whether the turn is admitted when its upstream is chosen: by the dispatcher of its service, or, where upstreams have rate
 * limits, by one that grants a permit, however full the others are.
 */
export function isDecidedAtSend({ upstreams, declaration, dispatch }: SendParts, call: ReceivedCall): boolean {
    const service = serviceOf(call, declaration());
    return dispatch.isInForce(service) || upstreams.permitDelay(service) !== undefined;
}

/**
 * Returns why a new program is refused if every upstream that could take it has a rate limit without room in the time that
 * a first turn waits. It is known before the turn's tokens are reserved, which may take long while the store is slow.
 */
export function permitRefusal(parts: SendParts, call: ReceivedCall): RefusalCause | undefined {
    const { upstreams, declaration, now } = parts;
    const service = serviceOf(call, declaration());
    const expectedWait = upstreams.permitDelay(service);
    if (expectedWait === undefined || precedingTurns(parts, call) > 0) {
        return undefined;
    }
    const maxDelay = maxPermitDelay({ route: call.route, precedingTurns: 0,
        highLatency: upstreams.estimate(service).highLatency, timeLeft: call.deadlineAt - now() });
    return upstreams.takesRequestWithin(service, maxDelay) ? undefined : { kind: "rateLimited", expectedWait };
}

/**
 * Returns why a new program is refused if the engines are overloaded. Only first turns are checked: running programs
 * free capacity when they finish.
 */
export function overloadRefusal(parts: SendParts, call: ReceivedCall): RefusalCause | undefined {
    if (precedingTurns(parts, call) > 0) {
        return undefined;
    }
    const { route } = call;
    const now = parts.now();
    const declaration = parts.declaration();
    const service = serviceOf(call, declaration);
    const estimate = parts.upstreams.estimate(service);
    // The smallest target of all routes of the service, so that their programs are refused at the same load.
    const targetLatencies =
        declaration?.routes.filter(each => each.streamed && each.shares.some(share => share.service === service))
            .map(each => each.targetLatency) ?? [];
    return decideAdmission({ occupancy: estimate.occupancy(now), excessLatency: estimate.excessLatency(now),
        baselineLatency: estimate.baselineLatency, targetLatency: Math.min(route.targetLatency, ...targetLatencies),
        priority: route.priority }, Math.random);
}
