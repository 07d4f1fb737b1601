export type { News, VersionHolder } from "./heartbeat.ts";
export { createPeers, type LinkState, type Member, type Peers, type PeersOptions } from "./peers.ts";
export type { Answer } from "./queries.ts";
export { AskError, CancelledError, describe, LinkError, type Reason, reasons } from "./reason.ts";
export type { Serve } from "./serving.ts";
export { defaultSettings, type Settings } from "./setting.ts";
export type { Traffic } from "./traffic.ts";
