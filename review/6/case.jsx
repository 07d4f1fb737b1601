// One gateway of seven reaches no engine and sends through others, one of which is killed while it passes on an answer
// that has no length.
import { connect, createServer } from "node:net";
import { newId, send } from "../lib2/client.jsx";
import { createMachine, runCase, sleep, startGateway, waitUntilListed, waitUntilReady } from "../lib2/deployment.jsx";
import { configuration, entryOf, startEngine } from "../lib2/engine.jsx";
import { createStore } from "../lib2/store.jsx";

const machineCount = 7;
const rounds = 3;
/** Time between the two parts of an answer. */
const partMs = 250;
const bodyOf = id => [`first half of ${id};`.repeat(20), `second half of ${id};`.repeat(20)];
const eventsOf = id => [1, 2, 3, 4, 5, 6].map(index => `id: ${index}\ndata: ${id}.${index}\n\n`);
const partsOf = ({ id, path }) => path.startsWith("/turn/")
    ? [eventsOf(id).slice(0, 3).join(""), eventsOf(id).slice(3).join("")]
    : bodyOf(id);

/** Answers without a length: the answer ends with its connection. */
function serveUnframed(call, response) {
    const parts = partsOf(call);
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, { "x-request-id": call.id, "x-response-signature": `s.${call.id}`,
        ...call.path.startsWith("/turn/") ? { "content-type": "text/event-stream" } : {} });
    response.write(parts[0]);
    setTimeout(() => response.end(parts[1]), partMs);
}

/** The way from one machine to one engine. While it is cut, its connections are reset and new ones are refused. */
async function createWay(engine) {
    const sockets = new Set();
    /** The ports from which the engine is called over this way. */
    const ports = new Set();
    const server = createServer(socket => {
        const other = connect(engine.port, "127.0.0.1");
        other.once("connect", () => ports.add(other.localPort));
        for (const [each, peer] of [[socket, other], [other, socket]]) {
            sockets.add(each);
            each.on("error", () => undefined);
            each.on("close", () => {
                sockets.delete(each);
                peer.destroy();
            });
            each.pipe(peer);
        }
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return { port: server.address().port, ports, cut() {
        server.close();
        sockets.forEach(socket => socket.resetAndDestroy());
    } };
}

/** A machine with its own ways to all engines, and the store as it sees it: engines are at the addresses of these ways. */
async function createConnectedMachine(name, zone, engines, store) {
    const ways = Object.fromEntries(await Promise.all(engines.map(async engine => [engine.id, await createWay(engine)])));
    const translate = row => {
        if (row.table !== "servers" || row.tombstone) {
            return row;
        }
        const entry = { ...JSON.parse(Buffer.from(row.value, "base64")), address: `127.0.0.1:${ways[row.key].port}` };
        return { ...row, value: Buffer.from(JSON.stringify(entry)).toString("base64") };
    };
    const { address: storeAddress } = await store.listen({ translate });
    return { ...await createMachine(name, { zone }), ways: Object.values(ways), storeAddress };
}

await runCase(async ({ record, withTrouble }) => {
    const engines = await Promise.all(["i-app", "i-model"].map(id => startEngine({ id, serve: serveUnframed })));
    const store = createStore();
    store.put("op", "config", configuration());
    store.put("servers", "i-app", entryOf(engines[0], "app"));
    store.put("servers", "i-model", entryOf(engines[1], "models"));
    const machines = [];
    for (let index = 0; index < machineCount; index += 1) {
        machines.push(await createConnectedMachine(`front-${index + 1}`, `zone-${"abc"[index % 3]}`, engines, store));
    }
    const seeds = machines.slice(0, 3).map(({ control }) => control);
    const start = machine => startGateway(machine, { storeAddress: machine.storeAddress, seeds });
    const gateways = machines.map(start);
    await Promise.all(gateways.map(gateway => waitUntilReady(gateway)));
    await waitUntilListed(store, machines.map(({ name }) => name));
    // The second time that the list of gateways is read.
    await sleep(6_000);
    if (withTrouble) {
        machines[0].ways.forEach(way => way.cut());
        record("cut: front-1 reaches no engine");
    }
    const runOf = id => engines.flatMap(({ runs }) => runs).find(run => run.id === id);
    const carrierOf = run => machines.findIndex(({ ways }) => ways.some(({ ports }) => ports.has(run.port)));
    let broken = 0;
    let ran = 0;
    const requests = [["POST", "/file/1", "a waiver"], ["POST", "/turn/1", "an input"], ["GET", "/look/1", undefined]];
    for (let round = 0; round < rounds; round += 1) {
        const calls = requests.map(([method, path, body]) => ({ method, path, body, id: newId(), headers: path.startsWith("/turn/")
            ? { "x-program-id": newId(), "x-token-budget": "4536", "x-token-usage": "1840,567", "x-model": "m" } : {} }));
        const answers = calls.map(call => send(gateways[0], call));
        const { id: watched } = calls[round % calls.length];
        let killed = -1;
        if (withTrouble) {
            for (let waited = 0; runOf(watched) === undefined && waited < 2_000; waited += 5) {
                await sleep(5);
            }
            await sleep(partMs / 2);
            killed = runOf(watched) === undefined ? -1 : carrierOf(runOf(watched));
            if (killed > 0) {
                gateways[killed].kill("SIGKILL");
                record(`${machines[killed].name} killed, which passes on ${watched}`);
            }
        }
        for (const [index, answer] of (await Promise.all(answers)).entries()) {
            const { id, path } = calls[index];
            const whole = partsOf(calls[index]).join("");
            const run = runOf(id);
            const isWrong = answer.status === 200 && answer.complete && answer.body.toString() !== whole;
            ran += run === undefined ? 0 : 1;
            broken += isWrong ? 1 : 0;
            record(`${path} ${id} run=${run === undefined ? "no" : `by ${run.engine} for ${machines[carrierOf(run)]?.name}`} ` +
                `status=${answer.status} complete=${answer.complete} bytes=${answer.body.length} of ${whole.length}` +
                `${answer.error === undefined ? "" : ` error=${answer.error}`}` +
                `${isWrong ? "  <- a success with a part of the engine's body" : ""}`);
        }
        if (killed > 0) {
            await gateways[killed].exited;
            gateways[killed] = start(machines[killed]);
            await waitUntilReady(gateways[killed]);
        }
        await sleep(500);
    }
    if (ran === 0) {
        throw new Error(`no request ran\n${gateways[0].log().slice(-3_000)}`);
    }
    record(`${broken} successes with a part of the engine's body`);
    return broken > 0;
});
