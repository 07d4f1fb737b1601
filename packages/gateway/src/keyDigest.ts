import { createHash } from "node:crypto";

const digestLength = 8;

/** The start of a key's SHA-256 digest, by which operators recognise a key in logs that must not hold it. */
export function keyDigest(key: string): string {
    return createHash("sha256").update(key.replace(/^bearer +/i, "").trim()).digest("hex").slice(0, digestLength);
}
