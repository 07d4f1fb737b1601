export * from "./table.ts";
export * from "./vms.ts";
