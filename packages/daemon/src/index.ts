export * from "./daemon.ts";
