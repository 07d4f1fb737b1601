import { createRowStore, freeAddress, gatewayDeclaration } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { run, withFile } from "./terminal.ts";

const teams = [{ name: "riders", apiKeys: ["secret-1", "secret-2"], ratePerS: 4, burst: 8 }];
const inForce = { ...gatewayDeclaration, tenants: teams };
const toText = (changes: object) => JSON.stringify({ ...inForce, ...changes });

test("check-configuration exits with 0, 1 or 2 as it finds nothing, warnings or errors (guards against a build that sends a faulty file)", async () => {
    await withFile("sound.json", toText({}), async path => {
        const sound = await run(`check-configuration ${path}`);
        assert.deepEqual([sound.code, sound.out], [0, `${path}: 0 errors, 0 warnings, 0 notes`]);
    });
    await withFile("warnings.json", toText({ backends: [...inForce.backends, { name: "old" }] }), async path => {
        assert.equal((await run(`check-configuration ${path}`)).code, 1);
    });
    await withFile("errors.json", toText({ routes: 7 }), async path => {
        const { code, out } = await run(`check-configuration ${path}`);
        assert.equal(code, 2);
        assert.match(out, /errors\.json:1:14 error invalid routes: /);
    });
    assert.equal((await run("check-configuration /none")).code, 2);
    assert.equal((await run("check-configuration /dev/zero")).code, 2);
});

test("check-configuration tells withdrawn keys by their digest (guards against keys in the output of builds)", async () => {
    await withFile("old.json", toText({}),
        old =>
            withFile("new.json", toText({ version: 2, tenants: [{ ...teams[0], apiKeys: ["secret-1"] }] }),
                async next => {
                    const { code, out } = await run(`check-configuration ${next} --against ${old} --json`);
                    const { findings } = JSON.parse(out) as {
                        findings: { kind: string; path: string; text: string; }[];
                    };
                    assert.equal(code, 1);
                    assert.deepEqual(findings.map(({ kind, path }) => `${kind} ${path}`), [
                        "keyWithdrawn tenants[0].apiKeys[1]",
                    ]);
                    assert.match(findings[0]!.text, /^the key f4b6bb65 of team "riders" is withdrawn/);
                    assert.ok(!out.includes("secret"));
                }));
});

test("check-configuration compares with the version and the upstreams in the store (guards against a file that gateways ignore)", async () => {
    await using rowStore = createRowStore();
    const { address, port } = await rowStore.open();
    const entry = { backend: "tools", address: "127.0.0.1:80", zone: "a", state: "ready" };
    rowStore.put("op", "", "config", inForce);
    for (let index = 0; index < 700; index += 1) {
        rowStore.put("servers", "", `i-${index}`, entry);
    }
    rowStore.put("servers", "", "j", { ...entry, backend: "models" });
    await withFile("new.json", toText({}), async path => {
        const { code, out } = await run(`check-configuration ${path} --store http://${address}:${port}`);
        assert.equal(code, 2);
        assert.match(out, /error staleVersion version: gateways ignore version 1, as version 1 is in force/);
        assert.match(out, /warning attemptsAboveUpstreams routes\[0\]\.maxAttempts: .* the service "models" has 1/);
        assert.ok(!out.includes("noUpstreams") && !out.includes("\"tools\" has"), out);
        const closed = await freeAddress();
        const unreachable = await run(`check-configuration ${path} --store http://${closed.host}:${closed.port}`);
        assert.equal(unreachable.code, 2);
        assert.match(unreachable.error, /the store at .* cannot be read/);
    });
});

test("the example on the page is what the command prints (guards against a page that describes an earlier version)", async () => {
    const root = join(import.meta.dirname, "../../..");
    const examples = join(root, "examples");
    const { code, out } = await run(
        `check-configuration ${examples}/declaration.json --against ${examples}/declarationInForce.json`,
    );
    const page = readFileSync(join(root, "docs/configuration.md"), "utf8");
    assert.equal(code, 2);
    assert.ok(page.includes(out.replaceAll(examples, "examples")), out);
});
