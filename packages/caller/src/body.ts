import { RefusalError, refuse } from "@tamarackgauge/core";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Limits the total size of all bodies being received, so that many slow uploads cannot exhaust the memory. */
export interface BodyMemory {
    usedBytes: number;
    readonly limitBytes: number;
}

/**
 * Reads a whole body of at most `limit` bytes. Rejects with a `RefusalError` if the body is too large or the memory
 * for bodies is exhausted, and with another error if the connection closes first.
 */
export async function receiveBody(
    request: IncomingMessage,
    response: ServerResponse,
    limit: number,
    memory: BodyMemory,
): Promise<Buffer> {
    if (Number(request.headers["content-length"] ?? 0) > limit) {
        throw bodyTooLarge(limit);
    }
    if (request.headers.expect !== undefined) {
        response.writeContinue();
    }
    const chunks: Buffer[] = [];
    let size = 0;
    try {
        await new Promise<void>((resolve, reject) => {
            request.on("data", (chunk: Buffer) => {
                size += chunk.length;
                memory.usedBytes += chunk.length;
                chunks.push(chunk);
                if (size > limit) {
                    reject(bodyTooLarge(limit));
                }
                else if (memory.usedBytes > memory.limitBytes) {
                    reject(new RefusalError(refuse("overloaded", "notRun", "too many bodies are arriving", 1000)));
                }
            });
            request.on("end", resolve);
            request.on("error", reject);
            request.on("close", () => reject(new Error("the connection closed before the body was complete")));
        });
        return Buffer.concat(chunks);
    }
    finally {
        request.removeAllListeners("data");
        memory.usedBytes -= size;
    }
}

function bodyTooLarge(limit: number): RefusalError {
    return new RefusalError(refuse("body_too_large", "notRun", `more than ${limit} bytes`));
}
