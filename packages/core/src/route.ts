import type { Refusal } from "./code.ts";

/** A request to a `Route`, with its complete body. */
export interface RouteRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    /** Aborts when the connection closes. */
    readonly signal: AbortSignal;
}

/** The HTTP response of a route. */
export interface RouteResponse {
    readonly status: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body: string;
}

/** A path that the HTTP server handles in addition to the paths of calls, such as the operators' paths. */
export interface Route {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    /** Returns a refusal for a request that is not authorized. Called before the body is read. */
    authorize?(headers: RouteRequest["headers"]): Refusal | undefined;
    handle(request: RouteRequest): Promise<RouteResponse>;
}
