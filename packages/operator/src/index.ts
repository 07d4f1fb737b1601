export { createOperatorClient, type OperatorClient, type Reply } from "./client.ts";
export { createOperatorCommands, exitCodes, operatorKeyVariable, type Terminal } from "./command.ts";
export { type ConfigurationStore, createAuthorization, createOperatorRoutes, type DaemonStatus,
    type OperatorOptions } from "./routes.ts";
