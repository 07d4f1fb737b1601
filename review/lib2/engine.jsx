// Stand-ins of engines (PROTOCOL.md, "Engines"): each records what it has run.
import { createServer } from "node:http";

/** Starts an engine. `serve(call, response, engine)` runs one request that has come whole. */
export async function startEngine({ id, serve, host = "127.0.0.1" }) {
    const runs = [];
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const target = request.headers["x-target-instance"];
            if (target !== undefined && target !== id) {
                response.writeHead(421, { "x-instance-id": id, "x-request-id": request.headers["x-request-id"] ?? "", "content-length": 0 });
                response.end();
                return;
            }
            if (request.headers["x-request-id"] === undefined) {
                response.writeHead(400, { "x-not-executed": "1", "content-length": 0 });
                response.end();
                return;
            }
            const call = { id: request.headers["x-request-id"], method: request.method, path: request.url, headers: request.headers,
                body: Buffer.concat(chunks), at: performance.now(), engine: id,
                port: request.socket.remotePort };
            runs.push(call);
            serve(call, response);
        });
    });
    server.keepAliveTimeout = 10_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    return { id, runs, server, port: server.address().port, close() {
        server.close();
        server.closeAllConnections();
    } };
}

/** The events of a stream, `count` of them. */
export function eventsOf(call, count = 5, tokensText = "word") {
    return Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: ${call.id}.${index + 1} ${tokensText}\n\n`);
}

/** What the system has to keep of a stream's events: the data of each, followed by a line feed. */
export function dataOf(events) {
    return events.map(event => `${/^data: (.*)$/m.exec(event)[1]}\n`).join("");
}

/** Answers a turn at once with its stream. */
export function answerTurn(call, response, count = 5) {
    response.writeHead(200, { "x-request-id": call.id, "x-response-signature": `s.${call.id}`, "content-type": "text/event-stream" });
    response.end(eventsOf(call, count).join(""));
}

/** The operator's first configuration: turns that are kept, one idempotent route and one that is not. */
export function configuration(changes = {}) {
    const defaults = { hostname: "app.example", targetLatencyMs: 250, priority: 0, maxAttempts: 2 };
    return { version: 7, routes: [
        { ...defaults, name: "r-turn", prefix: "/turn/", routeType: "streaming", timeoutMs: 3_000, backend: "models", retain: true,
            retentionS: 60, sticky: true, resumable: false, gapAimMs: 300 },
        { ...defaults, name: "r-look", prefix: "/look/", routeType: "idempotent", timeoutMs: 3_000, backend: "app" },
        { ...defaults, name: "r-file", prefix: "/file/", routeType: "non_idempotent", timeoutMs: 3_000, backend: "app" },
    ], backends: [
        { name: "models", healthCheck: "/healthz", maxConnections: 160, protocol: "h1", tls: false, engine: { slots: 12,
            kvCapacityTokens: 395_977, kvTokenBytes: 327_680, linkMbps: 2_200_000, moves: true, backups: true, eventTokens: 27,
            most: 12, pinMs: 4_000, holdMs: 2_000, handle_s: 5, models: [{ name: "m" }] } },
        { name: "app", healthCheck: "/healthz", maxConnections: 110, protocol: "h1", tls: false },
    ], limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }, ...changes };
}

/** What an engine writes under its id. */
export function entryOf(engine, backend, changes = {}) {
    return { backend, address: `127.0.0.1:${engine.port}`, zone: "zone-a", version: "v1", slots: 12, state: "ready",
        coldRemainingMs: 0, sequence: 1, ...backend === "models" ? { stage: "both", models: [{ name: "m", version: 1, adapters: [] }] } : {},
        ...changes };
}
