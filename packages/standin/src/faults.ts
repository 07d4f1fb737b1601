import { z } from "zod";
import { delay, dropConnection, HttpError, sendJson } from "./listener.ts";
import type { Received } from "./listener.ts";

/**
 * A fault of the platform. `down` destroys the connection before the request has an effect, `hang` never answers and
 * has no effect, `slow` waits `ms` first, `error` answers 503 without effect, `loseReply` destroys the connection after
 * the request took effect. The fault ends after it has affected `count` requests; without `count` it does not end.
 */
export const fault = z.object({
    mode: z.enum(["none", "down", "hang", "slow", "error", "loseReply"]),
    ms: z.number().nonnegative().default(0),
    count: z.number().int().positive().optional(),
    match: z.enum(["table", "txn", "range", "objects", "vms", "weights"]).optional(),
    /** Restricts the fault to requests to the table or object store that name a key with this prefix. */
    keyPrefix: z.string().optional(),
});

/** A fault of the platform. */
export type Fault = z.input<typeof fault>;

/** The part and the keys that a request accesses, for matching with faults. */
export interface FaultSubject {
    readonly part: "txn" | "range" | "objects" | "vms" | "weights";
    readonly keys: readonly string[];
}

/** The active faults. */
export interface Faults {
    /** Replaces all faults; `none` or an empty list ends them. */
    set(faults: Fault | readonly Fault[]): void;
    /** Answers with the result of `work`, subject to the first matching fault. */
    run(subject: FaultSubject, received: Received, work: () => Answer): Promise<void>;
    /** Number of affected requests, by mode. */
    counts(): Readonly<Record<string, number>>;
}

/** A JSON or binary answer. */
export interface Answer {
    readonly status: number;
    readonly body?: unknown;
    readonly bytes?: Buffer;
}

/** A JSON answer with status 200. */
export function ok(body: unknown): Answer {
    return { status: 200, body };
}

type ParsedFault = z.output<typeof fault>;

/** Creates an empty list of faults. */
export function createFaults(): Faults {
    let active: { readonly fault: ParsedFault; left: number; }[] = [];
    const affectedCounts: Record<string, number> = {};

    function takeMatchingFault(subject: FaultSubject): ParsedFault | undefined {
        const found = active.find(entry => entry.left > 0 && matches(entry.fault, subject));
        if (found === undefined) {
            return undefined;
        }
        found.left -= 1;
        affectedCounts[found.fault.mode] = (affectedCounts[found.fault.mode] ?? 0) + 1;
        return found.fault;
    }

    return {
        set(faults) {
            const list = z.array(fault).parse(Array.isArray(faults) ? faults : [faults]);
            active = list.filter(entry => entry.mode !== "none")
                .map(entry => ({ fault: entry, left: entry.count ?? Infinity }));
        },
        run: (subject, received, work) => answerWithFault(takeMatchingFault(subject), received, work),
        counts: () => ({ ...affectedCounts }),
    };
}

function matches(entry: ParsedFault, subject: FaultSubject): boolean {
    const { match, keyPrefix } = entry;
    const partMatches = match === undefined || match === subject.part
        || (match === "table" && (subject.part === "txn" || subject.part === "range"));
    return partMatches && (keyPrefix === undefined || subject.keys.some(key => key.startsWith(keyPrefix)));
}

async function answerWithFault(activeFault: ParsedFault | undefined, received: Received,
    work: () => Answer): Promise<void> {
    const { response } = received;
    switch (activeFault?.mode) {
        case "down":
            dropConnection(response);
            return;
        case "hang":
            return;
        case "error":
            throw new HttpError(503, "unavailable", { error: "unavailable", code: 14, message: "unavailable" });
        case "loseReply":
            work();
            dropConnection(response);
            return;
        case "slow":
            await delay(activeFault.ms);
            break;
    }
    send(received, work());
}

function send({ response }: Received, answer: Answer): void {
    if (answer.bytes === undefined) {
        sendJson(response, answer.status, answer.body ?? {});
        return;
    }
    response.writeHead(answer.status, {
        "content-type": "application/octet-stream",
        "content-length": answer.bytes.length,
    });
    response.end(answer.bytes);
}
