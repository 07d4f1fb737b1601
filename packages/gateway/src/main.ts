import { processContext } from "./processContext.ts";

import { runProcess } from "./start.ts";

void runProcess(processContext, async () => (await import("./run.ts")).runProgram).then(exitCode =>
    process.exit(exitCode)
);
