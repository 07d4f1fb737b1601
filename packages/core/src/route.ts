import type { Refusal } from "./code.ts";

/** A request to a route beside the calls, with its whole body. */
export interface RouteRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** Aborted when the connection closes. */
    readonly signal: AbortSignal;
}

/** The answer of a route. */
export interface RouteResponse {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body: string;
}

/** A path that the HTTP front serves beside the calls, such as the operator's. */
export interface Route {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    /** Gives a refusal for a request that may not go on; asked before the body is read. */
    authorize?(headers: RouteRequest["headers"]): Refusal | undefined;
    handle(request: RouteRequest): Promise<RouteResponse>;
}
