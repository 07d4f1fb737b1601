import { RefusalError, refuse } from "@tamarackgauge/core";
import { AskError, LinkError, ProtocolError, type Reason } from "./reason.ts";
import type { Settings } from "./setting.ts";
import { kinds, pack, unpack, type WireMessage } from "./wire.ts";

/** Answers an ask of the daemon `from`. An error reaches the asking daemon as AskError with its message. */
export type Answer = (from: string, kind: string, body: unknown) => Promise<unknown>;

/** Single questions and answers on a link, in both directions. */
export interface Asks {
    ask(kind: string, body: unknown, timeoutMs: number): Promise<unknown>;
    receive(message: WireMessage): void;
    fail(reason: Reason): void;
    count(): number;
}

/** Most asks of a peer that wait for their answer at once; more are answered with an error. */
const askLimit = 1024;

interface Pending {
    readonly resolve: (body: unknown) => void;
    readonly reject: (error: Error) => void;
    sent: boolean;
}

export function createAsks(
    peer: string,
    settings: Settings,
    answer: Answer,
    push: (message: WireMessage, flushed?: () => void) => void,
): Asks {
    const pending = new Map<number, Pending>();
    const timers = new Map<number, NodeJS.Timeout>();
    let lastId = 0;
    let answering = 0;
    let failed: Reason | undefined;

    function ask(kind: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const bytes = pack(body);
        if (bytes.length > settings.messageLimit) {
            return Promise.reject(new RefusalError(refuse("body_too_large", "notRun")));
        }
        if (failed !== undefined) {
            return Promise.reject(new LinkError(peer, failed, false));
        }
        lastId += 1;
        const id = lastId;
        return new Promise<unknown>((resolve, reject) => {
            const entry: Pending = { resolve, reject, sent: false };
            pending.set(id, entry);
            push([kinds.ask, id, kind, bytes], () => {
                entry.sent = true;
            });
            const timer = setTimeout(() => {
                settle(id)?.reject(new AskError(peer, `no answer to ${kind} within ${timeoutMs} ms`));
            }, timeoutMs);
            timers.set(id, timer);
        });
    }

    function settle(id: number): Pending | undefined {
        const entry = pending.get(id);
        clearTimeout(timers.get(id));
        pending.delete(id);
        timers.delete(id);
        return entry;
    }

    async function reply(id: number, kind: string, body: unknown): Promise<void> {
        answering += 1;
        try {
            const bytes = pack(await answer(peer, kind, body));
            push(bytes.length > settings.messageLimit
                ? [kinds.failed, id, "the answer is larger than the limit"]
                : [kinds.answer, id, bytes]);
        }
        catch (error) {
            push([kinds.failed, id, messageOf(error)]);
        }
        finally {
            answering -= 1;
        }
    }

    return {
        ask,
        receive(message) {
            if (message[0] === kinds.ask) {
                const body = unpack(message[3]);
                if (answering >= askLimit) {
                    push([kinds.failed, message[1], "too many asks at once"]);
                    return;
                }
                void reply(message[1], message[2], body);
                return;
            }
            const id = message[1] as number;
            if (id > lastId) {
                throw new ProtocolError("stream_reused", `ask ${id} was never sent`);
            }
            // An answer that comes after the time limit finds no entry.
            const entry = settle(id);
            if (message[0] === kinds.answer) {
                entry?.resolve(unpack(message[2]));
            }
            else if (message[0] === kinds.failed) {
                entry?.reject(new AskError(peer, message[2]));
            }
        },
        fail(reason) {
            failed = reason;
            for (const [id, entry] of [...pending]) {
                settle(id);
                entry.reject(new LinkError(peer, reason, entry.sent));
            }
        },
        count: () => pending.size,
    };
}

function messageOf(error: unknown): string {
    return (error instanceof Error ? error.message : String(error)).slice(0, 1000);
}
