import { AttainedServicePolicy, createRandom, defaultPolicySettings, type Engine, type Job, type JobResult,
    type PolicySettings } from "../src/index.ts";

/** Creates a job of plan `p` that opens its own program, unless overridden. */
export function job(id: string, overrides: Partial<Job> = {}): Job {
    const program = overrides.program ?? `p/${id}`;
    return { id, plan: "p", program, root: program, model: "m", promptTokens: 500, newTokens: 500, maxTokens: 100,
        firstCall: true, repeatable: true, excluded: [], ...overrides };
}

export function engines(...names: string[]): Engine[] {
    return names.map(name => ({ name, dataCentre: "x", models: ["m"], leaving: false }));
}

export function doneResult(overrides: Partial<JobResult> = {}): JobResult {
    return { outcome: "done", promptTokens: 500, cachedTokens: 0, tokens: 50, ...overrides };
}

export function createTestPolicy(names: readonly string[],
    settings: Partial<PolicySettings> = {}): AttainedServicePolicy {
    const policy = new AttainedServicePolicy({ ...defaultPolicySettings, ...settings }, createRandom(7));
    policy.setEngines(engines(...names));
    return policy;
}

/** Runs a call from submission to completion and returns its engine. */
export function runCall(policy: AttainedServicePolicy, call: Job, now: number, result = doneResult()): string {
    policy.submit(call, now);
    const engine = policy.nextAssignments(now)[0]!.engine;
    policy.recordFirstToken(call.id, now + 50);
    policy.finish(call.id, result, now + 100);
    return engine;
}
