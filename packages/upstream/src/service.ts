import { Agent, request } from "undici";

/** A call of a plain HTTP service (not a model engine); the timeout is in milliseconds. */
export interface ServiceCall {
    readonly path: string;
    readonly body: string;
    /** Id of the request, sent as the `idempotency-key` header. */
    readonly request: string;
    readonly timeout: number;
}

/** The answer of a plain service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly body: string;
}

/** A service gave no answer. `sent` is false only if the request was certainly not sent. */
export class ServiceError extends Error {
    constructor(text: string, readonly sent: boolean) {
        super(text);
    }
}

/** Client of one plain service. */
export interface ServiceClient {
    /** Sends the call once, without retries. Throws a `ServiceError`. */
    call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
    [Symbol.asyncDispose](): Promise<void>;
}

const connectTimeoutMs = 1_000;
/** Errors of connections that were never established. */
const unsentErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Creates a client of the service at an address, `http://<address>:<port>`. */
export function createServiceClient(url: string): ServiceClient {
    const agent = new Agent({ connections: 128, connectTimeout: connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0,
        pipelining: 0 });

    async function call(options: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
        try {
            const response = await request(`${url}/${options.path}`, {
                method: "POST",
                headers: { "content-type": "application/json", "idempotency-key": options.request },
                body: options.body,
                dispatcher: agent,
                // A pooled connection may have stopped responding; a new one proves that the service is reachable.
                reset: true,
                signal: AbortSignal.any([signal, AbortSignal.timeout(options.timeout)]),
            });
            return { status: response.statusCode, body: await response.body.text() };
        }
        catch (error) {
            const { code, message } = error as Error & { code?: string; };
            throw new ServiceError(message, !unsentErrorCodes.has(code ?? ""));
        }
    }

    return { call, [Symbol.asyncDispose]: () => agent.destroy() };
}
