import { bearerKey, equalHashes, hashKey, refuse } from "@tamarackgauge/core";
import type { Route, RouteAnswer } from "@tamarackgauge/core";
import { writeRecord } from "@tamarackgauge/timeline";
import type { Timeline } from "@tamarackgauge/timeline";

/** `GET /timeline?after=N&program=...`: the events in memory as newline-delimited JSON, for operators. */
export function createTimelineRoute(timeline: Timeline, operatorKeyHash: string): Route {
    return {
        method: "GET",
        path: "/timeline",
        authorize: ({ authorization }) => {
            const key = bearerKey(typeof authorization === "string" ? authorization : undefined);
            return equalHashes(hashKey(key ?? ""), operatorKeyHash) ? undefined : refuse("key_rejected", "notRun");
        },
        handle: async ({ query }): Promise<RouteAnswer> => {
            const after = Number(query.get("after") ?? "0");
            const program = query.get("program") ?? undefined;
            if (!Number.isSafeInteger(after) || after < 0) {
                const error = refuse("invalid_header", "notRun", "after is not a sequence number");
                return { status: 400, body: JSON.stringify({ error }) };
            }
            const excerpt = timeline.read({ after, ...program === undefined ? {} : { program } });
            return {
                status: 200,
                headers: { "content-type": "application/x-ndjson", "cache-control": "no-store" },
                body: [...writeRecord(excerpt)].join(""),
            };
        },
    };
}
