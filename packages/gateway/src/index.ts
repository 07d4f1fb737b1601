export { createGatewayCommands } from "./commands.ts";
export { createGateway, type Gateway, type GatewayParts } from "./gateway.ts";
export { runGateway } from "./run.ts";
