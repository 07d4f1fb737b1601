export type { Answer } from "./asks.ts";
export type { News, VersionHolder } from "./beat.ts";
export { createPeers, type LinkState, type Member, type Peers, type PeersOptions } from "./peers.ts";
export { AskError, CancelledError, describe, LinkError, type Reason, reasons } from "./reason.ts";
export type { Serve } from "./serving.ts";
export { defaultSettings, type Settings } from "./setting.ts";
export type { Traffic } from "./traffic.ts";
