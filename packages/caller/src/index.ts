export { createFront, type Front, type FrontOptions, type Handler } from "./front.ts";
export { type Limits, presetLimits } from "./limits.ts";
