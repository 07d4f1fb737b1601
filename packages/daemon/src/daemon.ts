import { createFront } from "@tamarackgauge/caller";
import type { Front, StreamingRoute } from "@tamarackgauge/caller";
import { configurationIndexOf, createPolicy, createRandom, policyNames, refuse,
    systemClock } from "@tamarackgauge/core";
import type { Call, Configuration, Heartbeat, Ownership, Refusal, Route, Settings } from "@tamarackgauge/core";
import { createPeers } from "@tamarackgauge/peer";
import type { Peers } from "@tamarackgauge/peer";
import { createTable, createVmSource } from "@tamarackgauge/table";
import { createTimeline } from "@tamarackgauge/timeline";
import type { Sink, Timeline } from "@tamarackgauge/timeline";
import createDebug from "debug";
import { randomBytes } from "node:crypto";
import type { Committer } from "./committer.ts";
import { createConfigurationKeeper } from "./configuration.ts";
import type { ConfigurationKeeper } from "./configuration.ts";
import { createDispatcher } from "./dispatcher.ts";
import { createEngineController } from "./engineController.ts";
import { createEntry, queryNames } from "./entry.ts";
import { admit } from "./gate.ts";
import { createIncarnation } from "./incarnation.ts";
import type { Incarnation } from "./incarnation.ts";
import { createMetrics } from "./metrics.ts";
import { createCacheReleaser } from "./releases.ts";
import { createServices } from "./services.ts";
import { createUpstreams } from "./upstreams.ts";
import { sleep, waitForAbort } from "./wait.ts";

const log = createDebug("tamarackgauge:daemon");

