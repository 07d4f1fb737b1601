// Measures what links cost: node --import tsx packages/peer/bench/link.ts [seconds for each row]
// The other ends run in a second process, so that the CPU time of each end is known.
import { type AnswerEvent, type Call, type Completion, type Heartbeat, systemClock } from "@tamarackgauge/core";
import { fork } from "node:child_process";
import { once, setMaxListeners } from "node:events";
import { createPeers, type Member, type Peers, type PeersOptions, type Traffic } from "../src/index.ts";

const seconds = Number(process.argv.slice(2).find(text => text !== "child") ?? 4);
const tokenMs = 32;
const completion: Completion = { reason: "stop", status: 200, promptTokens: 1, cachedTokens: 0, tokens: 1,
    durability: "stored", sequence: 0, upstream: "engine" };

/** 23 engines with calls, as each daemon has today. */
const beat: Heartbeat = { storeAge: 40, configurationVersion: 812, ownershipVersion: 97, leaving: false,
    inFlight: Object.fromEntries(Array.from({ length: 23 }, (_, index) => [`engine-${index}`, 20 + index])) };

type Question =
    | { readonly type: "start"; readonly count: number; readonly options: Partial<PeersOptions>; }
    | { readonly type: "sample"; }
    | { readonly type: "local"; readonly streams: number; }
    | { readonly type: "stop"; };

interface Sample {
    readonly cpu: number;
    readonly traffic: Traffic | undefined;
}

/** Streams whose tokens come every 32 ms, spread evenly over that time by one timer. */
function createTokens() {
    const open: { wake: () => void; due: number; }[] = [];
    const timer = setInterval(() => {
        const now = performance.now();
        for (const stream of open) {
            if (stream.due <= now) {
                stream.due += tokenMs;
                stream.wake();
            }
        }
    }, 1);
    return {
        async *stream(signal: AbortSignal): AsyncGenerator<AnswerEvent> {
            const entry = { wake: () => {}, due: performance.now() + Math.random() * tokenMs };
            open.push(entry);
            signal.addEventListener("abort", () => entry.wake());
            for (let offset = 0; !signal.aborted; offset += 4) {
                await new Promise<void>(resolve => {
                    entry.wake = resolve;
                });
                yield { type: "text", offset, text: " tok" };
            }
            open.splice(open.indexOf(entry), 1);
        },
        stop: () => clearInterval(timer),
    };
}

function start(name: string, serve: PeersOptions["serve"], options: Partial<PeersOptions>): Promise<Peers> {
    return createPeers({ name, incarnation: "1", address: "127.0.0.1", port: 0, clusterKey: "key of the measurement",
        clock: systemClock, beat: () => beat, onBeat: () => {}, serve, answer: async () => undefined, ...options });
}

