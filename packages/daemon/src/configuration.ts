import { applyChange, change, configuration, createConfiguration, diffConfiguration,
    refuse } from "@tamarackgauge/core";
import type { Change, Clock, Configuration, ConfigurationLists, Refusal } from "@tamarackgauge/core";
import type { Table } from "@tamarackgauge/table";
import createDebug from "debug";
import { pack, unpack } from "msgpackr";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import { z } from "zod";
import { createPauseDetector } from "./pause.ts";
import { keys } from "./rows.ts";
import { sleep } from "./wait.ts";

const log = createDebug("tamarackgauge:configuration");

/** Follows the stored configuration at this daemon and changes it for all daemons. */
export interface ConfigurationKeeper {
    current(): Configuration | undefined;
    version(): number;
    /** Milliseconds since the store or a peer last confirmed that the current version is the newest. */
    confirmationAge(): number;
    /** Reads newer versions from the store, or from peers if the store does not answer. */
    refresh(): Promise<void>;
    /** Handles the version in a peer's heartbeat: a newer one starts a refresh, the same one confirms the current. */
    handlePeerVersion(version: number): void;
    /** Reads the configuration from the store, for operators. Throws a `TableError`. */
    read(): Promise<Configuration>;
    /**
     * Replaces the lists if `expected` is the version in force. After a lost reply, `changeId` shows whether this
     * change or a concurrent one was applied.
     */
    apply(expected: number, lists: ConfigurationLists, changeId: string): Promise<Either<Refusal, Configuration>>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the keeper; times in milliseconds. */
export interface ConfigurationOptions {
    readonly table: Table;
    readonly clock: Clock;
    readonly onConfiguration: (configuration: Configuration) => void;
    /** Requests the complete configuration from peers if it is newer than a version. */
    readonly queryPeers: (version: number) => Promise<Configuration | undefined>;
    readonly pollInterval?: number;
}

const headRow = z.object({ version: z.number().int(), changeId: z.string() });
const changeRow = z.object({ changeId: z.string(), change });
const emptyConfiguration = createConfiguration(0, { plans: [], allowances: [] });

/** Polling every 2 s, together with heartbeats, puts a change in force on all daemons within 5 s. */
const defaultPollIntervalMs = 2_000;
const maxApplyAttempts = 20;
const applyRetryIntervalMs = 200;

/** Creates the keeper and starts polling the store. */
export function createConfigurationKeeper(options: ConfigurationOptions): ConfigurationKeeper {
    const { table } = options;
    let current: Configuration | undefined;
    let refreshing: Promise<void> | undefined;
    let confirmedAt = -Infinity;
    const pauseDetector = createPauseDetector(options.clock);
    const timer = setInterval(() => void refresh().catch(() => undefined),
        options.pollInterval ?? defaultPollIntervalMs);

    function accept(next: Configuration): void {
        if (current !== undefined && next.version <= current.version) {
            return;
        }
        current = next;
        log("Configuration version %d is in force.", next.version);
        options.onConfiguration(next);
    }

    function refresh(): Promise<void> {
        refreshing ??= refreshOnce().finally(() => {
            refreshing = undefined;
        });
        return refreshing;
    }

    async function refreshOnce(): Promise<void> {
        const startedAt = options.clock.monotonic();
        try {
            accept(await read());
            confirmedAt = startedAt;
        }
        catch (error) {
            log("The configuration could not be read from the store: %s.", (error as Error).message);
            const peerConfiguration = await options.queryPeers(current?.version ?? -1).catch(() => undefined);
            if (peerConfiguration !== undefined) {
                accept(configuration.parse(peerConfiguration));
            }
        }
    }

    async function read(): Promise<Configuration> {
        const row = await table.get(keys.configurationHead);
        const known = current ?? emptyConfiguration;
        const target = row === undefined ? 0 : headRow.parse(unpack(row.value)).version;
        return target <= known.version ? known : readChanges(known, target);
    }

    async function readChanges(known: Configuration, target: number): Promise<Configuration> {
        let result = known;
        while (result.version < target) {
            const after = keys.configurationChange(result.version);
            const page = await table.range(changePrefix, after);
            for (const row of page.rows) {
                result = applyChange(result, changeRow.parse(unpack(row.value)).change);
            }
            if (page.rows.length === 0) {
                throw new Error(`version ${target} is announced, but changes after ${result.version} are missing`);
            }
        }
        return result;
    }

    async function apply(expected: number, lists: ConfigurationLists,
        changeId: string): Promise<Either<Refusal, Configuration>> {
        for (let attempt = 0; attempt < maxApplyAttempts; attempt += 1) {
            try {
                return await tryApply(expected, lists, changeId);
            }
            catch (error) {
                log("The store did not confirm a configuration change: %s.", (error as Error).message);
                await sleep(applyRetryIntervalMs);
            }
        }
        return Left(refuse("store_unavailable", "unknown", "the change may have been stored; read it back"));
    }

    /** Whether `version` was created by the change with this identity. */
    async function isChange(version: number, changeId: string): Promise<boolean> {
        const row = await table.get(keys.configurationChange(version));
        return row !== undefined && changeRow.parse(unpack(row.value)).changeId === changeId;
    }

    async function tryApply(expected: number, lists: ConfigurationLists,
        changeId: string): Promise<Either<Refusal, Configuration>> {
        const row = await table.get(keys.configurationHead);
        const before = await read();
        accept(before);
        // After a lost reply, another change may have followed this one, so the head row is not conclusive.
        if (before.version > expected && await isChange(expected + 1, changeId)) {
            return Right(before);
        }
        if (before.version !== expected) {
            return Left(refuse("version_conflict", "notRun", `expected ${expected}, in force is ${before.version}`));
        }
        const next = createConfiguration(before.version + 1, lists);
        const result = await table.commit({
            checks: [{ key: keys.configurationHead, revision: row?.revision ?? "0" }],
            puts: [
                { key: keys.configurationHead, value: pack({ version: next.version, changeId }) },
                {
                    key: keys.configurationChange(next.version),
                    value: pack({ changeId, change: diffConfiguration(before, next) satisfies Change }),
                },
            ],
        });
        if (!result.applied) {
            return tryApply(expected, lists, changeId);
        }
        accept(next);
        return Right(next);
    }

    return {
        current: () => current,
        version: () => current?.version ?? 0,
        confirmationAge: () => options.clock.monotonic() - confirmedAt,
        refresh,
        handlePeerVersion: version => {
            if (version > (current?.version ?? 0)) {
                void refresh().catch(() => undefined);
            }
            else if (version === current?.version && !pauseDetector.resumedRecently()) {
                // A heartbeat that was sent before this process was paused is outdated and confirms nothing.
                confirmedAt = options.clock.monotonic();
            }
        },
        read,
        apply,
        [Symbol.asyncDispose]: async () => {
            clearInterval(timer);
            pauseDetector[Symbol.dispose]();
        },
    };
}

const changePrefix = "config/log/";
