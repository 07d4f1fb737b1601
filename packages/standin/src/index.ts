export { standinCommands } from "./command.ts";
export type { EngineCounts } from "./engine/counts.ts";
export { createEngine } from "./engine/engine.ts";
export type { Engine } from "./engine/engine.ts";
export type { OrderState } from "./engine/orders.ts";
export type { EngineOptions } from "./engine/settings.ts";
export type { Fault } from "./faults.ts";
export { createForwarder } from "./forwarder.ts";
export type { Direction, Forwarder, ForwarderCounts, ForwarderOptions, Silence } from "./forwarder.ts";
export { gatewayDeclaration, gatewayReadinessPath } from "./gatewayDeclaration.ts";
export { createGatewayUpstream } from "./gatewayUpstream.ts";
export type { Arrival, ExecutedCall, GatewayUpstream, GatewayUpstreamOptions, NamedLimit,
    UpstreamBehaviour } from "./gatewayUpstream.ts";
export { readAnswerHead, readCallHead, renderAnswerHead, renderCall, renderChunks,
    withoutCallId } from "./gatewayWire.ts";
export type { ReceivedCallHead, WireAnswer, WireAnswerHead, WireCall } from "./gatewayWire.ts";
export { headerValues, parseMessage } from "./httpMessage.ts";
export type { HttpMessage, MessageHead, MessageOptions, ParsedMessage } from "./httpMessage.ts";
export type { Standin } from "./listener.ts";
export { createPlatform } from "./platform.ts";
export type { Platform, PlatformCounts, PlatformOptions } from "./platform.ts";
export { freeAddress, ownHost, startRawServer } from "./rawServer.ts";
export type { RawServer } from "./rawServer.ts";
export { createRowStore } from "./rowStore.ts";
export type { RowStore, RowStoreFault, RowStoreListener } from "./rowStore.ts";
export { createService } from "./service.ts";
export type { Behaviour, Service, ServiceCounts, ServiceOptions } from "./service.ts";
export type { Vm, VmList } from "./vms.ts";
