// A route keeps turns for 10 s. A program makes its first turn; the operator then splits the route: a new one with a
// longer prefix takes the program's path and keeps turns for 60 s. The program makes its second turn, and its third one
// while the second is younger than 60 s.
import { createServer } from "node:http";
import { configuration, freePort, newId, record, registerEngine, runCase, send, sleep, startGateways, startPlatform,
    trouble } from "../lib/deployment.jsx";

const programs = 20;
const shortRetentionS = 10;
const longRetentionS = 60;
/** When the third turn is sent, after the second one was answered. */
const pauseMs = 30_000;

async function startEngine({ id, backend }) {
    const bodies = new Map();
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => void answer(request, response, Buffer.concat(chunks)));
    });

    async function answer(request, response, body) {
        const callId = request.headers["x-request-id"];
        if (request.headers["x-target-instance"] !== id) {
            response.writeHead(421, { "X-Request-Id": callId, "X-Not-Executed": "1" }).end();
            return;
        }
        record(`${id} runs ${callId} with ${body.length} bytes`);
        bodies.set(callId, body.toString("latin1"));
        response.writeHead(200, { "X-Request-Id": callId, "X-Response-Signature": `3e1b.${id}`,
            "X-Server-Load": "1,0,12", "Content-Type": "text/event-stream" });
        for (let event = 1; event <= 4; event += 1) {
            await sleep(5);
            response.write(`id: ${event}\ndata: ${callId}.${event}\n\n`);
        }
        response.end();
    }

    const port = await freePort();
    await new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    return { id, backend, port };
}

runCase(async () => {
    const before = configuration(1, { turn: { retentionS: shortRetentionS } });
    const added = { ...before.routes[0], name: "turn-waiver", prefix: "/turn/waiver/", retentionS: longRetentionS };
    const after = { ...before, version: 2, routes: [...before.routes, added] };
    // Without the change, the route is there from the start.
    const platform = await startPlatform(trouble ? before : after);
    for (const id of ["i-models-1", "i-models-2"]) {
        registerEngine(platform, await startEngine({ id, backend: "models" }));
    }
    const gateways = await startGateways(platform, 3);

    /** Sends a turn; resolves with its id and status. */
    async function turn(program, number, previous) {
        const id = newId();
        const gateway = gateways[(program + number) % gateways.length];
        const sentAt = performance.now();
        const answer = await send({ port: gateway.front, path: "/turn/waiver/1", body: `input ${number} of ${program};`,
            headers: { "Host": "review.example", "X-Request-Id": id, "X-Deadline-Ms": "3000",
                "X-Program-Id": `p${program}`, "X-Session-Id": `s${program}`, "X-Model": "m", "X-Token-Usage": "20,108",
                "X-Token-Budget": "4536", ...previous === undefined ? {} : { "X-Previous-Turn": previous.id } } });
        const age = previous === undefined ? "" : `, ${((sentAt - previous.endedAt) / 1_000).toFixed(1)} s after it ended`;
        record(`client: program ${program} turn ${number} (${id}) at ${gateway.name}${previous === undefined
            ? "" : `, X-Previous-Turn ${previous.id}${age}`}: ${answer.status}, ` +
            `${answer.complete ? "complete" : "incomplete"}`);
        return { id, status: answer.status, whole: answer.status === 200 && answer.complete,
            endedAt: performance.now() };
    }

    const all = Array.from({ length: programs }, (_, index) => index);
    const first = await Promise.all(all.map(program => turn(program, 1)));
    if (trouble) {
        platform.configure(after);
    }
    await sleep(2_500);
    const second = await Promise.all(all.map(program => turn(program, 2, first[program])));
    if (![...first, ...second].every(({ whole }) => whole)) {
        throw new Error("a turn of the preparation was not answered whole");
    }
    await sleep(pauseMs);
    const third = await Promise.all(all.map(program => turn(program, 3, second[program])));
    const lost = third.filter(({ status }) => status === 404 || status === 410).length;
    return { broken: lost > 0, text: `LOST ${lost} of ${programs}: turns answered 404 whose X-Previous-Turn names a turn ` +
        `that was answered whole about ${pauseMs / 1_000} s ago by a route with retentionS ${longRetentionS}` };
});
