import type { Random } from "../clock.ts";
import type { Policy } from "../policy.ts";
import { ConsistentHashPolicy, LeastConnectionsPolicy, RoundRobinPolicy } from "./baselines.ts";

/** The policies that can be chosen by name. */
export const policyNames = ["roundRobin", "leastConnections", "consistentHash"] as const;

/** Name of a policy. */
export type PolicyName = (typeof policyNames)[number];

/** What a policy is built from. */
export interface PolicyOptions {
    readonly random: Random;
}

/** Builds the named policy. */
export function createPolicy(name: PolicyName, _options: PolicyOptions): Policy {
    switch (name) {
        case "roundRobin":
            return new RoundRobinPolicy();
        case "leastConnections":
            return new LeastConnectionsPolicy();
        case "consistentHash":
            return new ConsistentHashPolicy();
    }
}
