export { createFront, type Front, type FrontOptions } from "./front.ts";
export { type Limits, presetLimits } from "./limits.ts";
