import { z } from "zod";
import { delay, HttpError, parseBody, sendJson } from "../listener.ts";
import type { Received } from "../listener.ts";
import type { PrefixCache } from "./cache.ts";
import { countSegmentTokens } from "./prompt.ts";

const prefix = z.object({ key: z.string(), model: z.string(), segments: z.array(z.string()) });
const exportRequest = z.object({ key: z.string() });

/** Answers `GET /v1/cache`. */
export function listCache(cache: PrefixCache, received: Received): void {
    sendJson(received.response, 200, { entries: cache.list() });
}

/**
 * Answers `DELETE /v1/cache/<key>`. While a call of the program runs, `pending` is true and the call's end releases the
 * entry.
 */
export function releaseKey(cache: PrefixCache, received: Received): void {
    const key = received.path.slice(2).join("/");
    const tokens = cache.release(key);
    const pending = cache.list().some(entry => entry.key === key);
    sendJson(received.response, 200, { key, tokens, pending });
}

/** Answers `POST /v1/cache/export`. */
export function exportKey(cache: PrefixCache, received: Received): void {
    const exported = cache.export(parseBody(received, exportRequest).key);
    if (exported === undefined) {
        throw new HttpError(404, "the key is not held");
    }
    sendJson(received.response, 200, exported);
}

/** Answers `POST /v1/cache/import`. The simulated transfer runs at `rate` tokens per second. */
export async function importKey(cache: PrefixCache, rate: number, received: Received): Promise<void> {
    const imported = parseBody(received, prefix);
    const tokens = countSegmentTokens(imported.segments);
    await delay(tokens * 1000 / rate);
    if (!cache.import(imported)) {
        throw new HttpError(507, "the cache has no room");
    }
    sendJson(received.response, 200, { key: imported.key, tokens });
}