/** A running daemon: the entry, owner and peer roles in one process. */
export interface Daemon {
    readonly name: string;
    /** Port for callers and operators. */
    readonly port: number;
    readonly peerPort: number;
    readonly timeline: Timeline;
    /** Whether it serves calls: it has a lease, an ownership map and a confirmed configuration. */
    ready(): boolean;
    /**
     * Hands over the programs and waits for streams to finish, until the shutdown deadline of the settings. Returns
     * true if all streams finished. `force` ends the wait at once; streams still open then end with a refusal.
     */
    shutDown(force?: AbortSignal): Promise<boolean>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of a daemon. */
export interface DaemonOptions {
    readonly settings: Settings;
    /** Receives each event of the timeline as it is recorded. */
    readonly sink?: Sink;
    /** Creates additional routes, such as those for operators. */
    readonly routes?: (context: RouteContext) => readonly (Route | StreamingRoute)[];
}

/** The parts of a daemon that additional routes may use. */
export interface RouteContext {
    readonly name: string;
    readonly configuration: ConfigurationKeeper;
    readonly timeline: Timeline;
    readonly status: () => Status;
}

/** The state of a daemon as operators see it. */
export interface Status {
    readonly name: string;
    readonly ready: boolean;
    /** Why it is not ready. */
    readonly reason: string | undefined;
    readonly configurationVersion: number;
    readonly ownershipVersion: number;
    /** Daemon that owns each partition, by partition number. */
    readonly map: { readonly owners: readonly string[]; };
    readonly programs: number;
    /** Milliseconds since the last successful request to the store; undefined before the first. */
    readonly storeAge: number | undefined;
    /** Milliseconds since the last confirmation of the lease; undefined without a lease. */
    readonly leaseAge: number | undefined;
    readonly peers: readonly { readonly name: string; readonly up: boolean; }[];
}

const rejoinDelayMs = 500;
const peerQueryTimeoutMs = 1_000;
/** While neither the store nor a peer has confirmed the configuration for this long, no call is admitted. */
const maxConfigurationAgeMs = 4_000;

/** Starts a daemon; resolves when its ports are open. It serves once `ready()` holds. */
export async function createDaemon(options: DaemonOptions): Promise<Daemon> {
    const { settings } = options;
    const { name } = settings;
    const clock = systemClock;
    const processIncarnation = randomBytes(4).toString("hex");
    const timeline = createTimeline({ process: name, incarnation: processIncarnation, clock,
        ...sinkOption(options.sink) });
    const table = createTable({ url: settings.platformUrl.replace(/\/$/, "") });
    const vmSource = createVmSource(settings.platformUrl.replace(/\/$/, ""));
    const policy = createPolicy(policyNameOf(settings.policy), {
        random: createRandom(randomBytes(4).readUInt32LE()),
        settings: { patienceMs: settings.patience },
    });
    const services = createServices();
    const metrics = createMetrics();
    const heartbeats = new Map<string, { readonly heartbeat: Heartbeat; readonly receivedAt: number; }>();
    let incarnation: Incarnation | undefined;
    let ownership: { readonly map: Ownership; readonly version: number; } | undefined;
    let incarnationSerial = 0;
    let leaving = false;
    let joining = false;
    let stopped = false;
    let storeDownSince: number | undefined;

    const dispatcher = createDispatcher({
        policy,
        clock,
        clientOf: engine => upstreams.clientOf(engine),
        onDispatch: (engine, program) => engineController.recordDispatch(engine, program),
    });
    const upstreams = createUpstreams({ source: vmSource, policy, services, clock,
        onChange: () => dispatcher.scheduleDispatch() });
    const cacheReleaser = createCacheReleaser({
        engines: () => upstreams.engines(),
        clientOf: engine => upstreams.clientOf(engine),
        isLive: key => incarnation?.owner.isLive(key),
    });
    const configuration = createConfigurationKeeper({ table, clock, onConfiguration, queryPeers });
    const engineController = createEngineController({
        name,
        clock,
        policy,
        upstreams,
        dispatcher,
        incarnation: () => incarnation,
        configuration: () => configuration.current(),
        heartbeats: () => heartbeats,
    });
    const entry = createEntry({
        name,
        partitions: settings.partitions,
        ownershipMap: () => ownership?.map,
        refreshOwnership: async () => incarnation?.ownership.refresh(),
        localOwner: () => incarnation?.owner,
        peers: () => peers,
        timeline,
        clock,
    });
    const peers: Peers = await createPeers({
        name,
        incarnation: processIncarnation,
        address: settings.address,
        port: settings.peerPort,
        clusterKey: settings.clusterKey,
        clock,
        currentHeartbeat,
        onHeartbeat,
        onNewVersion: versions => {
            configuration.handlePeerVersion(versions.configuration.version);
            void incarnation?.ownership.refresh(versions.ownership.version).catch(() => undefined);
        },
        onLinkChange: (daemon, state, reason) => {
            const event = state === "up" ? "linkUp" : "linkDown";
            timeline.record({ part: "peer", event, fields: { daemon, error: reason } });
        },
        handleCall: (_from, call, signal) => serveForPeer(call, signal),
        handleQuery: (_from, kind, body) => answerQuery(kind, body),
    });
    const front: Front = await createFront({
        address: settings.address,
        port: settings.port,
        limits: { maxBody: settings.maxBody, maxHeader: settings.maxHeader, maxStreams: settings.maxStreams },
        configuration: configurationInForce,
        serve: (call, signal) => {
            const admitted = { ...call, configurationVersion: configuration.version() };
            return metrics.observe(entry.serve(admitted, signal), clock);
        },
        endProgram: (plan, program) => entry.endProgram(plan, program),
        unreadyReason,
        metrics: () => metrics.text(),
        routes: options.routes?.({ name, configuration, timeline, status }) ?? [],
        clock,
        onRefusal: refusal => metrics.recordRefusal(refusal),
    });
    metrics.registerGauges({
        programs: () => incarnation?.owner.programCount() ?? 0,
        waitingCalls: () => policy.waitingCount(),
        queuedBytes: () => incarnation?.committer.queuedBytes() ?? 0,
        traffic: () => peers.traffic(),
    });

    function currentHeartbeat(): Heartbeat {
        const storeAge = currentStoreAge();
        return {
            configurationVersion: configuration.version(),
            ownershipVersion: ownership?.version ?? 0,
            leaving,
            inFlight: dispatcher.inFlight(),
            waiting: dispatcher.waiting(),
            ...storeAge === undefined ? {} : { storeAge },
        };
    }

    function onHeartbeat(peer: string, received: Heartbeat): void {
        const now = clock.monotonic();
        heartbeats.set(peer, { heartbeat: received, receivedAt: now });
        configuration.handlePeerVersion(received.configurationVersion);
        policy.setPeerCounts(peer, received.inFlight, now);
    }

    /** The configuration; undefined if a newer one may have been accepted without this daemon's knowledge. */
    function configurationInForce(): Configuration | undefined {
        const isOnlyMember = Object.keys(ownership?.map.members ?? {}).length === 1 &&
            ownership?.map.members[name] !== undefined;
        const isConfirmed = isOnlyMember || configuration.confirmationAge() < maxConfigurationAgeMs;
        return configuration.version() > 0 && isConfirmed ? configuration.current() : undefined;
    }

    function currentStoreAge(): number | undefined {
        const last = table.lastSuccess();
        return last === undefined ? undefined : Math.round(clock.monotonic() - last);
    }

    async function* serveForPeer(call: Call, signal: AbortSignal) {
        if (call.trace !== undefined) {
            timeline.observe(call.trace.stamp);
        }
        await updateConfigurationFor(call);
        const owner = incarnation?.owner;
        if (owner === undefined) {
            yield { type: "refused", refusal: refuse("owner_unreachable", "notRun") } as const;
            return;
        }
        yield* owner.serve(call, signal);
    }

    /** Fetches the configuration under which the call was admitted, so that replaced limits do not refuse the call. */
    async function updateConfigurationFor(call: Call): Promise<void> {
        if ((call.configurationVersion ?? 0) > configuration.version()) {
            await configuration.refresh().catch(() => undefined);
        }
    }

    async function answerQuery(kind: string, body: unknown): Promise<unknown> {
        const owner = incarnation?.owner;
        switch (kind) {
            case queryNames.endProgram: {
                const { plan, program } = body as { readonly plan: string; readonly program: string; };
                return await owner?.endProgram(plan, program) ?? (owner === undefined ? noOwnerRefusal() : null);
            }
            case queryNames.isActive:
                return await owner?.isActive((body as { readonly key: string; }).key) ?? false;
            case configurationQuery:
                return (body as { readonly version: number; }).version < configuration.version()
                    ? configuration.current()
                    : null;
            default:
                throw new Error(`unknown question ${kind}`);
        }
    }

    function noOwnerRefusal(): Refusal {
        return refuse("owner_unreachable", "notRun");
    }

    async function queryPeers(version: number): Promise<Configuration | undefined> {
        // Queries only peers that announced a newer version, newest first, since a paused peer costs the whole timeout.
        const versionOf = (peer: string) => heartbeats.get(peer)?.heartbeat.configurationVersion ?? 0;
        const newer = peers.links()
            .filter(({ peer, up }) => up && versionOf(peer) > version)
            .toSorted((left, right) => versionOf(right.peer) - versionOf(left.peer))
            .slice(0, maxPeersQueried);
        const responses = newer.map(({ peer }) =>
            peers.query(peer, configurationQuery, { version }, peerQueryTimeoutMs)
        );
        const results = await Promise.allSettled(responses);
        return results
            .flatMap(each =>
                each.status === "fulfilled" && (each.value ?? undefined) !== undefined
                    ? [each.value as Configuration]
                    : []
            )
            .toSorted((left, right) => right.version - left.version)[0];
    }

    function onConfiguration(next: Configuration): void {
        timeline.record({ part: "operator", event: "configurationInForce", fields: { version: next.version } });
        configurationIndexOf(next);
        incarnation?.budgets.applyLimits();
    }

    function callRefusal(committer: Committer, map: Ownership | undefined, atMostOnce: boolean): Refusal | undefined {
        const now = clock.monotonic();
        return admit({
            leaseValid: committer.leaseValid(),
            ttl: settings.leaseTtl,
            members: Object.keys(map?.members ?? {}).length,
            heartbeats: [...heartbeats].filter(([peer]) => map?.members[peer] !== undefined)
                .map(([, { heartbeat: last, receivedAt }]) => ({ heartbeat: last, age: now - receivedAt })),
            queuedBytes: committer.queuedBytes(),
        }, atMostOnce);
    }

    function unreadyReason(): string | undefined {
        if (leaving) {
            return "leaving";
        }
        if (configurationInForce() === undefined) {
            return "no confirmed configuration";
        }
        if (incarnation === undefined || ownership === undefined) {
            return "no lease";
        }
        return callRefusal(incarnation.committer, ownership.map, false)?.message;
    }

    function status(): Status {
        return {
            name,
            ready: unreadyReason() === undefined,
            reason: unreadyReason(),
            configurationVersion: configuration.version(),
            ownershipVersion: ownership?.version ?? 0,
            map: { owners: ownership?.map.owners ?? [] },
            programs: incarnation?.owner.programCount() ?? 0,
            storeAge: currentStoreAge(),
            leaseAge: incarnation === undefined ? undefined : Math.round(incarnation.committer.leaseAge()),
            peers: peers.links().map(({ peer, up }) => ({ name: peer, up })),
        };
    }

    function onMap(next: Ownership, version: number): void {
        if (ownership !== undefined && version <= ownership.version) {
            return;
        }
        ownership = { map: next, version };
        timeline.record({ part: "owner", event: "ownershipVersion", fields: { version } });
        const others = Object.entries(next.members).filter(([other]) => other !== name);
        engineController.onOwnershipChange();
        peers.setMembers(others.map(([other, { address, port }]) => ({ name: other, address, port })));
    }

    function onCommit(duration: number | undefined): void {
        const now = clock.monotonic();
        if (duration === undefined) {
            if (storeDownSince === undefined) {
                storeDownSince = now;
                timeline.record({ part: "store", event: "storeDown" });
            }
            return;
        }
        metrics.recordCommit(duration);
        if (storeDownSince !== undefined) {
            const downMs = Math.round(now - storeDownSince);
            storeDownSince = undefined;
            timeline.record({ part: "store", event: "storeUp", fields: { downMs } });
        }
    }

    /** Joins the ownership map with a new incarnation, and retries until this succeeds. */
    async function joinWithRetry(): Promise<void> {
        joining = true;
        while (!stopped && !leaving) {
            try {
                await joinOnce();
                break;
            }
            catch (error) {
                log("Joining the ownership map failed: %s.", (error as Error).message);
                await sleep(rejoinDelayMs);
            }
        }
        joining = false;
    }

    async function joinOnce(): Promise<void> {
        incarnationSerial += 1;
        const next = await createIncarnation({
            settings,
            id: `${processIncarnation}-${incarnationSerial}`,
            member: {
                address: settings.address,
                port: peers.port,
                dataCentre: settings.dataCentre,
                leaving: false,
            },
            table,
            clock,
            policy,
            dispatcher,
            services,
            cacheReleaser,
            timeline,
            configuration: () => configuration.current(),
            admit: callRefusal,
            isParentActive: key => entry.isActive(key),
            onMap,
            onFenced: () => void rejoin(next),
            onCommit,
        });
        incarnation = next;
        try {
            await next.ownership.join();
        }
        catch (error) {
            incarnation = undefined;
            await next[Symbol.asyncDispose]();
            throw error;
        }
        log("Daemon %s joined as incarnation %s.", name, next.committer.incarnation);
    }

    /**
     * Replaces an incarnation that was fenced. Does nothing while joining: an incarnation that failed to join is fenced
     * by its successor, which must be kept.
     */
    async function rejoin(old: Incarnation): Promise<void> {
        if (incarnation !== old || joining) {
            return;
        }
        incarnation = undefined;
        await old[Symbol.asyncDispose]();
        await joinWithRetry();
    }

    async function shutDown(force?: AbortSignal): Promise<boolean> {
        leaving = true;
        timeline.record({ part: "daemon", event: "shutdownStarted" });
        const deadline = AbortSignal.timeout(settings.shutdownDeadline);
        const signal = force === undefined ? deadline : AbortSignal.any([deadline, force]);
        const streams = Promise.all([front.drain(), peers.drain()]);
        // Without the store the handover does not finish, so the wait ends with the signal at the latest.
        await Promise.race([incarnation?.leave(signal), waitForAbort(signal)]);
        const allFinished = await Promise.race([streams.then(() => true), waitForAbort(signal).then(() => false)]);
        timeline.record({ part: "daemon", event: "shutdownFinished", fields: { code: allFinished ? 0 : 1 } });
        return allFinished;
    }

    await configuration.refresh().catch(() => undefined);
    const joined = joinWithRetry();

    return {
        name,
        port: front.port,
        peerPort: peers.port,
        timeline,
        ready: () => unreadyReason() === undefined,
        shutDown,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            await front[Symbol.asyncDispose]();
            await peers[Symbol.asyncDispose]();
            await Promise.race([joined, waitForAbort(AbortSignal.timeout(rejoinDelayMs))]);
            await incarnation?.[Symbol.asyncDispose]();
            await configuration[Symbol.asyncDispose]();
            await engineController[Symbol.asyncDispose]();
            await cacheReleaser[Symbol.asyncDispose]();
            await upstreams[Symbol.asyncDispose]();
            await services[Symbol.asyncDispose]();
            await dispatcher[Symbol.asyncDispose]();
            await vmSource[Symbol.asyncDispose]();
            await table[Symbol.asyncDispose]();
        },
    };
}

const configurationQuery = "configuration";
/** Maximum number of peers queried in parallel for a configuration; with three, two of them may be paused. */
const maxPeersQueried = 3;

function policyNameOf(name: string) {
    return policyNames.find(each => each === name) ?? "attainedService";
}

function sinkOption(sink: Sink | undefined) {
    return sink === undefined ? {} : { sink };
}
