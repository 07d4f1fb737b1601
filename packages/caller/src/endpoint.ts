/** Method and path of a route that the daemon adds to the fixed endpoints. */
export interface AddedRoute {
    readonly method: string;
    readonly path: string;
}

/** The endpoint of a method and path. `rest` is the part of the path that names a service or a program. */
export type Endpoint<Added extends AddedRoute> =
    | { readonly kind: "chat" | "tool" | "program" | "health" | "ready" | "metrics"; readonly rest: string; }
    | { readonly kind: "added"; readonly added: Added; }
    | { readonly kind: "otherMethod"; readonly allowed: readonly string[]; }
    | { readonly kind: "unknown"; };

interface FixedEndpoint {
    readonly methods: readonly string[];
    /** An exact path, or a prefix if it ends with `/`. */
    readonly path: string;
    readonly kind: "chat" | "tool" | "program" | "health" | "ready" | "metrics";
}

const fixedEndpoints: readonly FixedEndpoint[] = [
    { methods: ["POST"], path: "/v1/chat/completions", kind: "chat" },
    { methods: ["POST"], path: "/v1/tools/", kind: "tool" },
    { methods: ["DELETE"], path: "/v1/programs/", kind: "program" },
    { methods: ["GET", "HEAD"], path: "/healthz", kind: "health" },
    { methods: ["GET", "HEAD"], path: "/readyz", kind: "ready" },
    { methods: ["GET", "HEAD"], path: "/metrics", kind: "metrics" },
];

/** Finds the endpoint of a request. The path is matched without normalisation, so `..` cannot select another one. */
export function findEndpoint<Added extends AddedRoute>(
    method: string,
    url: string,
    addedRoutes: readonly Added[],
): Endpoint<Added> {
    const path = url.split("?", 1)[0] ?? "";
    const entry = fixedEndpoints.find(each =>
        each.path.endsWith("/") ? path.startsWith(each.path) : path === each.path
    );
    if (entry !== undefined) {
        return entry.methods.includes(method)
            ? { kind: entry.kind, rest: url.slice(entry.path.length) }
            : { kind: "otherMethod", allowed: entry.methods };
    }
    const candidates = addedRoutes.filter(each => each.path === path);
    const added = candidates.find(each => each.method === method);
    if (added !== undefined) {
        return { kind: "added", added };
    }
    const allowed = candidates.map(each => each.method);
    return allowed.length === 0 ? { kind: "unknown" } : { kind: "otherMethod", allowed };
}
