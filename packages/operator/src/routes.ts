import { bearerKey, checkConfiguration, type Configuration, type ConfigurationLists, equalHashes, formatProblem,
    hashKey, httpStatusOf, type Refusal, refuse, type Route, type RouteRequest,
    type RouteResponse } from "@tamarackgauge/core";
import debug from "debug";
import { randomUUID } from "node:crypto";
import type { Either } from "purify-ts";

const log = debug("tamarackgauge:operator");

/** Where the configuration is kept. */
export interface ConfigurationStore {
    /** The configuration in force. */
    read(): Promise<Configuration>;
    /**
     * Puts the lists into force if `expected` is the version in force, else gives `version_conflict`. Applying the same
     * `changeId` again gives the result of the first time, so that a lost reply can be asked for again.
     */
    apply(expected: number, next: ConfigurationLists, changeId: string): Promise<Either<Refusal, Configuration>>;
}

/** What a daemon says of itself to operators. */
export interface DaemonStatus {
    readonly daemon: string;
    /** Version of the configuration in force on this daemon. */
    readonly configurationVersion: number;
    readonly ready: boolean;
    /** Why the daemon is not ready. */
    readonly reason?: string;
    /** More for people to read. */
    readonly details?: Readonly<Record<string, unknown>>;
}

/** What the operators' routes are built from. */
export interface OperatorOptions {
    /** sha-256 of the operators' key. */
    readonly keyHash: string;
    readonly store: ConfigurationStore;
    readonly status: () => Promise<DaemonStatus>;
}

/** Checks that a request carries the operators' key; gives the refusal otherwise. */
export function createAuthorization(keyHash: string): (headers: RouteRequest["headers"]) => Refusal | undefined {
    return ({ authorization }) => {
        const key = bearerKey(typeof authorization === "string" ? authorization : undefined);
        return equalHashes(hashKey(key ?? ""), keyHash) ? undefined : refuse("key_rejected", "notRun");
    };
}

/** The routes for operators: read and apply the configuration, read the status. All need the operators' key. */
export function createOperatorRoutes({ keyHash, store, status }: OperatorOptions): readonly Route[] {
    const authorize = createAuthorization(keyHash);
    return [
        {
            method: "GET",
            path: "/operator/v1/configuration",
            authorize,
            handle: async () => configurationResponse(await store.read()),
        },
        {
            method: "PUT",
            path: "/operator/v1/configuration",
            authorize,
            handle: request => applyFile(store, request),
        },
        { method: "GET", path: "/operator/v1/status", authorize,
            handle: async () => jsonResponse(200, await status()) },
    ];
}

async function applyFile(store: ConfigurationStore, { headers, body }: RouteRequest): Promise<RouteResponse> {
    const expected = expectedVersion(headers["if-match"]);
    if (expected === undefined) {
        return refusalResponse(
            refuse("invalid_header", "notRun", "if-match must be the version that the file is based on"),
        );
    }
    const requestedId = headers["idempotency-key"];
    const changeId = typeof requestedId === "string" && /^[!-~]{1,128}$/.test(requestedId) ? requestedId : randomUUID();
    return checkConfiguration(body).caseOf<Promise<RouteResponse>>({
        Left: async problems =>
            refusalResponse(refuse("invalid_configuration", "notRun", problems[0] && formatProblem(problems[0])), {
                problems,
            }),
        Right: async lists => applyLists(store, expected, lists, changeId),
    });
}

/** The version is not compared here first: a repeat after a lost reply must reach the store, which knows the change. */
async function applyLists(
    store: ConfigurationStore,
    expected: number,
    { plans, allowances }: ConfigurationLists,
    changeId: string,
): Promise<RouteResponse> {
    const result = await store.apply(expected, { plans, allowances }, changeId);
    return result.caseOf<Promise<RouteResponse>>({
        Left: async refusal =>
            refusal.name === "version_conflict" ? conflictResponse(store, expected) : refusalResponse(refusal),
        Right: async configuration => {
            log("version %d is in force, change %s", configuration.version, changeId);
            return configurationResponse(configuration);
        },
    });
}

async function conflictResponse(store: ConfigurationStore, expected: number): Promise<RouteResponse> {
    const { version } = await store.read();
    const detail = `the file is based on version ${expected}, version ${version} is in force`;
    return refusalResponse(refuse("version_conflict", "notRun", detail), { expected, inForce: version });
}

function expectedVersion(header: string | string[] | undefined): number | undefined {
    const digits = /^"?(\d{1,15})"?$/.exec(typeof header === "string" ? header : "")?.[1];
    return digits === undefined ? undefined : Number(digits);
}

function configurationResponse(configuration: Configuration): RouteResponse {
    return jsonResponse(200, configuration, { etag: `"${configuration.version}"` });
}

function refusalResponse(refusal: Refusal, extraFields: Readonly<Record<string, unknown>> = {}): RouteResponse {
    return jsonResponse(httpStatusOf(refusal), { error: { ...refusal, ...extraFields } });
}

function jsonResponse(status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): RouteResponse {
    return { status, headers: { "content-type": "application/json", ...headers }, body: JSON.stringify(value) };
}
