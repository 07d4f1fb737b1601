import { type Configuration, createConfiguration, hashKey, refuse, type RouteResponse } from "@tamarackgauge/core";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Left, Right } from "purify-ts";
import { type ConfigurationStore, createOperatorRoutes } from "../src/index.ts";

/** An in-memory store that remembers the identity of each change, as the log in the table service does. */
function createStore(): ConfigurationStore & { applied: number; } {
    let current: Configuration = createConfiguration(0, { plans: [], allowances: [] });
    const changes = new Map<string, Configuration>();
    const store = {
        applied: 0,
        read: async () => current,
        apply: async (expected: number, next: Parameters<ConfigurationStore["apply"]>[1], changeId: string) => {
            const earlier = changes.get(changeId);
            if (earlier !== undefined) {
                return Right(earlier);
            }
            if (expected !== current.version) {
                return Left(refuse("version_conflict", "notRun"));
            }
            current = createConfiguration(current.version + 1, next);
            changes.set(changeId, current);
            store.applied += 1;
            return Right(current);
        },
    };
    return store;
}

const key = "operator-key";
const configurationFile = (budgetTokens: number) =>
    JSON.stringify({
        plans: [{ name: "dunes", keys: [] }],
        allowances: [{ plan: "dunes", models: [], budgetTokens, programsAtOnce: 1 }],
    });

function setUp() {
    const store = createStore();
    const routes = createOperatorRoutes({
        keyHash: hashKey(key),
        store,
        status: async () => ({ daemon: "vm-1", configurationVersion: 0, ready: true }),
    });

    async function call(method: string, headers: Record<string, string> = {}, body = "", path = "configuration") {
        const route = routes.find(each => each.method === method && each.path === `/operator/v1/${path}`);
        assert.ok(route);
        const allHeaders = { authorization: `Bearer ${key}`, ...headers };
        const refusal = route.authorize?.(allHeaders);
        if (refusal !== undefined) {
            return { status: refusal.code, body: "" };
        }
        const { signal } = new AbortController();
        return route.handle({ method, path: route.path, query: new URLSearchParams(), headers: allHeaders, body,
            signal });
    }

    return { store, call };
}

interface ErrorBody {
    readonly error: {
        readonly code: number;
        readonly expected?: number;
        readonly inForce?: number;
        readonly problems?: readonly { readonly line: number; readonly field: string; }[];
    };
}

function errorOf(answer: RouteResponse): ErrorBody["error"] {
    return (JSON.parse(answer.body) as ErrorBody).error;
}

describe("the operators' routes", () => {
    it("apply a file to the version that it is based on, and return it with its new version", async () => {
        const { call } = setUp();
        const applied = await call("PUT", { "if-match": "\"0\"" }, configurationFile(5));
        assert.deepEqual([applied.status, (JSON.parse(applied.body) as Configuration).version], [200, 1]);
        const read = await call("GET");
        assert.equal(read.body, applied.body);
    });

    it("refuse the later of two concurrent edits and return both versions, so that no edit is overwritten", async () => {
        const { store, call } = setUp();
        const answers = await Promise.all(
            [5, 6].map(budget => call("PUT", { "if-match": "0" }, configurationFile(budget))),
        );
        assert.deepEqual(answers.map(each => each.status).sort(), [200, 409]);
        const refused = answers.find(each => each.status === 409) as RouteResponse;
        const { code, expected, inForce } = errorOf(refused);
        assert.deepEqual([code, expected, inForce], [4095, 0, 1]);
        assert.equal(store.applied, 1);
    });

    it("return the first result for a repeated change, so that a retry after a lost response is no conflict", async () => {
        const { store, call } = setUp();
        const headers = { "if-match": "0", "idempotency-key": "change-1" };
        const first = await call("PUT", headers, configurationFile(5));
        assert.deepEqual(await call("PUT", headers, configurationFile(5)), first);
        assert.equal(store.applied, 1);
    });

    it("refuse a file with mistakes, list the mistakes and change nothing", async () => {
        const { store, call } = setUp();
        const answer = await call("PUT", { "if-match": "0" }, "{\n\"plans\": []\n}");
        const { code, problems } = errorOf(answer);
        assert.equal(code, 4004);
        assert.deepEqual(problems?.map(({ line, field }) => `${line} ${field}`), ["1 allowances"]);
        assert.equal(store.applied, 0);
    });

    it("refuse a change without a valid expected version", async () => {
        const { call } = setUp();
        for (const value of ["", "*", "-1", "1.5", "\"x\""]) {
            assert.equal(errorOf(await call("PUT", { "if-match": value }, configurationFile(5))).code, 4002, value);
        }
    });

    it("reject missing and wrong keys with the same code", async () => {
        const { call } = setUp();
        for (const authorization of ["", "Bearer", "Bearer other", `Basic ${key}`]) {
            for (const [method, path] of [["GET", "configuration"], ["PUT", "configuration"], ["GET",
                "status"]] as const) {
                assert.equal((await call(method, { authorization }, "", path)).status, 4011);
            }
        }
    });
});
