import { createHash, createHmac } from "node:crypto";
import type { Message } from "./call.ts";
import { equalHashes } from "./key.ts";

/** The signed content of a seal: the next sequence number and the digest of all messages before it. */
export interface Seal {
    readonly sequence: number;
    readonly digest: string;
}

/** The digest of an empty history. */
export const emptyDigest = "";

/** Extends the digest of a history. Messages are chained, so that a turn hashes only its own messages. */
export function extendDigest(digest: string, messages: readonly Message[]): string {
    return messages.reduce(
        (previous, message) => createHash("sha256").update(previous).update(JSON.stringify(message)).digest("hex"),
        digest,
    );
}

/** Creates the text of a seal for a program: `<sequence>.<digest>.<hmac>`. */
export function createSeal(key: string, program: string, seal: Seal): string {
    const payload = `${seal.sequence}.${seal.digest}`;
    return `${payload}.${sign(key, program, payload)}`;
}

/** Parses a seal of a program and verifies its signature; undefined if it was not created with this key. */
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
