import { bearerKey, checkConfiguration, type Configuration, type ConfigurationLists, equalHashes, formatProblem,
    hashKey, httpStatusOf, type Refusal, refuse, type Route, type RouteRequest,
    type RouteResponse } from "@tamarackgauge/core";
import debug from "debug";
import { randomUUID } from "node:crypto";
import type { Either } from "purify-ts";

const log = debug("tamarackgauge:operator");

/** Stores the configuration. */
export interface ConfigurationStore {
    /** The configuration in force. */
    read(): Promise<Configuration>;
    /**
     * Puts the lists into force if `expected` is the version in force, and returns `version_conflict` otherwise.
     * Applying the same `changeId` again returns the first result, so that a request whose response was lost can be
     * retried.
     */
    apply(expected: number, next: ConfigurationLists, changeId: string): Promise<Either<Refusal, Configuration>>;
}

/** The status that a daemon reports to operators. */
export interface DaemonStatus {
    readonly daemon: string;
    /** Version of the configuration in force on this daemon. */
    readonly configurationVersion: number;
    readonly ready: boolean;
    /** Why the daemon is not ready. */
    readonly reason?: string;
    /** Further information for human readers. */
    readonly details?: Readonly<Record<string, unknown>>;
}

/** Options of the operators' routes. */
export interface OperatorOptions {
    /** SHA-256 hash of the operators' key. */
    readonly keyHash: string;
    readonly store: ConfigurationStore;
    readonly status: () => Promise<DaemonStatus>;
}

/** Creates a check that a request carries the operators' key; the check returns a refusal otherwise. */
export function createAuthorization(keyHash: string): (headers: RouteRequest["headers"]) => Refusal | undefined {
    return ({ authorization }) => {
        const key = bearerKey(typeof authorization === "string" ? authorization : undefined);
        return equalHashes(hashKey(key ?? ""), keyHash) ? undefined : refuse("key_rejected", "notRun");
    };
}

/** Creates the routes that read and apply the configuration and read the status. All need the operators' key. */
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

/** Leaves the check of the version to the store, which recognizes a retried change after a lost response. */
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
