export * from "./event.ts";
export * from "./merge.ts";
export * from "./record.ts";
export * from "./route.ts";
export * from "./sink.ts";
export * from "./timeline.ts";
