import { z } from "zod";
import { delay, dropConnection, HttpError, listen, parseBody, sendJson } from "./listener.ts";
import type { Received, Standin } from "./listener.ts";

/**
 * How a service handles a request, given in the field `standin` of the body or, for the next requests, by control. With
 * `hang`, the service never answers; it executes the request only with `after`. `error` is the status of a refusal
 * without execution. `loseReply` executes the request and destroys the connection.
 */
export const behaviour = z.object({
    delayMs: z.number().nonnegative().optional(),
    hang: z.enum(["before", "after"]).optional(),
    error: z.number().int().min(400).max(599).optional(),
    loseReply: z.boolean().optional(),
});

/** How a service handles a request. */
export type Behaviour = z.infer<typeof behaviour>;

/** Settings of the service stand-in. */
export interface ServiceOptions {
    readonly port?: number;
    /** Answers a repeated idempotency key with the first execution's answer. */
    readonly dedupe?: boolean;
    /** Duration of each execution in milliseconds. */
    readonly delayMs?: number;
}

/** Counts of the requests and executions of a service. */
export interface ServiceCounts {
    readonly requests: number;
    readonly executions: number;
    /** Executions by idempotency key; requests without one count under "". */
    readonly byIdempotencyKey: Readonly<Record<string, number>>;
    readonly byPath: Readonly<Record<string, number>>;
    readonly deduplicated: number;
}

/** A plain service. */
export interface Service extends Standin {
    /** Sets the behaviour for the next `count` requests; without `count`, for all requests until it is changed. */
    behave(nextBehaviour: Behaviour, count?: number): void;
    counts(): ServiceCounts;
}

const controlRequest = behaviour.extend({ count: z.number().int().positive().optional() });

/** Starts a service on a loopback port. */
export async function createService(options: ServiceOptions = {}): Promise<Service> {
    const counted = { requests: 0, executions: 0, deduplicated: 0 };
    const byIdempotencyKey: Record<string, number> = {};
    const byPath: Record<string, number> = {};
    const answers = new Map<string, object>();
    let controlled: { readonly behaviour: Behaviour; left: number; } = { behaviour: {}, left: 0 };
    const counts = (): ServiceCounts => ({
        ...counted,
        byIdempotencyKey: { ...byIdempotencyKey },
        byPath: { ...byPath },
    });

    function behave(nextBehaviour: Behaviour, count?: number): void {
        controlled = { behaviour: nextBehaviour, left: count ?? Infinity };
    }

    function behaviourOf(body: unknown): Behaviour {
        const requested = z.looseObject({ standin: behaviour }).safeParse(body).data?.standin ?? {};
        if (controlled.left <= 0) {
            return requested;
        }
        controlled.left -= 1;
        return { ...requested, ...controlled.behaviour };
    }

    function execute(key: string, path: string, body: unknown): object {
        const firstAnswer = answers.get(key);
        if (options.dedupe === true && key !== "" && firstAnswer !== undefined) {
            counted.deduplicated += 1;
            return firstAnswer;
        }
        counted.executions += 1;
        byPath[path] = (byPath[path] ?? 0) + 1;
        byIdempotencyKey[key] = (byIdempotencyKey[key] ?? 0) + 1;
        const answer = { ok: true, execution: byIdempotencyKey[key], echo: body };
        if (options.dedupe === true && key !== "") {
            answers.set(key, answer);
        }
        return answer;
    }

    async function call(received: Received): Promise<void> {
        const { response } = received;
        if (received.method !== "POST") {
            throw new HttpError(405, "the path does not take this method");
        }
        counted.requests += 1;
        const body = parseBody(received, z.unknown());
        const effective = behaviourOf(body);
        if (effective.hang === "before") {
            return;
        }
        if (effective.error !== undefined) {
            throw new HttpError(effective.error, "refused as asked");
        }
        const answer = execute(keyOf(received), `/${received.path.join("/")}`, body);
        await delay(effective.delayMs ?? options.delayMs ?? 0);
        if (effective.loseReply === true) {
            dropConnection(response);
        }
        else if (effective.hang !== "after") {
            sendJson(response, 200, answer);
        }
    }

    function control(received: Received): void {
        switch (`${received.method} ${received.path[1]}`) {
            case "GET counts":
                sendJson(received.response, 200, counts());
                return;
            case "POST behaviour": {
                const { count, ...wanted } = parseBody(received, controlRequest);
                behave(wanted, count);
                sendJson(received.response, 200, { ok: true });
                return;
            }
        }
        throw new HttpError(404, "there is no such control");
    }

    const standin = await listen(
        options.port ?? 0,
        received => received.path[0] === "control" ? control(received) : call(received),
    );
    return { ...standin, behave, counts };
}

function keyOf(received: Received): string {
    const key = received.headers["idempotency-key"];
    return typeof key === "string" ? key : "";
}
