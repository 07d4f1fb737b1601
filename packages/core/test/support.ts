import { AttainedServicePolicy, createRandom, defaultPolicySettings, type Engine, type Job, type JobResult,
    type PolicySettings } from "../src/index.ts";

/** A job of plan `p` that opens its own program, unless changed. */
export function job(id: string, change: Partial<Job> = {}): Job {
    const program = change.program ?? `p/${id}`;
    return { id, plan: "p", program, root: program, model: "m", promptTokens: 500, newTokens: 500, maxTokens: 100,
        firstCall: true, repeatable: true, excluded: [], ...change };
}

export function engines(...names: string[]): Engine[] {
    return names.map(name => ({ name, dataCentre: "x", models: ["m"], leaving: false }));
}

export function done(change: Partial<JobResult> = {}): JobResult {
    return { outcome: "done", promptTokens: 500, cachedTokens: 0, tokens: 50, ...change };
}

export function createTested(names: readonly string[], settings: Partial<PolicySettings> = {}): AttainedServicePolicy {
    const policy = new AttainedServicePolicy({ ...defaultPolicySettings, ...settings }, createRandom(7));
    policy.setEngines(engines(...names));
    return policy;
}

/** Runs one call at once and returns its engine. */
export function serve(policy: AttainedServicePolicy, call: Job, now: number, result = done()): string {
    policy.submit(call, now);
    const engine = policy.nextAssignments(now)[0]!.engine;
    policy.recordFirstToken(call.id, now + 50);
    policy.finish(call.id, result, now + 100);
    return engine;
}
