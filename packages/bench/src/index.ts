export { benchCommands, replayCommand } from "./command.ts";
export { type Experiment, parseExperiment } from "./experiment.ts";
export { generateTrace } from "./generate.ts";
export type { Program } from "./program.ts";
export { readTrace, writeTrace } from "./trace.ts";
