import type { UpstreamEntry } from "./call.ts";

/** Identifies one start of an upstream. What is known of one incarnation does not hold for the next one. */
export function incarnationOf({ id, service, address, port, startedAt }: UpstreamEntry): string {
    return [id, service, address, port, startedAt].join(" ");
}
