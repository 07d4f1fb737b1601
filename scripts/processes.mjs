// Starts, monitors and ends the child processes of the demonstration.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";

/** A process that does not exit within this time after SIGTERM is killed. */
const exitTimeoutMs = 10_000;

/** Creates an empty set of processes, all of which run the same command with different arguments. */
export function createProcesses({ command, cwd, environment, verbose }) {
    const [file, ...commandArgs] = command;
    const children = new Map();

    function start(name, args) {
        const child = spawn(file, [...commandArgs, ...args], { cwd, env: { ...process.env, ...environment },
            stdio: ["ignore", "pipe", "pipe"] });
        const entry = { child, output: [], errors: [], failure: undefined };
        children.set(name, entry);
        child.on("error", error => entry.failure = error);
        collect(child.stdout, entry.output, `${name}: `);
        collect(child.stderr, entry.errors, `${name}! `);
        return entry;
    }

    function collect(stream, lines, prefix) {
        createInterface({ input: stream }).on("line", line => {
            lines.push(line);
            if (verbose) {
                console.log(prefix + line);
            }
        });
    }

    /** Runs a process until it exits and returns its standard output; throws if the exit code is not 0. */
    async function run(name, args) {
        const { child, output, errors, failure } = start(name, args);
        const [code] = failure === undefined ? await once(child, "close") : [undefined];
        children.delete(name);
        if (code !== 0) {
            throw new Error(`${name} exited with ${code}: ${errors.join("\n")}`);
        }
        return output.join("\n");
    }

    function isRunning({ child }) {
        return child.pid !== undefined && child.exitCode === null && child.signalCode === null;
    }

    async function end(entry) {
        if (!isRunning(entry)) {
            return;
        }
        const closed = once(entry.child, "exit");
        entry.child.kill("SIGTERM");
        if (await Promise.race([closed, sleep(exitTimeoutMs, "timeout", { ref: false })]) === "timeout") {
            entry.child.kill("SIGKILL");
            await closed;
        }
    }

    return {
        start,
        run,
        kill: name => children.get(name).child.kill("SIGKILL"),
        /** The last lines of standard error of each process that has exited. */
        failures: () =>
            [...children].filter(([, { child }]) => child.exitCode !== null)
                .map(([name, { child, errors }]) =>
                    `${name} exited with ${child.exitCode}: ${errors.slice(-5).join("\n")}`
                ),
        outputOf: name => children.get(name).output,
        /** Ends daemons first, in reverse order of start, so that they can still hand over and store their state. */
        async endAll() {
            for (const entry of [...children.values()].reverse()) {
                await end(entry);
            }
        },
    };
}

/** Returns ports that are currently free; another process may still take them before they are used. */
export async function freePorts(count) {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Retries an attempt until it succeeds; throws its last error after 20 s or as soon as `shouldGiveUp` returns true. */
export async function waitFor(description, attempt, shouldGiveUp) {
    const deadline = performance.now() + 20_000;
    for (;;) {
        try {
            return await attempt();
        }
        catch (error) {
            if (performance.now() > deadline || shouldGiveUp()) {
                throw new Error(`gave up waiting for ${description}: ${error.message}`);
            }
            await sleep(100);
        }
    }
}
