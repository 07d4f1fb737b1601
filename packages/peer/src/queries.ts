import { RefusalError, refuse } from "@tamarackgauge/core";
import { type CloseReason, LinkError, ProtocolError, QueryError } from "./reason.ts";
import type { PeerSettings } from "./setting.ts";
import { messageKinds, pack, unpack, type WireMessage } from "./wire.ts";

/**
 * Handles a query of the daemon `from`. If it throws, the querying daemon gets a QueryError with the error's message.
 */
export type QueryHandler = (from: string, name: string, body: unknown) => Promise<unknown>;

/** Queries on a link, in both directions: one request with one response. */
export interface Queries {
    query(name: string, body: unknown, timeoutMs: number): Promise<unknown>;
    receive(message: WireMessage): void;
    fail(reason: CloseReason): void;
    count(): number;
}

/** Maximum number of queries of a peer that are handled at the same time; further ones get an error. */
const maxConcurrentQueries = 1024;

interface PendingQuery {
    readonly resolve: (body: unknown) => void;
    readonly reject: (error: Error) => void;
    sent: boolean;
}

export function createQueries(
    peer: string,
    settings: PeerSettings,
    handleQuery: QueryHandler,
    push: (message: WireMessage, onFlush?: () => void) => void,
): Queries {
    const pending = new Map<number, PendingQuery>();
    const timers = new Map<number, NodeJS.Timeout>();
    let lastId = 0;
    let queriesInProgress = 0;
    let closeReason: CloseReason | undefined;

    function query(name: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const packedBody = pack(body);
        if (packedBody.length > settings.maxMessageBytes) {
            return Promise.reject(new RefusalError(refuse("body_too_large", "notRun")));
        }
        if (closeReason !== undefined) {
            return Promise.reject(new LinkError(peer, closeReason, false));
        }
        lastId += 1;
        const id = lastId;
        return new Promise<unknown>((resolve, reject) => {
            const entry: PendingQuery = { resolve, reject, sent: false };
            pending.set(id, entry);
            push([messageKinds.query, id, name, packedBody], () => {
                entry.sent = true;
            });
            const timer = setTimeout(() => {
                removePending(id)?.reject(new QueryError(peer, `no response to query ${name} within ${timeoutMs} ms`));
            }, timeoutMs);
            timers.set(id, timer);
        });
    }

    function removePending(id: number): PendingQuery | undefined {
        const entry = pending.get(id);
        clearTimeout(timers.get(id));
        pending.delete(id);
        timers.delete(id);
        return entry;
    }

    async function respond(id: number, name: string, body: unknown): Promise<void> {
        queriesInProgress += 1;
        try {
            const packedResult = pack(await handleQuery(peer, name, body));
            push(packedResult.length > settings.maxMessageBytes
                ? [messageKinds.queryError, id, "the answer is larger than the limit"]
                : [messageKinds.queryResult, id, packedResult]);
        }
        catch (error) {
            push([messageKinds.queryError, id, errorMessageOf(error)]);
        }
        finally {
            queriesInProgress -= 1;
        }
    }

    return {
        query,
        receive(message) {
            if (message[0] === messageKinds.query) {
                const body = unpack(message[3]);
                if (queriesInProgress >= maxConcurrentQueries) {
                    push([messageKinds.queryError, message[1], "too many asks at once"]);
                    return;
                }
                void respond(message[1], message[2], body);
                return;
            }
            const id = message[1] as number;
            if (id > lastId) {
                throw new ProtocolError("stream_reused", `query ${id} was never sent`);
            }
            // There is no entry if the response arrives after the timeout.
            const entry = removePending(id);
            if (message[0] === messageKinds.queryResult) {
                entry?.resolve(unpack(message[2]));
            }
            else if (message[0] === messageKinds.queryError) {
                entry?.reject(new QueryError(peer, message[2]));
            }
        },
        fail(reason) {
            closeReason = reason;
            for (const [id, entry] of [...pending]) {
                removePending(id);
                entry.reject(new LinkError(peer, reason, entry.sent));
            }
        },
        count: () => pending.size,
    };
}

function errorMessageOf(error: unknown): string {
    return (error instanceof Error ? error.message : String(error)).slice(0, 1000);
}
