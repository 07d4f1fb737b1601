export * from "./engine.ts";
export * from "./events.ts";
export * from "./service.ts";
