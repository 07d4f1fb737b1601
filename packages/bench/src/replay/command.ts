import { command, flag, positional, string } from "cmd-ts";
import { readFile, writeFile } from "node:fs/promises";
import { firstDifference } from "./compare.ts";
import { readReplay, type Replay, writeReplay } from "./file.ts";
import { simulate } from "./simulate.ts";

/** Exit codes: 1 if the outcomes differ, 2 if the file is invalid. */
const outcomesDifferExitCode = 1;
const invalidFileExitCode = 2;

/** `replay FILE`: replays a recorded trace with the policy on virtual time and compares the outcomes. */
export const replayCommand = command({
    name: "replay",
    description: "Replay a recorded trace with the policy on virtual time and compare the outcomes; "
        + "exit code 0: the same, 1: they differ, 2: the file is invalid",
    args: {
        file: positional({ type: string, displayName: "file", description: "Replay file (NDJSON)" }),
        record: flag({ long: "record", description: "Write the outcomes into the file instead of checking them" }),
    },
    handler: async ({ file, record }) => {
        const text = await readFile(file, "utf8").catch((error: unknown) => String(error));
        return readReplay(text).caseOf({
            Left: async problem => {
                process.stderr.write(`${file}: ${problem}\n`);
                return invalidFileExitCode;
            },
            Right: async replay => record ? writeOutcomes(file, replay) : checkOutcomes(file, replay),
        });
    },
});

async function writeOutcomes(file: string, replay: Replay): Promise<number> {
    const outcomes = simulate(replay);
    await writeFile(file, writeReplay({ ...replay, outcomes }));
    process.stdout.write(`${outcomes.length} outcomes written to ${file}\n`);
    return 0;
}

async function checkOutcomes(file: string, replay: Replay): Promise<number> {
    const difference = firstDifference(replay.outcomes, simulate(replay));
    if (difference === undefined) {
        process.stdout.write(`${file}: ${replay.outcomes.length} outcomes are as expected\n`);
        return 0;
    }
    process.stderr.write(`${file}: ${difference}\n`);
    return outcomesDifferExitCode;
}
