import { createHash, timingSafeEqual } from "node:crypto";

/** The sha-256 of a key as 64 lowercase hexadecimal digits. Keys are stored and compared only as hashes. */
export function hashKey(key: string): string {
    return createHash("sha256").update(key, "utf8").digest("hex");
}

/** Compares two hashes in constant time. */
export function equalHashes(a: string, b: string): boolean {
    const left = Buffer.from(a, "latin1");
    const right = Buffer.from(b, "latin1");
    return left.length === right.length && timingSafeEqual(left, right);
}

/** The key in an `authorization: Bearer <key>` header value, or undefined. */
export function bearerKey(authorization: string | undefined): string | undefined {
    return /^Bearer ([!-~]{1,512})$/i.exec(authorization ?? "")?.[1];
}
