import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import { chmod, cp, mkdir, mkdtemp, readFile, rm, symlink, utimes, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { delimiter, dirname, join } from "node:path";
import { test } from "node:test";
import { buildDeployedProgram, chooseAddresses, createSettingsFolder, settingsText, spawnProcess,
    startProcess } from "./gatewayProcess.ts";
import { call, createFleet, turnCall } from "./harness.ts";

test("the bundle serves turns and tool calls (guards against a module that is left out although it is used)", async () => {
    await using bundle = await buildDeployedProgram();
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet, bundle);
    assert.equal((await call(gateway, turnCall("t1", "p"))).status, 200);
    assert.equal((await call(gateway, turnCall("t2", "p", "t1"))).status, 200);
    assert.equal((await call(gateway, { path: "/pay/x", id: "1", body: "x" })).status, 200);
    gateway.child.kill("SIGTERM");
    assert.equal(await gateway.exited, 0);
});

test("the bundle loads no native add-on, also beside modules that have one (guards against native code that ends deployed processes and that no test runs)", async () => {
    await using bundle = await buildDeployedProgram();
    await symlink(join(repositoryRoot, "node_modules"), join(dirname(bundle.program.at(-1)!), "node_modules"));
    await using fleet = await createFleet();
    await using gateway = await startProcess(fleet, bundle);
    assert.equal((await call(gateway, { path: "/pay/x", id: "1", body: "x" })).status, 200);
    const maps = await readFile(`/proc/${gateway.child.pid}/maps`, "latin1");
    assert.deepEqual(maps.split("\n").filter(line => line.endsWith(".node")), []);
});

test("the bundle names all invalid settings once they have stayed the same (guards against an error that is lost before the program is loaded)", async () => {
    await using bundle = await buildDeployedProgram();
    await using fleet = await createFleet();
    const addresses = await chooseAddresses();
    const file = join(await createSettingsFolder(), "settings.conf");
    const text = settingsText(await fleet.rowStore.open(), addresses);
    await writeFile(file,
        text.replace("graceS=8", "graceS=soon").replace(/bind.front=.*/, "bind.front=127.0.0.1:70000"));
    const startedAt = performance.now();
    await using gateway = spawnProcess(file, addresses, bundle.program);
    assert.equal(await gateway.exited, 2);
    assert.ok(performance.now() - startedAt >= 15_000);
    assert.match(gateway.errors(), /^bind.front=127.0.0.1:70000; allowed: .*\nbounds.graceS=soon; allowed: .*\n$/);
    assert.match(gateway.output(), /"event":"gateway.waiting","awaited":"settings","reason":"bind.front=127/);
    assert.match(gateway.output(), /"event":"gateway.ended","exitCode":2,"cause":"bind.front=.*bounds.graceS=soon; /);
});

const repositoryRoot = join(import.meta.dirname, "../../..");
const sourceFolders = ["package.json", "package-lock.json", "scripts", "deploy", "platform", "packages/core",
    "packages/gateway"];

/** A copy of the sources beside an `npm` that installs the repository's own modules and notes its arguments. */
async function createCheckout() {
    const folder = await mkdtemp(join(tmpdir(), "checkout-"));
    const tools = join(folder, "tools");
    await mkdir(join(folder, "packages"), { recursive: true });
    await Promise.all(
        sourceFolders.map(name =>
            cp(join(repositoryRoot, name), join(folder, name), { recursive: true, filter: path =>
                !path.endsWith("node_modules") })
        ),
    );
    await mkdir(tools);
    await writeFile(join(tools, "npm"),
        `#!/bin/sh\necho "$@" > npm.txt\nrm -rf node_modules\nln -s ${repositoryRoot}/node_modules node_modules\n`);
    await chmod(join(tools, "npm"), 0o755);
    await utimes(join(folder, "package-lock.json"), 0, 0);
    const deployFile = await readFile(join(folder, "deploy/system.toml"), "utf8");
    const command = /^build = "(.*)"$/m.exec(deployFile)![1]!;
    return {
        modules: join(folder, "node_modules"),
        build: () =>
            spawnSync("sh", ["-c", command], { cwd: folder, encoding: "utf8",
                env: { PATH: `${tools}${delimiter}${process.env.PATH}`, NODE_ENV: "production" } }),
        isBuilt: () => ["gateway.cjs", "gatewayProgram.cjs"].every(name => existsSync(join(folder, "target", name))),
        npmArguments: () => readFile(join(folder, "npm.txt"), "utf8").catch(() => undefined),
        [Symbol.asyncDispose]: () => rm(folder, { recursive: true }),
    };
}

test("the build of the deploy file installs modules that are missing or do not fit the machine, and no others (guards against a system that cannot be built where it starts)", async () => {
    {
        await using missing = await createCheckout();
        const { status, stderr } = missing.build();
        assert.equal(status, 0, stderr);
        assert.ok(missing.isBuilt());
        assert.match(await missing.npmArguments() ?? "", /^ci --include=dev /);
    }
    {
        await using unfit = await createCheckout();
        await mkdir(unfit.modules);
        const { status, stderr } = unfit.build();
        assert.equal(status, 0, stderr);
        assert.ok(unfit.isBuilt());
        assert.match(await unfit.npmArguments() ?? "", /^ci --include=dev /);
    }
    {
        await using fit = await createCheckout();
        await symlink(join(repositoryRoot, "node_modules"), fit.modules);
        assert.equal(fit.build().status, 0);
        assert.ok(fit.isBuilt());
        assert.equal(await fit.npmArguments(), undefined);
    }
});
