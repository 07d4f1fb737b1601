import type { ByteAccount } from "@tamarackgauge/core/gateway";
import type { IncomingMessage } from "node:http";
import { createBodyBuffer } from "./bodyBuffer.ts";

/** Why a body could not be read. `broken`: the caller has disconnected, so no answer is sent. */
export type BodyFailure = "tooLarge" | "tooSlow" | "noRoom" | "broken";

/** Limits of a body. */
export interface BodyLimits {
    readonly maxBytes: number;
    readonly timeoutMs: number;
}

/** The body of a request. */
export interface RequestBody {
    /** Resolves when the body has come, or cannot be taken. */
    within(limits: BodyLimits): Promise<Buffer | BodyFailure>;
}

/**
 * Reads the body of a request from its arrival on, as what Node.js keeps of an unread body is in no account. While it has
 * not come, the call may be ended for others.
 */
export function readBody(request: IncomingMessage, account: ByteAccount): RequestBody {
    const buffer = createBodyBuffer();
    let maxBytes = Infinity;
    let isEnded = false;
    let resolveResult: (result: Buffer | BodyFailure) => void;
    const result = new Promise<Buffer | BodyFailure>(resolve => resolveResult = resolve);
    account.setReclaimable(() => finish("noRoom"));
    request.on("data", appendChunk);
    request.once("end", () => finish(buffer.toBuffer()));
    request.once("error", () => finish("broken"));
    request.once("close", () => finish("broken"));

    function appendChunk(chunk: Buffer): void {
        const cost = buffer.costOf(chunk);
        if (buffer.length() + chunk.length > maxBytes) {
            finish("tooLarge");
        }
        else if (cost > 0 && !account.reserve(cost)) {
            finish("noRoom");
        }
        else {
            buffer.append(chunk);
        }
    }

    function finish(outcome: Buffer | BodyFailure): void {
        if (isEnded) {
            return;
        }
        isEnded = true;
        account.setReclaimable();
        request.off("data", appendChunk);
        // The rest of a refused body is read and discarded until the answer has been sent.
        request.resume();
        resolveResult(outcome);
    }

    return {
        async within(limits) {
            maxBytes = limits.maxBytes;
            if (buffer.length() > maxBytes) {
                finish("tooLarge");
            }
            const timer = setTimeout(() => finish("tooSlow"), limits.timeoutMs);
            const outcome = await result;
            clearTimeout(timer);
            return outcome;
        },
    };
}
