export { createGatewayCommands } from "./commands.ts";
export { createGateway, type Gateway, type GatewayParts } from "./gateway.ts";
export { type LogLine, parseLogLine } from "./logLine.ts";
export { runGateway } from "./run.ts";
