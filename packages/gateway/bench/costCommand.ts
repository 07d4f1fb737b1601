import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { buildDeployedProgram } from "../test/gatewayProcess.ts";
import { type Costs, type CostTimes, measureCosts } from "./cost.ts";
import type { Build, CostFleetSize } from "./costFleet.ts";

const defaultSize: CostFleetSize = { engines: 25, tools: 9, gateways: 82 };
/** Sizes from which the slopes are read. */
const slopeSizes: readonly CostFleetSize[] = [defaultSize, { ...defaultSize, engines: 50, tools: 18 }, { ...defaultSize,
    gateways: 300 }];

const costCommand = command({
    name: "bench:gateway",
    description: "Measure the processor time of a built gateway in ms: for a start, an idle second, a call and a turn",
    args: {
        against: option({ type: optional(string), long: "against",
            description: "root folder of another checkout, built into its target/, that is measured beside this one" }),
        rounds: option({ type: number, long: "rounds", defaultValue: () => 3, description: "the median is printed" }),
        seconds: option({ type: number, long: "seconds", defaultValue: () => 8, description: "length of each phase" }),
        slopes: flag({ long: "slopes", description: "measure further numbers of upstreams and gateways" }),
        profile: option({ type: optional(string), long: "profile",
            description: "folder for a processor profile of this checkout's gateway" }),
    },
    async handler({ against, rounds, seconds, slopes, profile }) {
        await using deployed = await buildDeployedProgram();
        const profileArguments = profile === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${profile}`];
        const own = { program: [...profileArguments, ...deployed.program] };
        const builds = against === undefined ? [own] : [own, deployedBuild(against)];
        const times: CostTimes = { idleMs: seconds * 1_000, callsMs: seconds * 1_000 };
        for (const size of slopes ? slopeSizes : [defaultSize]) {
            console.log(`${size.engines} engines, ${size.tools} tools, ${size.gateways} other gateways`);
            print(await medianCosts(builds, size, times, rounds));
        }
    },
});

/** The build in a checkout, with the arguments of its deploy file. */
function deployedBuild(folder: string): Build {
    const [, ...program] = /^run = "(.*)"$/m.exec(readFileSync(join(folder, "deploy/system.toml"), "utf8"))![1]!
        .split(" ");
    return { program: program.map(argument => argument.replace(/^target\//, `${folder}/target/`)) };
}

async function medianCosts(builds: readonly Build[], size: CostFleetSize, times: CostTimes,
    rounds: number): Promise<readonly Costs[]> {
    const results: (readonly Costs[])[] = [];
    for (let round = 0; round < rounds; round += 1) {
        results.push(await measureCosts(builds, size, times));
    }
    return builds.map((_, index) => medianOf(results.map(costs => costs[index]!)));
}

function medianOf(costs: readonly Costs[]): Costs {
    const names = Object.keys(costs[0]!) as (keyof Costs)[];
    return Object.fromEntries(names.map(name => {
        const values = costs.map(each => each[name]).sort((left, right) => left - right);
        return [name, values[Math.floor(values.length / 2)]!];
    })) as unknown as Costs;
}

function print([own, other]: readonly Costs[]): void {
    for (const name of Object.keys(own!) as (keyof Costs)[]) {
        const comparison = other === undefined
            ? ""
            : `  against ${other[name].toFixed(2)}  ratio ${(own![name] / other[name]).toFixed(2)}`;
        console.log(`  ${name.padEnd(24)} ${own![name].toFixed(2).padStart(8)}${comparison}`);
    }
}

void run(costCommand, process.argv.slice(2));
