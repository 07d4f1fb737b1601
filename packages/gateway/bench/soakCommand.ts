import { command, number, option, optional, run } from "cmd-ts";
import { runSoak } from "./soak.ts";

const soakCommand = command({
    name: "soak",
    description: "Run programs against gateways while faults are injected; exits with 1 if an invariant was violated",
    args: {
        seed: option({ type: number, long: "seed", defaultValue: () => Date.now() % 1e6,
            description: "determines the faults" }),
        seconds: option({ type: number, long: "seconds", defaultValue: () => 30, description: "length of the run" }),
        gateways: option({ type: number, long: "gateways", defaultValue: () => 3, description: "gateway processes" }),
        callers: option({ type: number, long: "callers", defaultValue: () => 12, description: "concurrent programs" }),
        memoryMb: option({ type: optional(number), long: "memory-mb",
            description: "start the built gateway as it is deployed, on VMs with this memory" }),
        maxDescriptors: option({ type: optional(number), long: "descriptors",
            description: "maximum number of open descriptors of a gateway" }),
        graceS: option({ type: optional(number), long: "grace-s",
            description: "seconds from SIGTERM until the platform kills a gateway" }),
    },
    async handler({ seed, seconds, gateways, callers, ...machine }) {
        const { plan, limits, calls, completeAnswers, violations, logLines, slowStarts, maxMegabytes } = await runSoak({
            seed,
            durationMs: seconds * 1_000,
            gateways,
            callers,
            ...machine,
        });
        console.log(
            `seed ${seed}: ${plan.length} faults, ${calls} calls, ${completeAnswers} answered, ${violations.length} violations`,
        );
        console.log(`most memory: ${Math.round(maxMegabytes)} MB; slow starts: ${slowStarts.length}`);
        plan.forEach(fault => console.log(`${fault.startMs} ${fault.kind} ${fault.target} ${fault.durationMs}`));
        limits.forEach(({ startMs, target, durationMs, requestsPerSecond }) =>
            console.log(`${startMs} limit ${target} ${durationMs} to ${requestsPerSecond} a second`)
        );
        violations.forEach(({ invariant, call, detail }) => console.log(`VIOLATED ${invariant}: ${call} ${detail}`));
        slowStarts.forEach(start => console.log(`SLOW START: ${start}`));
        logLines.forEach(line => console.log(line));
        process.exitCode = violations.length === 0 ? 0 : 1;
    },
});

void run(soakCommand, process.argv.slice(2));
