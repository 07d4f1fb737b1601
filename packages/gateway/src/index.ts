export * from "./gateway.ts";
