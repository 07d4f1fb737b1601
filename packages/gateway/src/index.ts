export { createGatewayCommands } from "./commands.ts";
export { createDisposal, type Disposal } from "./disposal.ts";
export { createGateway, type Gateway, type GatewayParts } from "./gateway.ts";
export { inProcessDefaults, type InProcessGateway, type RecordedLogLine, startInProcess } from "./inProcess.ts";
export { type LogLine, parseLogLine } from "./logLine.ts";
export { runGateway } from "./run.ts";
