import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { beginStream, writeUpstreamAnswer } from "./callerAnswer.ts";

/** Writes a stream to its caller. */
export interface StreamWriter {
    begin(status: number, headers: IncomingHttpHeaders): void;
    write(bytes: Buffer): void;
    end(): void;
    /** Bytes that wait in memory. */
    heldBytes(): number;
    /** Whether more waits for the caller than should; `drained` resolves when it may continue. */
    isFull(): boolean;
    /** Resolves when the caller has taken what was written, or has disconnected. */
    drained(): Promise<void>;
}

/** Reading from the upstream pauses while more than this waits for the caller. */
const maxWaitingBytes = 256 * 1_024;

/** Passes each event on as it comes. */
class RelayingWriter implements StreamWriter {
    constructor(private readonly response: ServerResponse) {}

    begin(status: number, headers: IncomingHttpHeaders): void {
        beginStream(this.response, status, headers);
    }

    write(bytes: Buffer): void {
        this.response.write(bytes);
    }

    end(): void {
        this.response.end();
    }

    heldBytes(): number {
        return this.response.writableLength;
    }

    isFull(): boolean {
        return this.response.writableLength > maxWaitingBytes;
    }

    drained(): Promise<void> {
        const { response } = this;
        return new Promise(resolve => {
            const settle = () => {
                response.off("drain", settle);
                response.off("close", settle);
                resolve();
            };
            response.on("drain", settle);
            response.on("close", settle);
        });
    }
}

/**
 * Writes the whole stream with its length when it has ended. A caller of HTTP/1.0 takes the end of the connection for the
 * end of an answer without a length, so it could not tell a stream that was broken off from a complete one.
 */
class BufferingWriter implements StreamWriter {
    private readonly chunks: Buffer[] = [];
    private bufferedBytes = 0;
    private head: { readonly status: number; readonly headers: IncomingHttpHeaders; } | undefined;

    constructor(private readonly response: ServerResponse) {}

    begin(status: number, headers: IncomingHttpHeaders): void {
        this.head ??= { status, headers };
    }

    write(bytes: Buffer): void {
        this.chunks.push(bytes);
        this.bufferedBytes += bytes.length;
    }

    end(): void {
        writeUpstreamAnswer(this.response, { ...this.head!, body: Buffer.concat(this.chunks) });
    }

    heldBytes(): number {
        return this.bufferedBytes;
    }

    /** The caller is sent nothing before the end, so it holds nothing up. */
    isFull(): boolean {
        return false;
    }

    async drained(): Promise<void> {}
}

/** Creates the writer that fits the caller's version of HTTP. */
export function createStreamWriter(response: ServerResponse): StreamWriter {
    const { httpVersionMajor, httpVersionMinor } = response.req;
    const knowsChunks = httpVersionMajor > 1 || (httpVersionMajor === 1 && httpVersionMinor >= 1);
    return knowsChunks ? new RelayingWriter(response) : new BufferingWriter(response);
}
