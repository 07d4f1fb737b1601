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
import { createEngineKeeper } from "./engineController.ts";
import { asks, createEntry } from "./entry.ts";
import { judge } from "./gate.ts";
import { createIncarnation } from "./incarnation.ts";
import type { Incarnation } from "./incarnation.ts";
import { createMetrics } from "./metrics.ts";
import { createReleases } from "./releases.ts";
import { createServices } from "./services.ts";
import { createUpstreams } from "./upstreams.ts";
import { aborted, sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:daemon");

/** A running daemon: entry, owner and peer in one process. */
export interface Daemon {
    readonly name: string;
    /** Port of callers and operators. */
    readonly port: number;
    readonly peerPort: number;
    readonly timeline: Timeline;
    /** Whether it serves: it has a lease, a map and a configuration. */
    ready(): boolean;
    /**
     * Hands over and lets streams finish; the deadline is a setting. True when nothing was cut off.
     * `hurry` ends the wait: what is still open gets its last answer at once.
     */
    shutDown(hurry?: AbortSignal): Promise<boolean>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** What the composition takes besides the settings. */
export interface DaemonOptions {
    readonly settings: Settings;
    /** Receives each event of the timeline as it is recorded. */
    readonly sink?: Sink;
    /** Routes beside the calls, such as those of operators, built around the parts that they need. */
    readonly routes?: (parts: RouteParts) => readonly (Route | StreamingRoute)[];
}

/** The parts of a daemon that routes may use. */
export interface RouteParts {
    readonly name: string;
    readonly configuration: ConfigurationKeeper;
    readonly timeline: Timeline;
    readonly status: () => Status;
}

/** A daemon's own view, for operators. */
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
    /** Milliseconds since the store answered; undefined before the first answer. */
    readonly storeAge: number | undefined;
    /** Milliseconds since the lease was confirmed; undefined without a lease. */
    readonly leaseAge: number | undefined;
    readonly peers: readonly { readonly name: string; readonly up: boolean; }[];
}

const rejoinPause = 500;
const peerAskTimeout = 1_000;
/** A configuration that neither the store nor a peer has confirmed for this long (milliseconds) admits nothing. */
const configurationAge = 4_000;

/** Starts a daemon; resolves when its ports are open. It serves once `ready()` holds. */
export async function createDaemon(options: DaemonOptions): Promise<Daemon> {
    const { settings } = options;
    const { name } = settings;
    const clock = systemClock;
    const life = randomBytes(4).toString("hex");
    const timeline = createTimeline({ process: name, incarnation: life, clock, ...sinkOf(options.sink) });
    const table = createTable({ url: settings.platformUrl.replace(/\/$/, "") });
    const vmSource = createVmSource(settings.platformUrl.replace(/\/$/, ""));
    const policy = createPolicy(policyOf(settings.policy), {
        random: createRandom(randomBytes(4).readUInt32LE()),
        settings: { patienceMs: settings.patience },
    });
    const services = createServices();
    const metrics = createMetrics();
    const beats = new Map<string, { readonly beat: Heartbeat; readonly at: number; }>();
    let incarnation: Incarnation | undefined;
    let map: { readonly map: Ownership; readonly version: number; } | undefined;
    let serial = 0;
    let leaving = false;
    let joining = false;
    let stopped = false;
    let storeDownSince: number | undefined;

    const dispatcher = createDispatcher({
        policy,
        clock,
        clientOf: engine => upstreams.clientOf(engine),
        onDispatch: (engine, program) => engineKeeper.dispatched(engine, program),
    });
    const upstreams = createUpstreams({ source: vmSource, policy, services, clock, onChange: () => dispatcher.poke() });
    const releases = createReleases({
        engines: () => upstreams.engines(),
        clientOf: engine => upstreams.clientOf(engine),
        isLive: key => incarnation?.owner.holds(key),
    });
    const configuration = createConfigurationKeeper({ table, clock, onConfiguration: enforce, askPeers });
    const engineKeeper = createEngineKeeper({
        name,
        clock,
        policy,
        upstreams,
        dispatcher,
        incarnation: () => incarnation,
        configuration: () => configuration.current(),
        beats: () => beats,
    });
    const entry = createEntry({
        name,
        partitions: settings.partitions,
        map: () => map?.map,
        refreshMap: async () => incarnation?.ownership.refresh(),
        local: () => incarnation?.owner,
        peers: () => peers,
        timeline,
        clock,
    });
    const peers: Peers = await createPeers({
        name,
        incarnation: life,
        address: settings.address,
        port: settings.peerPort,
        clusterKey: settings.clusterKey,
        clock,
        currentHeartbeat: beat,
        onHeartbeat: onBeat,
        onNewVersion: news => {
            configuration.heard(news.configuration.version);
            void incarnation?.ownership.refresh(news.ownership.version).catch(() => undefined);
        },
        onLinkChange: (daemon, state, reason) => {
            const event = state === "up" ? "linkUp" : "linkDown";
            timeline.record({ part: "peer", event, fields: { daemon, error: reason } });
        },
        handleCall: (_from, call, signal) => serveForPeer(call, signal),
        handleQuery: (_from, kind, body) => answerPeer(kind, body),
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
        unreadyReason: unready,
        metrics: () => metrics.text(),
        routes: options.routes?.({ name, configuration, timeline, status }) ?? [],
        clock,
        onRefusal: refusal => metrics.refused(refusal),
    });
    metrics.watch({
        programs: () => incarnation?.owner.programs() ?? 0,
        waiting: () => policy.waitingCount(),
        queuedBytes: () => incarnation?.committer.queuedBytes() ?? 0,
        traffic: () => peers.traffic(),
    });

    function beat(): Heartbeat {
        const storeAge = storeAgeNow();
        return {
            configurationVersion: configuration.version(),
            ownershipVersion: map?.version ?? 0,
            leaving,
            inFlight: dispatcher.inFlight(),
            waiting: dispatcher.waiting(),
            ...storeAge === undefined ? {} : { storeAge },
        };
    }

    function onBeat(peer: string, received: Heartbeat): void {
        const now = clock.monotonic();
        beats.set(peer, { beat: received, at: now });
        configuration.heard(received.configurationVersion);
        policy.setPeerCounts(peer, received.inFlight, now);
    }

    /** The configuration, unless a newer one may have been accepted without this daemon having heard of it. */
    function configurationInForce(): Configuration | undefined {
        const alone = Object.keys(map?.map.members ?? {}).length === 1 && map?.map.members[name] !== undefined;
        const confirmed = alone || configuration.age() < configurationAge;
        return configuration.version() > 0 && confirmed ? configuration.current() : undefined;
    }

    function storeAgeNow(): number | undefined {
        const last = table.lastSuccess();
        return last === undefined ? undefined : Math.round(clock.monotonic() - last);
    }

    async function* serveForPeer(call: Call, signal: AbortSignal) {
        if (call.trace !== undefined) {
            timeline.observe(call.trace.stamp);
        }
        await catchUp(call);
        const owner = incarnation?.owner;
        if (owner === undefined) {
            yield { type: "refused", refusal: refuse("owner_unreachable", "notRun") } as const;
            return;
        }
        yield* owner.serve(call, signal);
    }

    /** A call must not be refused by limits that the operator has already replaced. */
    async function catchUp(call: Call): Promise<void> {
        if ((call.configurationVersion ?? 0) > configuration.version()) {
            await configuration.refresh().catch(() => undefined);
        }
    }

    async function answerPeer(kind: string, body: unknown): Promise<unknown> {
        const owner = incarnation?.owner;
        switch (kind) {
            case asks.endProgram: {
                const { plan, program } = body as { readonly plan: string; readonly program: string; };
                return await owner?.endProgram(plan, program) ?? (owner === undefined ? unowned() : null);
            }
            case asks.isActive:
                return await owner?.isActive((body as { readonly key: string; }).key) ?? false;
            case askConfiguration:
                return (body as { readonly version: number; }).version < configuration.version()
                    ? configuration.current()
                    : null;
            default:
                throw new Error(`unknown question ${kind}`);
        }
    }

    function unowned(): Refusal {
        return refuse("owner_unreachable", "notRun");
    }

    async function askPeers(version: number): Promise<Configuration | undefined> {
        // Only peers that named a newer version, the newest first: a peer that is paused costs its whole timeout.
        const versionOf = (peer: string) => beats.get(peer)?.beat.configurationVersion ?? 0;
        const newer = peers.links()
            .filter(({ peer, up }) => up && versionOf(peer) > version)
            .toSorted((left, right) => versionOf(right.peer) - versionOf(left.peer))
            .slice(0, mostPeersAsked);
        const answers = newer.map(({ peer }) => peers.query(peer, askConfiguration, { version }, peerAskTimeout));
        const found = await Promise.allSettled(answers);
        return found
            .flatMap(each =>
                each.status === "fulfilled" && (each.value ?? undefined) !== undefined
                    ? [each.value as Configuration]
                    : []
            )
            .toSorted((left, right) => right.version - left.version)[0];
    }

    function enforce(next: Configuration): void {
        timeline.record({ part: "operator", event: "configurationInForce", fields: { version: next.version } });
        configurationIndexOf(next);
        incarnation?.budgets.limitsChanged();
    }

    function gate(committer: Committer, current: Ownership | undefined, atMostOnce: boolean): Refusal | undefined {
        const now = clock.monotonic();
        return judge({
            leaseValid: committer.leaseValid(),
            ttl: settings.leaseTtl,
            members: Object.keys(current?.members ?? {}).length,
            beats: [...beats].filter(([peer]) => current?.members[peer] !== undefined)
                .map(([, { beat: last, at }]) => ({ beat: last, age: now - at })),
            queuedBytes: committer.queuedBytes(),
        }, atMostOnce);
    }

    function unready(): string | undefined {
        if (leaving) {
            return "leaving";
        }
        if (configurationInForce() === undefined) {
            return "no confirmed configuration";
        }
        if (incarnation === undefined || map === undefined) {
            return "no lease";
        }
        return gate(incarnation.committer, map.map, false)?.message;
    }

    function status(): Status {
        return {
            name,
            ready: unready() === undefined,
            reason: unready(),
            configurationVersion: configuration.version(),
            ownershipVersion: map?.version ?? 0,
            map: { owners: map?.map.owners ?? [] },
            programs: incarnation?.owner.programs() ?? 0,
            storeAge: storeAgeNow(),
            leaseAge: incarnation === undefined ? undefined : Math.round(incarnation.committer.age()),
            peers: peers.links().map(({ peer, up }) => ({ name: peer, up })),
        };
    }

    function onMap(next: Ownership, version: number): void {
        if (map !== undefined && version <= map.version) {
            return;
        }
        map = { map: next, version };
        timeline.record({ part: "owner", event: "ownershipVersion", fields: { version } });
        const others = Object.entries(next.members).filter(([other]) => other !== name);
        engineKeeper.ownershipChanged();
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
        metrics.committed(duration);
        if (storeDownSince !== undefined) {
            const downMs = Math.round(now - storeDownSince);
            storeDownSince = undefined;
            timeline.record({ part: "store", event: "storeUp", fields: { downMs } });
        }
    }

    /** Joins, and joins again with a new incarnation whenever the lease was lost. */
    async function keepJoined(): Promise<void> {
        joining = true;
        while (!stopped && !leaving) {
            try {
                await joinOnce();
                break;
            }
            catch (error) {
                log("The daemon could not join: %s.", (error as Error).message);
                await sleep(rejoinPause);
            }
        }
        joining = false;
    }

    async function joinOnce(): Promise<void> {
        serial += 1;
        const next = await createIncarnation({
            settings,
            id: `${life}-${serial}`,
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
            releases,
            timeline,
            configuration: () => configuration.current(),
            gate,
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
        log("%s has joined as %s.", name, next.committer.incarnation);
    }

    /** An incarnation that was given up before it joined is fenced by the next one, which stays. */
    async function rejoin(old: Incarnation): Promise<void> {
        if (incarnation !== old || joining) {
            return;
        }
        incarnation = undefined;
        await old[Symbol.asyncDispose]();
        await keepJoined();
    }

    async function shutDown(hurry?: AbortSignal): Promise<boolean> {
        leaving = true;
        timeline.record({ part: "daemon", event: "shutdownStarted" });
        const deadline = AbortSignal.timeout(settings.shutdownDeadline);
        const signal = hurry === undefined ? deadline : AbortSignal.any([deadline, hurry]);
        const streams = Promise.all([front.drain(), peers.drain()]);
        // Without a store nothing can be handed over.
        await Promise.race([incarnation?.leave(signal), aborted(signal)]);
        const finished = await Promise.race([streams.then(() => true), aborted(signal).then(() => false)]);
        timeline.record({ part: "daemon", event: "shutdownFinished", fields: { code: finished ? 0 : 1 } });
        return finished;
    }

    await configuration.refresh().catch(() => undefined);
    const joined = keepJoined();

    return {
        name,
        port: front.port,
        peerPort: peers.port,
        timeline,
        ready: () => unready() === undefined,
        shutDown,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            await front[Symbol.asyncDispose]();
            await peers[Symbol.asyncDispose]();
            await Promise.race([joined, aborted(AbortSignal.timeout(rejoinPause))]);
            await incarnation?.[Symbol.asyncDispose]();
            await configuration[Symbol.asyncDispose]();
            await engineKeeper[Symbol.asyncDispose]();
            await releases[Symbol.asyncDispose]();
            await upstreams[Symbol.asyncDispose]();
            await services[Symbol.asyncDispose]();
            await dispatcher[Symbol.asyncDispose]();
            await vmSource[Symbol.asyncDispose]();
            await table[Symbol.asyncDispose]();
        },
    };
}

const askConfiguration = "configuration";
/** Peers asked at once for a configuration; with three, two may be paused. */
const mostPeersAsked = 3;

function policyOf(name: string) {
    return policyNames.find(each => each === name) ?? "attainedService";
}

function sinkOf(sink: Sink | undefined) {
    return sink === undefined ? {} : { sink };
}
