import { applyOwnershipStep } from "@tamarackgauge/core";
import type { Configuration, Member, Ownership, Policy, Refusal } from "@tamarackgauge/core";
import type { Clock, Settings } from "@tamarackgauge/core";
import { configurationIndexOf } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import type { Timeline } from "@tamarackgauge/timeline";
import { createBudgets } from "./budgets.ts";
import type { Budgets } from "./budgets.ts";
import { createCommitter } from "./committer.ts";
import type { Committer } from "./committer.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { estimateTokens } from "./modelRun.ts";
import { createOwner } from "./owner.ts";
import type { Owner } from "./owner.ts";
import { createOwnershipKeeper } from "./ownership.ts";
import type { OwnershipKeeper } from "./ownership.ts";
import type { CacheReleaser } from "./releases.ts";
import type { Services } from "./services.ts";

/** The parts of a daemon that depend on one lease. When the lease is lost, they are disposed of and created again. */
export interface Incarnation {
    readonly committer: Committer;
    readonly ownership: OwnershipKeeper;
    readonly budgets: Budgets;
    readonly owner: Owner;
    /** Hands over the partitions, returns the budgets and releases the lease; the signal is the deadline. */
    leave(signal: AbortSignal): Promise<void>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of an incarnation. */
export interface IncarnationOptions {
    readonly settings: Settings;
    readonly id: string;
    readonly member: Omit<Member, "incarnation">;
    readonly table: Table;
    readonly clock: Clock;
    readonly policy: Policy;
    readonly dispatcher: Dispatcher;
    readonly services: Services;
    readonly cacheReleaser: CacheReleaser;
    readonly timeline: Timeline;
    readonly configuration: () => Configuration | undefined;
    readonly admit: (committer: Committer, map: Ownership | undefined, atMostOnce: boolean) => Refusal | undefined;
    readonly isParentActive: (key: string) => Promise<boolean>;
    readonly onMap: (map: Ownership, version: number) => void;
    readonly onFenced: () => void;
    readonly onCommit: (duration: number | undefined) => void;
}

/** Acquires the lease and creates the parts, without joining the ownership map. Throws if the store does not answer. */
export async function createIncarnation(options: IncarnationOptions): Promise<Incarnation> {
    const { settings, table, clock, timeline } = options;
    const { name } = settings;
    const committer = await createCommitter({
        table,
        name,
        incarnation: options.id,
        clock,
        ttl: settings.leaseTtl,
        renewal: settings.leaseRenewal,
        commitInterval: settings.commitInterval,
        onFenced: () => {
            timeline.record({ part: "owner", event: "leaseFenced", fields: { daemon: name } });
            owner.abandon();
            budgets.abandon();
            options.onFenced();
        },
        onCommit: options.onCommit,
    });
    timeline.record({ part: "owner", event: "leaseAcquired", fields: { incarnation: options.id } });
    const budgets = createBudgets({
        table,
        name,
        incarnation: options.id,
        clock,
        limitsOf: plan => {
            const configuration = options.configuration();
            return configuration === undefined ? undefined : configurationIndexOf(configuration).allowance(plan);
        },
    });
    const owner = createOwner({
        ...options,
        name,
        committer,
        budgets,
        partitions: settings.partitions,
        sealKey: settings.sealKey,
        turnLimit: settings.turnLimit,
        idleTimeout: settings.idleTimeout,
        toolTimeout: settings.toolTimeout,
        admit: atMostOnce => options.admit(committer, ownership.map(), atMostOnce),
        tokensOf: estimateTokens,
    });
    const ownership = createOwnershipKeeper({
        table,
        committer,
        name,
        member: { ...options.member, incarnation: options.id },
        partitions: settings.partitions,
        clock,
        ttl: settings.leaseTtl,
        pollInterval: settings.leaseRenewal,
        onMap: (map, version) => {
            if (!committer.fenced()) {
                owner.setMap(mapForIncarnation(map, name, options.id));
            }
            options.onMap(map, version);
        },
        drain: (partitions, signal) => owner.drain(partitions, signal),
        resume: partitions => owner.resume(partitions),
        onTakeover: (daemon, partitions) => {
            timeline.record({ part: "owner", event: "takeover", fields: { daemon, partitions } });
        },
        onHandOver: (daemon, partitions) => {
            timeline.record({ part: "owner", event: "handOverFinished", fields: { daemon, partitions } });
        },
    });

    async function leave(signal: AbortSignal): Promise<void> {
        await ownership.leave(signal);
        await budgets.leave();
        await committer.releaseLease().catch(() => undefined);
    }

    return {
        committer,
        ownership,
        budgets,
        owner,
        leave,
        [Symbol.asyncDispose]: async () => {
            await ownership[Symbol.asyncDispose]();
            await owner[Symbol.asyncDispose]();
            await budgets[Symbol.asyncDispose]();
            await committer[Symbol.asyncDispose]();
        },
    };
}

/** The map without this daemon if it names an earlier incarnation, whose partitions this one does not own yet. */
function mapForIncarnation(map: Ownership, name: string, incarnation: string): Ownership {
    return map.members[name]?.incarnation === incarnation ? map : applyOwnershipStep(map, { type: "remove", name });
}
