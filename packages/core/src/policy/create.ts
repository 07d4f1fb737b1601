import type { Random } from "../clock.ts";
import type { Policy } from "../policy.ts";
import { ConsistentHashPolicy, LeastConnectionsPolicy, RoundRobinPolicy } from "./baselines.ts";
import { AttainedServicePolicy, defaultPolicySettings, type PolicySettings } from "./scheduler.ts";

/** The policies that can be chosen by name. */
export const policyNames = ["attainedService", "roundRobin", "leastConnections", "consistentHash"] as const;

/** Name of a policy. */
export type PolicyName = (typeof policyNames)[number];

/** Options of `createPolicy`. Omitted settings take their defaults; the baselines have no settings. */
export interface PolicyOptions {
    readonly random: Random;
    readonly settings?: Partial<PolicySettings>;
}

export function createPolicy(name: PolicyName, options: PolicyOptions): Policy {
    switch (name) {
        case "attainedService":
            return new AttainedServicePolicy({ ...defaultPolicySettings, ...options.settings }, options.random);
        case "roundRobin":
            return new RoundRobinPolicy();
        case "leastConnections":
            return new LeastConnectionsPolicy();
        case "consistentHash":
            return new ConsistentHashPolicy();
    }
}
