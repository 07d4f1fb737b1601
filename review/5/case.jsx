// Users come at once and send turns of 4 MB, which maxBodyBytes allows. Twelve of them reach one gateway at the same moment,
// then another one, up to ten times. The platform starts a process again that has ended.
import { createServer } from "node:http";
import { configuration, freePort, newId, record, registerEngine, runCase, send, sleep, startGateways, startPlatform,
    trouble } from "../lib/deployment.jsx";

const bodyBytes = 4_000_000;
const usersPerGateway = 12;
const bursts = 10;
const maxLoadMs = 80_000;
const events = 8;

async function startEngine({ id, backend }) {
    const server = createServer((request, response) => {
        request.resume();
        request.on("end", () => void answer(request, response));
    });

    async function answer(request, response) {
        const callId = request.headers["x-request-id"];
        if (request.headers["x-target-instance"] !== id) {
            response.writeHead(421, { "X-Request-Id": callId, "X-Not-Executed": "1" }).end();
            return;
        }
        record(`${id} runs ${callId}`);
        const isTurn = backend === "models";
        response.writeHead(200, { "X-Request-Id": callId, "X-Response-Signature": `3e1b.${id}`,
            "X-Server-Load": "1,0,12", ...isTurn ? { "Content-Type": "text/event-stream" } : {} });
        for (let event = 1; event <= events && isTurn; event += 1) {
            await sleep(20);
            response.write(`id: ${event}\ndata: ${"t".repeat(160)}\n\n`);
        }
        response.end(isTurn ? undefined : `answer to ${callId}`);
    }

    const port = await freePort();
    await new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
    return { id, backend, port };
}

runCase(async () => {
    const platform = await startPlatform(configuration(1));
    for (const engine of [
        { id: "i-models-1", backend: "models" },
        { id: "i-models-2", backend: "models" },
        { id: "i-app-1", backend: "app" },
    ]) {
        registerEngine(platform, await startEngine(engine));
    }
    const gateways = await startGateways(platform, 3, { limitedStore: true, restart: true });
    const body = Buffer.alloc(bodyBytes, "x");
    const closed = { turns: 0, calls: 0 };

    async function turn(gateway) {
        const id = newId();
        const answer = await send({ port: gateway.front, path: "/turn/1", body, headers: { "Host": "review.example",
            "X-Request-Id": id, "X-Deadline-Ms": "3000", "X-Program-Id": id, "X-Session-Id": id, "X-Model": "m",
            "X-Token-Usage": `20,${events * 27}`, "X-Token-Budget": "4536" } }).catch(error => error);
        closed.turns += answer.status === 200 && answer.complete ? 0 : 1;
        record(`client: turn ${id} at ${gateway.name}: ${answer.status ?? answer.message}, ` +
            `${answer.complete ? "complete" : "incomplete"}`);
    }

    /** Other users of the same gateways, one small call after the other. */
    let finished = false;
    async function callRepeatedly(gateway) {
        while (!finished) {
            const id = newId();
            const answer = await send({ port: gateway.front, path: "/status/1", headers: { "Host": "review.example",
                "X-Request-Id": id, "X-Deadline-Ms": "1000" } }).catch(error => error);
            if (answer.status === undefined) {
                closed.calls += 1;
                record(`client: call ${id} at ${gateway.name}: ${answer.message}`);
            }
            await sleep(50);
        }
    }

    const others = gateways.map(callRepeatedly);
    const endedThreeTimes = () => gateways.filter(({ exits }) => exits.length >= 3).length;
    const stopAt = performance.now() + maxLoadMs;
    for (let burst = 1; burst <= bursts && endedThreeTimes() < 2 && performance.now() < stopAt; burst += 1) {
        record(`burst ${burst}`);
        for (const gateway of gateways) {
            if (trouble) {
                await Promise.all(Array.from({ length: usersPerGateway }, () => turn(gateway)));
            }
            else {
                // Without the burst, the users come one after the other; one a gateway, for the length of the test.
                await turn(gateway);
            }
            await sleep(500);
            await gateway.ready();
        }
    }
    finished = true;
    await Promise.all(others);
    return { broken: endedThreeTimes() >= 2,
        text: `processes that ended by themselves: ${gateways.map(({ name, exits }) =>
            `${name} ${exits.map(({ code, signal }) => signal ?? code).join("+") || "none"}`).join(", ")}; turns without a ` +
            `complete answer: ${closed.turns}; other calls that were closed without an answer: ${closed.calls}` };
});
