import { createProcessLog } from "./processLog.ts";
import { listenForSignals } from "./signals.ts";
import type { ProcessContext } from "./start.ts";

const log = createProcessLog();

/** Listens for signals as this module is loaded, which is before larger modules are. */
export const processContext: ProcessContext = { environment: process.env, log, signals: listenForSignals(log) };
