// Engines send answers that have no length and end with their connection. One engine of each service resets the
// connection in the middle of 2 % of its answers.
import { createServer } from "node:http";
import { configuration, freePort, newId, record, registerEngine, runCase, send, sleep, startGateways, startPlatform,
    trouble } from "../lib/deployment.jsx";

const brokenShare = 0.02;
const calls = 800;
const turns = 400;
const events = 8;
const wholeAnswers = new Map();

/** An engine whose answers have neither a length nor chunks. A `faulty` one resets some of them half-way. */
async function startEngine({ id, backend, faulty }) {
    let executed = 0;
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => void answer(request, response));
    });

    async function answer(request, response) {
        const callId = request.headers["x-request-id"];
        if (request.headers["x-target-instance"] !== id) {
            response.writeHead(421, { "X-Request-Id": callId, "X-Not-Executed": "1" }).end();
            return;
        }
        executed += 1;
        const broken = trouble && faulty && executed % (1 / brokenShare) === 0;
        const pieces = backend === "models"
            ? Array.from({ length: events }, (_, index) => `id: ${index + 1}\ndata: ${"t".repeat(160)}${index + 1}\n\n`)
            : ["a".repeat(400), "b".repeat(400)];
        wholeAnswers.set(callId, pieces.join(""));
        record(`${id} runs ${callId}${broken ? " and resets its connection half-way" : ""}`);
        const { socket } = response;
        socket.write([
            "HTTP/1.1 200 OK", `X-Request-Id: ${callId}`, `X-Response-Signature: 3e1b.${id}`, "X-Server-Load: 1,0,12",
            ...backend === "models" ? ["Content-Type: text/event-stream"] : [], "Connection: close", "", "",
        ].join("\r\n"));
        for (const [index, piece] of pieces.entries()) {
            await sleep(5);
            if (broken && index === pieces.length / 2) {
                socket.resetAndDestroy();
                return;
            }
            socket.write(piece);
        }
        socket.end();
    }

    const port = await freePort();
    await new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    return { id, backend, port };
}

runCase(async () => {
    const platform = await startPlatform(configuration(1));
    for (const engine of [
        { id: "i-models-1", backend: "models", faulty: true },
        { id: "i-models-2", backend: "models", faulty: false },
        { id: "i-app-1", backend: "app", faulty: true },
        { id: "i-app-2", backend: "app", faulty: false },
    ]) {
        registerEngine(platform, await startEngine(engine));
    }
    const gateways = await startGateways(platform, 3);
    const counts = { whole: 0, incomplete: 0, failed: 0, mixed: 0 };

    async function call(index, { path, headers, body }) {
        const id = newId();
        const gateway = gateways[index % gateways.length];
        const answer = await send({ port: gateway.front, path, body, headers: { "Host": "review.example",
            "X-Request-Id": id, ...headers } }).catch(error => error);
        if (answer instanceof Error || answer.status !== 200) {
            counts.failed += 1;
            record(`client: ${id} (${path}) at ${gateway.name}: ${answer.status ?? answer.message}`);
            return;
        }
        const whole = answer.body.toString("latin1") === wholeAnswers.get(id);
        const kind = whole ? "whole" : answer.complete ? "mixed" : "incomplete";
        counts[kind] += 1;
        record(`client: ${id} (${path}) at ${gateway.name}: 200, signature ${answer.headers["x-response-signature"]}, ` +
            `${answer.body.length} of ${wholeAnswers.get(id)?.length} bytes, framed as ` +
            `${answer.complete ? "complete" : "incomplete"}${kind === "mixed" ? "  <-- MIXED" : ""}`);
    }

    const work = [
        ...Array.from({ length: calls }, (_, index) => ({
            path: index % 2 === 0 ? "/status/1" : "/charge/1", body: index % 2 === 0 ? undefined : "a charge",
            headers: { "X-Deadline-Ms": "1000", "X-Program-Id": `p${index}` },
        })),
        ...Array.from({ length: turns }, (_, index) => ({
            path: "/turn/1", body: "the input of a turn",
            headers: { "X-Deadline-Ms": "3000", "X-Program-Id": `t${index}`, "X-Session-Id": `s${index}`, "X-Model": "m",
                "X-Token-Usage": `20,${events * 27}`, "X-Token-Budget": "4536" },
        })),
    ];
    let next = 0;
    await Promise.all(Array.from({ length: 12 }, async () => {
        while (next < work.length) {
            const index = next++;
            await call(index, work[index]);
        }
    }));
    return { broken: counts.mixed > 0, text: `MIXED ${counts.mixed}; whole ${counts.whole}, framed as incomplete ` +
        `${counts.incomplete}, failed ${counts.failed} of ${work.length}` };
});
