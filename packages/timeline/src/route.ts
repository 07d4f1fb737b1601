import { refuse } from "@tamarackgauge/core";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { z } from "zod";
import { writeRecord } from "./record.ts";
import type { Timeline } from "./timeline.ts";

const query = z.object({
    after: z.string().regex(/^\d{1,15}$/).transform(Number).default(0),
    program: z.string().min(1).max(512).optional(),
});

/** Characters collected before a write. The size is small because other work of the process waits meanwhile. */
const chunkCharacters = 16_384;

/**
 * Answers `GET /timeline?after=N&program=...` with newline-delimited JSON. The daemon has already checked the operator
 * key. Answers 400 with a numbered error when a parameter is not valid.
 */
export async function handleTimeline(
    timeline: Timeline,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const url = new URL(request.url ?? "/", "http://localhost");
    const selection = query.safeParse(Object.fromEntries(url.searchParams));
    if (!selection.success) {
        const error = refuse("invalid_header", "notRun", z.prettifyError(selection.error));
        response.writeHead(400, { "content-type": "application/json" });
        response.end(JSON.stringify({ error }));
        return;
    }
    response.writeHead(200, { "content-type": "application/x-ndjson", "cache-control": "no-store" });
    let chunk = "";
    for (const line of writeRecord(timeline.read(selection.data))) {
        chunk += line;
        if (chunk.length >= chunkCharacters) {
            const written = response.write(chunk);
            chunk = "";
            if (!written && !await waitForDrain(response)) {
                return;
            }
            // Yields to calls in progress between chunks. Waiting for the drain event is not enough: a socket that
            // accepts all data drains in the same turn of the event loop.
            await nextTurn();
        }
    }
    response.end(chunk);
}

/** Waits until the client has read the data; false if it has disconnected. */
async function waitForDrain(response: ServerResponse): Promise<boolean> {
    const abort = new AbortController();
    const options = { signal: abort.signal };
    try {
        await Promise.race([once(response, "drain", options), once(response, "close", options)]);
        return !response.destroyed;
    }
    catch {
        return false;
    }
    finally {
        abort.abort();
    }
}
