export { scriptArbitrary, type Side, sides } from "./arbitrary.ts";
export { fuzzCommand } from "./command.ts";
export { judge, type Rule, type Violation } from "./oracle.ts";
export { type FuzzCase, parseCase } from "./report.ts";
export { playAndJudge, runFuzzer } from "./run.ts";
export { type Script, scriptSchema } from "./script.ts";
