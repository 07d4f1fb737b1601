import { createFront, type Front } from "@tamarackgauge/caller";
import { type Configuration, createConfiguration, hashKey, refuse } from "@tamarackgauge/core";
import { type ConfigurationStore, createOperatorRoutes, exitCodes } from "@tamarackgauge/operator";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { Left, Right } from "purify-ts";
import { run, withFile } from "./terminal.ts";

const key = "operator-key";

/** Opens a daemon's HTTP server with the operators' routes and an in-memory configuration. */
async function openDaemon(name: string, version = 0, ready = true): Promise<Front> {
    let current: Configuration = createConfiguration(version, { plans: [], allowances: [] });
    const store: ConfigurationStore = {
        read: async () => current,
        apply: async (expected, next) => {
            if (expected !== current.version) {
                return Left(refuse("version_conflict", "notRun"));
            }
            current = createConfiguration(current.version + 1, next);
            return Right(current);
        },
    };
    const status = async () => ({ daemon: name, configurationVersion: current.version, ready, reason: "no store" });
    return createFront({
        address: "127.0.0.1",
        port: 0,
        configuration: () => current,
        serve: async function*() {},
        endProgram: async () => undefined,
        routes: createOperatorRoutes({ keyHash: hashKey(key), store, status }),
    });
}

const configurationFile = (version: number) =>
    `{"version": ${version},
"plans": [{"name": "dunes", "keys": []}],
"allowances": [{"plan": "dunes", "models": [], "budgetTokens": 1, "programsAtOnce": 1}]}`;

describe("the operators' commands", () => {
    const environment = { TAMARACKGAUGE_OPERATOR_KEY: key };

    it("apply a file, refuse it for an outdated version, and show the configuration in force", async () => {
        await using daemon = await openDaemon("vm-1");
        const url = `http://127.0.0.1:${daemon.port}`;
        await withFile("configuration.json", configurationFile(0), async path => {
            const first = await run(`configuration apply ${path} --to ${url}`, environment);
            assert.deepEqual([first.code, first.out], [exitCodes.done, "version 1 is in force"]);
            const second = await run(`configuration apply ${path} --expect 0 --to ${url}`, environment);
            assert.equal(second.code, exitCodes.conflict);
            assert.match(second.error, /4095 .*based on version 0, version 1 is in force/);
        });
        const shown = await run(`configuration show --to ${url}`, environment);
        await withFile("configuration.json", shown.out, async path => {
            const again = await run(`configuration apply ${path} --to ${url}`, environment);
            assert.equal(again.out, "version 2 is in force", "the output of show can be edited and applied");
        });
    });

    it("print each mistake of a file with its position and change nothing", async () => {
        await withFile("configuration.json", "{\"plans\": [],\n\"allowances\": [{\"plan\": 1}]}", async path => {
            const checked = await run(`configuration check ${path}`);
            assert.equal(checked.code, exitCodes.invalidFile);
            assert.match(checked.error, /configuration.json:2:16 104 allowances\[0\].models: the field is missing/);
            const applied = await run(`configuration apply ${path} --to http://127.0.0.1:1`, environment);
            assert.equal(applied.code, exitCodes.invalidFile);
        });
        assert.equal((await run("configuration check /nowhere/file.json")).code, exitCodes.usage);
    });

    it("exit with different codes for a wrong key, a missing key and an unreachable daemon", async () => {
        await using daemon = await openDaemon("vm-1");
        const line = `configuration show --to http://127.0.0.1:${daemon.port}`;
        assert.equal((await run(line)).code, exitCodes.usage);
        assert.equal((await run(line, { TAMARACKGAUGE_OPERATOR_KEY: "other" })).code, exitCodes.refused);
        await withFile("configuration.json", configurationFile(0), async path => {
            const result = await run(`configuration apply ${path} --to http://127.0.0.1:1`, environment);
            assert.equal(result.code, exitCodes.unreachable);
            assert.match(result.error, /not known whether the file was applied/);
        });
    });

    it("name an answer that is not a daemon's as such (guards against a search for a daemon that is down while a proxy answers)", async () => {
        await using server = createServer((_, response) => response.writeHead(502).end("<html>bad gateway</html>"));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const { code, error } = await run(`configuration show --to ${url}`, environment);
        assert.equal(error, `${url} answered, but not as a daemon: HTTP status 502`);
        assert.equal(code, exitCodes.unreachable);
    });

    it("show the version of each daemon and report daemons with different versions", async () => {
        await using first = await openDaemon("vm-1", 7);
        await using second = await openDaemon("vm-2", 6, false);
        const [one, two] = [first, second].map(each => `--to http://127.0.0.1:${each.port}`);
        const both = await run(`status ${one} ${two}`, environment);
        assert.equal(both.code, exitCodes.versionsDiffer);
        assert.match(both.out, /vm-1 version 7 ready\n.*vm-2 version 6 not ready: no store/);
        assert.equal((await run(`status ${one} ${one}`, environment)).code, exitCodes.done);
        assert.equal((await run(`status ${one} --to http://127.0.0.1:1`, environment)).code, exitCodes.unreachable);
        assert.equal((await run("status", environment)).code, exitCodes.usage);
    });

    it("hash a key as the daemon does, without the line break that a terminal adds", async () => {
        assert.equal((await run("key hash", {}, "secret\n")).out, hashKey("secret"));
        assert.equal((await run("key hash", {}, "two words")).code, exitCodes.usage);
    });
});

describe("the daemon command", () => {
    const required = {
        TAMARACKGAUGE_NAME: "vm-1",
        TAMARACKGAUGE_DATA_CENTRE: "east",
        TAMARACKGAUGE_ADDRESS: "127.0.0.1",
        TAMARACKGAUGE_PLATFORM_URL: "http://127.0.0.1:2379",
        TAMARACKGAUGE_CLUSTER_KEY: "cluster-key-of-16-or-more",
        TAMARACKGAUGE_SEAL_KEY: "seal-key-of-16-or-more",
        TAMARACKGAUGE_OPERATOR_KEY_HASH: "0".repeat(64),
    };

    it("reads variables and prefers flags", async () => {
        const { code, started } = await run("daemon --lease-ttl 5000", { ...required,
            TAMARACKGAUGE_LEASE_TTL: "4000" });
        assert.equal(code, 0);
        assert.equal(started[0]?.leaseTtl, 5000);
        assert.equal(started[0]?.name, "vm-1");
    });

    it("starts no daemon when settings are invalid, prints all of them and exits with 2", async () => {
        const { code, error, started } = await run("daemon --port 70000 --policy best", {
            ...required,
            TAMARACKGAUGE_LEASE_TTL: "soon",
        });
        assert.deepEqual([code, started.length], [exitCodes.usage, 0]);
        assert.deepEqual(error.split("\n").map(line => line.replace(/; expected.*/, "")), [
            "--port (TAMARACKGAUGE_PORT) \"70000\" is not allowed",
            "--lease-ttl (TAMARACKGAUGE_LEASE_TTL) \"soon\" is not allowed",
            "--policy (TAMARACKGAUGE_POLICY) \"best\" is not allowed",
        ]);
        assert.equal((await run("daemon --no-such-flag 1", required)).code, exitCodes.usage);
    });

    it("prints its help without the values of keys", async () => {
        const { code, out } = await run("daemon --help", { ...required,
            TAMARACKGAUGE_SEAL_KEY: "seal-key-of-somebody" });
        assert.equal(code, 0);
        assert.match(out, /--seal-key/);
        assert.doesNotMatch(out, /somebody/);
        assert.equal((await run("")).code, 0);
    });
});
