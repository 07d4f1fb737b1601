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

/** The configuration in force at this daemon, and the way to change it for all. */
export interface ConfigurationKeeper {
    current(): Configuration | undefined;
    version(): number;
    /** Milliseconds since the store or a peer confirmed that there is no newer version. */
    confirmationAge(): number;
    /** Reads what is new in the store, or else at a peer. */
    refresh(): Promise<void>;
    /** A peer names its version in a heartbeat, which confirms ours if it is the same. */
    handlePeerVersion(version: number): void;
    /** The store's configuration now, for operators; throws a `TableError`. */
    read(): Promise<Configuration>;
    /** Replaces the lists if `expected` is the version in force; `changeId` tells a lost reply from a lost race. */
    apply(expected: number, lists: ConfigurationLists, changeId: string): Promise<Either<Refusal, Configuration>>;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the keeper; times in milliseconds. */
export interface ConfigurationOptions {
    readonly table: Table;
    readonly clock: Clock;
    readonly onConfiguration: (configuration: Configuration) => void;
    /** Asks peers for the whole configuration newer than a version. */
    readonly askPeers: (version: number) => Promise<Configuration | undefined>;
    readonly pollInterval?: number;
}

const headRow = z.object({ version: z.number().int(), changeId: z.string() });
const changeRow = z.object({ changeId: z.string(), change });
const emptyConfiguration = createConfiguration(0, { plans: [], allowances: [] });

/** With a poll every 2 s and heartbeats in between, a change is in force everywhere within 5 s. */
const defaultPollIntervalMs = 2_000;
const maxApplyAttempts = 20;
const applyRetryIntervalMs = 200;

/** Creates the keeper and starts following the store. */
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
            const peerConfiguration = await options.askPeers(current?.version ?? -1).catch(() => undefined);
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
                log("A change was not confirmed: %s.", (error as Error).message);
                await sleep(applyRetryIntervalMs);
            }
        }
        return Left(refuse("store_unavailable", "unknown", "the change may have been stored; read it back"));
    }

    /** Whether the change that made `version` is the one with this identity. */
    async function isChange(version: number, changeId: string): Promise<boolean> {
        const row = await table.get(keys.configurationChange(version));
        return row !== undefined && changeRow.parse(unpack(row.value)).changeId === changeId;
    }

    async function tryApply(expected: number, lists: ConfigurationLists,
        changeId: string): Promise<Either<Refusal, Configuration>> {
        const row = await table.get(keys.configurationHead);
        const before = await read();
        accept(before);
        // After a lost reply another change may have followed this one, so the head does not tell.
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
                // A heartbeat that was sent before a pause of this process confirms nothing after it.
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
