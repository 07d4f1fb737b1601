import { command, number, option, run } from "cmd-ts";
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
    },
    async handler({ seed, seconds, gateways, callers }) {
        const { plan, calls, completeAnswers, violations, logLines } = await runSoak({ seed,
            durationMs: seconds * 1_000, gateways, callers });
        console.log(
            `seed ${seed}: ${plan.length} faults, ${calls} calls, ${completeAnswers} answered, ${violations.length} violations`,
        );
        plan.forEach(fault => console.log(`${fault.startMs} ${fault.kind} ${fault.target} ${fault.durationMs}`));
        violations.forEach(({ invariant, call, detail }) => console.log(`VIOLATED ${invariant}: ${call} ${detail}`));
        logLines.forEach(line => console.log(line));
        process.exitCode = violations.length === 0 ? 0 : 1;
    },
});

void run(soakCommand, process.argv.slice(2));
