// Child processes of the demonstration: started, watched, and ended by id.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";

/** How long a process may take to end after SIGTERM. Milliseconds. */
const endLimit = 10_000;

/** Creates an empty set of processes, all of which run the same command with different arguments. */
export function createProcesses({ command, cwd, environment, verbose }) {
    const [file, ...first] = command;
    const children = new Map();

    function start(name, args) {
        const child = spawn(file, [...first, ...args], { cwd, env: { ...process.env, ...environment },
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

    /** Runs to the end and returns the standard output; throws when the exit code is not 0. */
    async function run(name, args) {
        const { child, output, errors, failure } = start(name, args);
        const [code] = failure === undefined ? await once(child, "close") : [undefined];
        children.delete(name);
        if (code !== 0) {
            throw new Error(`${name} ended with ${code}: ${errors.join("\n")}`);
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
        if (await Promise.race([closed, sleep(endLimit, "late", { ref: false })]) === "late") {
            entry.child.kill("SIGKILL");
            await closed;
        }
    }

    return {
        start,
        run,
        kill: name => children.get(name).child.kill("SIGKILL"),
        /** The last lines of standard error of the processes that have ended by themselves. */
        failures: () =>
            [...children].filter(([, { child }]) => child.exitCode !== null)
                .map(([name, { child, errors }]) =>
                    `${name} ended with ${child.exitCode}: ${errors.slice(-5).join("\n")}`
                ),
        outputOf: name => children.get(name).output,
        /** Daemons end first, so that they can hand over and store what they hold. */
        async endAll() {
            for (const entry of [...children.values()].reverse()) {
                await end(entry);
            }
        },
    };
}

/** Ports that were free a moment ago. */
export async function freePorts(count) {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Tries until it succeeds; throws the last error after 20 s, or once `isHopeless` says that waiting is no use. */
export async function waitFor(what, attempt, isHopeless) {
    const until = performance.now() + 20_000;
    for (;;) {
        try {
            return await attempt();
        }
        catch (error) {
            if (performance.now() > until || isHopeless()) {
                throw new Error(`waited in vain for ${what}: ${error.message}`);
            }
            await sleep(100);
        }
    }
}
