import { run } from "cmd-ts";
import { standinCommands } from "./command.ts";

await run(standinCommands, process.argv.slice(2));
