export type { KnownVersions, VersionHolder } from "./heartbeat.ts";
export { createPeers, type LinkStatus, type Member, type Peers, type PeersOptions } from "./peers.ts";
export type { QueryHandler } from "./queries.ts";
export { CancelledError, type CloseReason, closeReasons, describeReason, LinkError, QueryError } from "./reason.ts";
export type { CallHandler } from "./serving.ts";
export { defaultPeerSettings, type PeerSettings } from "./setting.ts";
export type { Traffic } from "./traffic.ts";
