import { createHash, createHmac } from "node:crypto";
import type { Message } from "./call.ts";
import { equalHashes } from "./key.ts";

/** A caller's proof of a history: the next sequence number and the digest of all messages before it. */
export interface Seal {
    readonly sequence: number;
    readonly digest: string;
}

/** The digest of a history without messages. */
export const emptyDigest = "";

/** Continues the digest of a history; message by message, so that a turn costs only its own messages. */
export function extendDigest(digest: string, messages: readonly Message[]): string {
    return messages.reduce(
        (previous, message) => createHash("sha256").update(previous).update(JSON.stringify(message)).digest("hex"),
        digest,
    );
}

/** Writes a seal for a program: `<sequence>.<digest>.<hmac>`. */
export function createSeal(key: string, program: string, seal: Seal): string {
    const payload = `${seal.sequence}.${seal.digest}`;
    return `${payload}.${sign(key, program, payload)}`;
}

/** Reads a seal of a program; undefined when it is not one that this key wrote. */
export function verifySeal(key: string, program: string, text: string): Seal | undefined {
    const [sequence = "", digest = "", signature = ""] = text.split(".");
    if (!/^\d{1,9}$/.test(sequence) || !equalHashes(signature, sign(key, program, `${sequence}.${digest}`))) {
        return undefined;
    }
    return { sequence: Number(sequence), digest };
}

function sign(key: string, program: string, payload: string): string {
    return createHmac("sha256", key).update(`${program}\n${payload}`).digest("hex");
}
