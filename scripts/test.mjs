// Runs the tests of all packages. Files run one after another: several start daemons with timed leases.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync } from "node:fs";

const files = [];
const folders = [...readdirSync("packages").map(name => `packages/${name}/test`), "platform/test"];
for (const folder of folders) {
    if (!existsSync(folder)) {
        continue;
    }
    for (const file of readdirSync(folder, { recursive: true })) {
        if (file.endsWith(".test.ts")) {
            files.push(`${folder}/${file}`);
        }
    }
}
const concurrency = process.env.TEST_CONCURRENCY ?? "3";
const args = ["--import", "tsx", "--test", `--test-concurrency=${concurrency}`, ...process.argv.slice(2),
    ...files.sort()];
const result = spawnSync(process.execPath, args, { stdio: "inherit" });
process.exit(result.status ?? 1);
