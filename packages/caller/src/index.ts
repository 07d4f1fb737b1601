export { createFront, type Front, type FrontOptions, type StreamingRoute } from "./front.ts";
export { defaultLimits, type Limits } from "./limits.ts";
