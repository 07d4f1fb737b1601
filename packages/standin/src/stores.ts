import { systemClock } from "@tamarackgauge/core";
import { createHash } from "node:crypto";
import { ok } from "./faults.ts";
import type { Answer, Faults } from "./faults.ts";
import { HttpError } from "./listener.ts";
import type { Received } from "./listener.ts";
import { createRateLimit, throttledError } from "./rate.ts";

/** Counts of the requests to the object store, including those that a fault affected. */
export interface ObjectCounts {
    readonly objectReads: number;
    readonly objectWrites: number;
}

/** The object store over HTTP. */
export interface ObjectStore {
    /** Answers `/objects/<bucket>/<key>`. */
    handle(received: Received): Promise<void>;
    counts(): ObjectCounts;
}

/** Creates an empty object store. */
export function createObjectStore(faults: Faults): ObjectStore {
    const objects = new Map<string, Buffer>();
    const counted = { objectReads: 0, objectWrites: 0 };

    function answer({ method, body }: Received, key: string): Answer {
        switch (method) {
            case "GET":
                return answerBytes(objects.get(key));
            case "PUT":
                objects.set(key, body);
                return ok({});
            case "DELETE":
                objects.delete(key);
                return ok({});
        }
        throw new HttpError(405, "the path does not take this method");
    }

    return {
        handle(received) {
            const key = received.path.slice(1).join("/");
            counted[received.method === "GET" ? "objectReads" : "objectWrites"] += 1;
            return faults.run({ part: "objects", keys: [key] }, received, () => answer(received, key));
        },
        counts: () => ({ ...counted }),
    };
}

/** The weight store over HTTP. */
export interface WeightStore {
    /** Answers `GET /weights/<model>`. */
    handle(received: Received): Promise<void>;
    /** Answered requests, by model. */
    counts(): Readonly<Record<string, number>>;
}

/** Creates a weight store that has weights for every model name; `perSecond` limits its answers. */
export function createWeightStore(faults: Faults, perSecond: number | undefined): WeightStore {
    const limit = createRateLimit(perSecond);
    const counted: Record<string, number> = {};

    function answer(model: string): Answer {
        if (!limit.take(systemClock.monotonic())) {
            throw throttledError();
        }
        counted[model] = (counted[model] ?? 0) + 1;
        return ok({ model, digest: createHash("sha256").update(model).digest("hex") });
    }

    return {
        handle(received) {
            const model = received.path.slice(1).join("/");
            return faults.run({ part: "weights", keys: [model] }, received, () => answer(model));
        },
        counts: () => ({ ...counted }),
    };
}

function answerBytes(bytes: Buffer | undefined): Answer {
    return bytes === undefined
        ? { status: 404, body: { error: { message: "there is no such object" } } }
        : { status: 200, bytes };
}
