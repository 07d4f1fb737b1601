const routeDefaults = { hostname: "fleet.test", timeoutMs: 2_500, targetLatencyMs: 250, priority: 0, maxAttempts: 2 };

/**
 * A declaration as operators of the users' platform write it. Routes: `/turn/` keeps turns, `/plan/` is resumable, `/look/`
 * is idempotent, `/pay/` runs at most once.
 */
export const gatewayDeclaration = {
    version: 1,
    routes: [
        { ...routeDefaults, name: "turn", prefix: "/turn/", routeType: "streaming", backend: "models", retain: true,
            retentionS: 60 },
        { ...routeDefaults, name: "plan", prefix: "/plan/", routeType: "streaming", backend: "models",
            resumable: true },
        { ...routeDefaults, name: "look", prefix: "/look/", routeType: "idempotent", backend: "tools" },
        { ...routeDefaults, name: "pay", prefix: "/pay/", routeType: "non_idempotent", backend: "tools" },
    ],
    backends: [
        { name: "models", maxConnections: 160, engine: { slots: 12, kvCapacityTokens: 100_000, eventTokens: 10 } },
        { name: "tools", maxConnections: 110 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

/** The path of the readiness check of a gateway. */
export const gatewayReadinessPath = "/tamarackgauge/ready";
