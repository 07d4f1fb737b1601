export * from "./call.ts";
export * from "./clock.ts";
export * from "./code.ts";
export * from "./peer.ts";
export * from "./policy.ts";
export * from "./policy/baselines.ts";
export * from "./policy/create.ts";
export { AttainedServicePolicy, type PolicySettings, usualSettings } from "./policy/scheduler.ts";
