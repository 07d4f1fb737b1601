import { hostname } from "node:os";
import { type LogLevel, renderJsonLine } from "./jsonLine.ts";
import type { Log, LogFields } from "./log.ts";

/** The log of a process from its first moment on. Until the program's own log is set, lines are written directly. */
export interface ProcessLog extends Log {
    /** Passes all further lines to the program's log; undefined to write directly again. */
    setTarget(target: Log | undefined): void;
    /** Sets the VM's name, which lines have that are written directly; until then they have the host's name. */
    setName(name: string): void;
}

/** Standard output; its errors are ignored, as they mean that nobody reads the log. */
export function openOutput(): NodeJS.WriteStream {
    return process.stdout.off("error", ignoreError).on("error", ignoreError);
}

function ignoreError(): void {}

/** Creates the log. Lines have the form of the program's log. */
export function createProcessLog(): ProcessLog {
    let target: Log | undefined;
    let vm = hostname();

    function writeLine(level: LogLevel, event: string, fields: LogFields): void {
        openOutput().write(renderJsonLine(level, vm, event, fields));
    }

    return {
        info: (event, fields) => target === undefined ? writeLine("info", event, fields) : target.info(event, fields),
        warn: (event, fields) => target === undefined ? writeLine("warn", event, fields) : target.warn(event, fields),
        setTarget(next) {
            target = next;
        },
        setName(name) {
            vm = name;
        },
    };
}