function cpu(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** The second process: starts daemons on request and reports its CPU time in microseconds and its bytes. */
async function serveQuestions(): Promise<void> {
    let peers: Peers[] = [];
    let tokens: ReturnType<typeof createTokens> | undefined;

    async function reply(question: Question): Promise<unknown> {
        switch (question.type) {
            case "start": {
                const source = createTokens();
                tokens = source;
                const serve: PeersOptions["serve"] = (_from, call, signal) =>
                    call.request === "stall" ? stall(signal) : source.stream(signal);
                peers = await Promise.all(
                    Array.from({ length: question.count }, (_, index) => start(`z${index}`, serve, question.options)),
                );
                return peers.map((peer, index) => ({ name: `z${index}`, address: "127.0.0.1", port: peer.port }));
            }
            case "sample":
                return { cpu: cpu(), traffic: peers[0]?.traffic() } satisfies Sample;
            case "local": {
                const source = createTokens();
                const abort = new AbortController();
                setMaxListeners(0, abort.signal);
                setMaxListeners(0, abort.signal);
                const readers = Array.from({ length: question.streams }, () => count(source.stream(abort.signal)));
                await sleep(500);
                const before = cpu();
                await sleep(seconds * 1000);
                const used = cpu() - before;
                abort.abort();
                const events = (await Promise.all(readers)).reduce((sum, part) => sum + part, 0);
                source.stop();
                return used / (events * seconds / (seconds + 0.5));
            }
            case "stop":
                tokens?.stop();
                await Promise.all(peers.map(peer => peer[Symbol.asyncDispose]()));
                peers = [];
                return true;
        }
    }

    process.on("message", question => {
        void reply(question as Question).then(answer => process.send?.(answer));
    });
    await once(process, "disconnect");
    process.exit(0);
}

async function* stall(signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    await new Promise(resolve => signal.addEventListener("abort", resolve));
    yield { type: "done", completion };
}

async function count(events: AsyncIterable<AnswerEvent>): Promise<number> {
    let sum = 0;
    for await (const event of events) {
        sum += event.type === "text" ? 1 : 0;
    }
    return sum;
}

function callOf(request: string): Call {
    return { plan: "p", program: "p", request, atMostOnce: false, end: false, offset: 0, digest: "d",
        target: { kind: "tool", service: "s", path: "/", body: "" } };
}

async function measure(): Promise<void> {
    const child = fork(import.meta.filename, ["child", String(seconds)], { execArgv: ["--import", "tsx"] });
    const ask = async (question: Question): Promise<unknown> => {
        child.send(question);
        const [answer] = await once(child, "message") as [unknown];
        return answer;
    };
    try {
        await measureTokens(ask);
        await measureBeats(ask);
    }
    finally {
        child.disconnect();
    }
}

type Ask = (question: Question) => Promise<unknown>;

async function measureTokens(ask: Ask): Promise<void> {
    console.log(`token events of 4 characters, one each ${tokenMs} ms and stream, ${seconds} s a row, CPU in us`);
    console.log("streams tick  events/s  send/event  receive/event  send/frame  receive/frame  events/frame"
        + "  bytes/event  bytes/frame");
    for (const streams of [10, 100, 1000]) {
        const source = await ask({ type: "local", streams }) as number;
        for (const tickMs of [0, 5, 20]) {
            await measureRow(ask, streams, tickMs, source);
        }
    }
}

/** `source` is the CPU time that the source of tokens itself takes for an event, without a link. */
async function measureRow(ask: Ask, streams: number, tickMs: number, source: number): Promise<void> {
    const members = await ask({ type: "start", count: 1, options: { tickMs } }) as Member[];
    const peers = await start("a", stallServe, { tickMs });
    peers.setMembers(members);
    await sleep(500);
    const idleBefore = cpu();
    await sleep(1000);
    const idle = cpu() - idleBefore;
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    let events = 0;
    const readers = Array.from({ length: streams }, async () => {
        for await (const event of peers.call("z0", callOf("tokens"), abort.signal)) {
            events += event.type === "text" ? 1 : 0;
        }
    });
    readers.forEach(reader => void reader.catch(() => {}));
    await sleep(500);
    const other = await ask({ type: "sample" }) as Sample;
    const [ownCpu, ownTraffic, ownEvents] = [cpu(), peers.traffic(), events];
    await sleep(seconds * 1000);
    const [ownCpuAfter, ownTrafficAfter, received] = [cpu(), peers.traffic(), events - ownEvents];
    const otherAfter = await ask({ type: "sample" }) as Sample;
    abort.abort();
    await Promise.allSettled(readers);
    await peers[Symbol.asyncDispose]();
    await ask({ type: "stop" });
    const frames = ownTrafficAfter.framesReceived - ownTraffic.framesReceived;
    const bytes = ownTrafficAfter.dataReceived - ownTraffic.dataReceived;
    const send = (otherAfter.cpu - other.cpu) / received - source;
    const receive = (ownCpuAfter - ownCpu - idle * seconds) / received;
    const perFrame = received / frames;
    console.log([
        String(streams).padStart(7),
        String(tickMs).padStart(4),
        (received / seconds).toFixed(0).padStart(9),
        send.toFixed(2).padStart(11),
        receive.toFixed(2).padStart(14),
        (send * perFrame).toFixed(1).padStart(11),
        (receive * perFrame).toFixed(1).padStart(14),
        perFrame.toFixed(1).padStart(13),
        (bytes / received).toFixed(1).padStart(12),
        (bytes / frames).toFixed(0).padStart(12),
    ].join(" "));
}

const stallServe: PeersOptions["serve"] = (_from, _call, signal) => stall(signal);

async function measureBeats(ask: Ask): Promise<void> {
    console.log("");
    console.log("control traffic of one daemon, 23 engines in each heartbeat; CPU in % of a core, bytes/s");
    console.log("members calls  links up  CPU %  sent/s  received/s  MB for links");
    for (const members of [12, 60, 380]) {
        for (const calls of [false, true]) {
            await measureCluster(ask, members, calls);
        }
    }
}

/** With `calls`, each link carries one call without events, the case in which heartbeats do most. */
async function measureCluster(ask: Ask, members: number, calls: boolean): Promise<void> {
    const others = members - 1;
    const settings = { dialLimit: others };
    const bare = process.memoryUsage().rss;
    const started = cpu();
    await sleep(1000);
    const idle = cpu() - started;
    // Each other daemon has this one as its only peer; its share of heartbeats is what it would send to one of many.
    const rotation = members > 24 ? 4 / others : 4;
    const meshLimit = members > 24 ? 0 : 24;
    const listed = await ask({ type: "start", count: others, options: { rotation, meshLimit } }) as Member[];
    const peers = await start("a", stallServe, settings);
    peers.setMembers(listed);
    await sleep(3000);
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    const readers = calls ? listed.map(member => count(peers.call(member.name, callOf("stall"), abort.signal))) : [];
    readers.forEach(reader => void reader.catch(() => {}));
    // The rate of beats is low, so that the runtime needs some seconds until their code is compiled.
    await sleep(5000);
    const [before, traffic] = [cpu(), peers.traffic()];
    await sleep(4 * seconds * 1000);
    const used = (cpu() - before) / (4 * seconds) - idle;
    const after = peers.traffic();
    const up = peers.links().filter(link => link.up).length;
    const memory = process.memoryUsage().rss - bare;
    abort.abort();
    await Promise.allSettled(readers);
    await peers[Symbol.asyncDispose]();
    await ask({ type: "stop" });
    const rate = (bytes: number) => (bytes / (4 * seconds)).toFixed(0);
    console.log([
        String(members).padStart(7),
        (calls ? "all" : "none").padStart(5),
        String(up).padStart(9),
        (used / 10_000).toFixed(2).padStart(6),
        rate(after.controlSent - traffic.controlSent).padStart(7),
        rate(after.controlReceived - traffic.controlReceived).padStart(11),
        (memory / 1e6).toFixed(1).padStart(13),
    ].join(" "));
}

await (process.argv[2] === "child" ? serveQuestions() : measure());
