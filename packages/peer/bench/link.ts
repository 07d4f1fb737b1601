// Measures the CPU time and traffic of links: node --import tsx packages/peer/bench/link.ts [seconds per row]
// The other ends of the links run in a second process, so that the CPU time of each end is measured separately.
import { type AnswerEvent, type Call, type Completion, type Heartbeat, systemClock } from "@tamarackgauge/core";
import { fork } from "node:child_process";
import { once, setMaxListeners } from "node:events";
import { createPeers, type Member, type Peers, type PeersOptions, type Traffic } from "../src/index.ts";

const secondsPerRow = Number(process.argv.slice(2).find(text => text !== "child") ?? 4);
const tokenIntervalMs = 32;
const completion: Completion = { reason: "stop", status: 200, promptTokens: 1, cachedTokens: 0, tokens: 1,
    durability: "stored", sequence: 0, upstream: "engine" };

/** 23 engines with calls in flight, the present number for each daemon. */
const beat: Heartbeat = { storeAge: 40, configurationVersion: 812, ownershipVersion: 97, leaving: false,
    inFlight: Object.fromEntries(Array.from({ length: 23 }, (_, index) => [`engine-${index}`, 20 + index])) };

type Command =
    | { readonly type: "start"; readonly count: number; readonly options: Partial<PeersOptions>; }
    | { readonly type: "sample"; }
    | { readonly type: "local"; readonly streams: number; }
    | { readonly type: "stop"; };

interface Sample {
    readonly cpuUs: number;
    readonly traffic: Traffic | undefined;
}

/** Streams with a token every `tokenIntervalMs`; one timer drives all of them, and their start times are random. */
function createTokenSource() {
    const streams: { wake: () => void; nextTokenAt: number; }[] = [];
    const timer = setInterval(() => {
        const now = performance.now();
        for (const stream of streams) {
            if (stream.nextTokenAt <= now) {
                stream.nextTokenAt += tokenIntervalMs;
                stream.wake();
            }
        }
    }, 1);
    return {
        async *stream(signal: AbortSignal): AsyncGenerator<AnswerEvent> {
            const entry = { wake: () => {}, nextTokenAt: performance.now() + Math.random() * tokenIntervalMs };
            streams.push(entry);
            signal.addEventListener("abort", () => entry.wake());
            for (let offset = 0; !signal.aborted; offset += 4) {
                await new Promise<void>(resolve => {
                    entry.wake = resolve;
                });
                yield { type: "text", offset, text: " tok" };
            }
            streams.splice(streams.indexOf(entry), 1);
        },
        stop: () => clearInterval(timer),
    };
}

function startPeers(name: string, handleCall: PeersOptions["handleCall"],
    options: Partial<PeersOptions>): Promise<Peers> {
    return createPeers({ name, incarnation: "1", address: "127.0.0.1", port: 0, clusterKey: "key of the measurement",
        clock: systemClock, currentHeartbeat: () => beat, onHeartbeat: () => {}, handleCall,
        handleQuery: async () => undefined, ...options });
}

function cpuTimeUs(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Runs in the second process: starts daemons on command, and reports the CPU time of the process and its traffic. */
async function handleCommands(): Promise<void> {
    let peers: Peers[] = [];
    let tokens: ReturnType<typeof createTokenSource> | undefined;

    async function execute(command: Command): Promise<unknown> {
        switch (command.type) {
            case "start": {
                const source = createTokenSource();
                tokens = source;
                const handleCall: PeersOptions["handleCall"] = (_from, call, signal) =>
                    call.request === "stall" ? waitForAbort(signal) : source.stream(signal);
                peers = await Promise.all(
                    Array.from({ length: command.count },
                        (_, index) => startPeers(`z${index}`, handleCall, command.options)),
                );
                return peers.map((peer, index) => ({ name: `z${index}`, address: "127.0.0.1", port: peer.port }));
            }
            case "sample":
                return { cpuUs: cpuTimeUs(), traffic: peers[0]?.traffic() } satisfies Sample;
            case "local": {
                const source = createTokenSource();
                const abort = new AbortController();
                setMaxListeners(0, abort.signal);
                setMaxListeners(0, abort.signal);
                const readers = Array.from({ length: command.streams }, () => countTexts(source.stream(abort.signal)));
                await sleep(500);
                const before = cpuTimeUs();
                await sleep(secondsPerRow * 1000);
                const usedUs = cpuTimeUs() - before;
                abort.abort();
                const events = (await Promise.all(readers)).reduce((sum, part) => sum + part, 0);
                source.stop();
                return usedUs / (events * secondsPerRow / (secondsPerRow + 0.5));
            }
            case "stop":
                tokens?.stop();
                await Promise.all(peers.map(peer => peer[Symbol.asyncDispose]()));
                peers = [];
                return true;
        }
    }

    process.on("message", command => {
        void execute(command as Command).then(answer => process.send?.(answer));
    });
    await once(process, "disconnect");
    process.exit(0);
}

async function* waitForAbort(signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    await new Promise(resolve => signal.addEventListener("abort", resolve));
    yield { type: "done", completion };
}

async function countTexts(events: AsyncIterable<AnswerEvent>): Promise<number> {
    let sum = 0;
    for await (const event of events) {
        sum += event.type === "text" ? 1 : 0;
    }
    return sum;
}

function createCall(request: string): Call {
    return { plan: "p", program: "p", request, atMostOnce: false, end: false, offset: 0, digest: "d",
        target: { kind: "tool", service: "s", path: "/", body: "" } };
}

async function measure(): Promise<void> {
    const child = fork(import.meta.filename, ["child", String(secondsPerRow)], { execArgv: ["--import", "tsx"] });
    const sendCommand = async (command: Command): Promise<unknown> => {
        child.send(command);
        const [answer] = await once(child, "message") as [unknown];
        return answer;
    };
    try {
        await measureTokens(sendCommand);
        await measureHeartbeats(sendCommand);
    }
    finally {
        child.disconnect();
    }
}

type SendCommand = (command: Command) => Promise<unknown>;

async function measureTokens(sendCommand: SendCommand): Promise<void> {
    console.log(
        `token events of 4 characters, one each ${tokenIntervalMs} ms and stream, ${secondsPerRow} s a row, CPU in us`,
    );
    console.log("streams tick  events/s  send/event  receive/event  send/frame  receive/frame  events/frame"
        + "  bytes/event  bytes/frame");
    for (const streams of [10, 100, 1000]) {
        const sourceUs = await sendCommand({ type: "local", streams }) as number;
        for (const batchIntervalMs of [0, 5, 20]) {
            await measureRow(sendCommand, streams, batchIntervalMs, sourceUs);
        }
    }
}

/** `sourceUs` is the CPU time per event of the token source alone, without a link. */
async function measureRow(sendCommand: SendCommand, streams: number, batchIntervalMs: number,
    sourceUs: number): Promise<void> {
    const members = await sendCommand({ type: "start", count: 1, options: { batchIntervalMs } }) as Member[];
    const peers = await startPeers("a", handleCallUntilAbort, { batchIntervalMs });
    peers.setMembers(members);
    await sleep(500);
    const idleCpuBefore = cpuTimeUs();
    await sleep(1000);
    const idleUs = cpuTimeUs() - idleCpuBefore;
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    let events = 0;
    const readers = Array.from({ length: streams }, async () => {
        for await (const event of peers.call("z0", createCall("tokens"), abort.signal)) {
            events += event.type === "text" ? 1 : 0;
        }
    });
    readers.forEach(reader => void reader.catch(() => {}));
    await sleep(500);
    const otherBefore = await sendCommand({ type: "sample" }) as Sample;
    const [ownCpuBefore, ownTrafficBefore, eventsBefore] = [cpuTimeUs(), peers.traffic(), events];
    await sleep(secondsPerRow * 1000);
    const [ownCpuAfter, ownTrafficAfter, received] = [cpuTimeUs(), peers.traffic(), events - eventsBefore];
    const otherAfter = await sendCommand({ type: "sample" }) as Sample;
    abort.abort();
    await Promise.allSettled(readers);
    await peers[Symbol.asyncDispose]();
    await sendCommand({ type: "stop" });
    const frames = ownTrafficAfter.framesReceived - ownTrafficBefore.framesReceived;
    const bytes = ownTrafficAfter.dataReceived - ownTrafficBefore.dataReceived;
    const send = (otherAfter.cpuUs - otherBefore.cpuUs) / received - sourceUs;
    const receive = (ownCpuAfter - ownCpuBefore - idleUs * secondsPerRow) / received;
    const eventsPerFrame = received / frames;
    console.log([
        String(streams).padStart(7),
        String(batchIntervalMs).padStart(4),
        (received / secondsPerRow).toFixed(0).padStart(9),
        send.toFixed(2).padStart(11),
        receive.toFixed(2).padStart(14),
        (send * eventsPerFrame).toFixed(1).padStart(11),
        (receive * eventsPerFrame).toFixed(1).padStart(14),
        eventsPerFrame.toFixed(1).padStart(13),
        (bytes / received).toFixed(1).padStart(12),
        (bytes / frames).toFixed(0).padStart(12),
    ].join(" "));
}

const handleCallUntilAbort: PeersOptions["handleCall"] = (_from, _call, signal) => waitForAbort(signal);

async function measureHeartbeats(sendCommand: SendCommand): Promise<void> {
    console.log("");
    console.log("control traffic of one daemon, 23 engines in each heartbeat; CPU in % of a core, bytes/s");
    console.log("members calls  links up  CPU %  sent/s  received/s  MB for links");
    for (const members of [12, 60, 380]) {
        for (const calls of [false, true]) {
            await measureCluster(sendCommand, members, calls);
        }
    }
}

/** With `withCalls`, each link carries one call without events, the worst case for probes. */
async function measureCluster(sendCommand: SendCommand, members: number, withCalls: boolean): Promise<void> {
    const others = members - 1;
    const settings = { maxConcurrentDials: others };
    const memoryBefore = process.memoryUsage().rss;
    const idleCpuBefore = cpuTimeUs();
    await sleep(1000);
    const idleUs = cpuTimeUs() - idleCpuBefore;
    // Each other daemon has only this one as a peer, so its fanout is the share that one of many peers would get.
    const gossipFanout = members > 24 ? 4 / others : 4;
    const maxMeshMembers = members > 24 ? 0 : 24;
    const listed = await sendCommand({ type: "start", count: others,
        options: { gossipFanout, maxMeshMembers } }) as Member[];
    const peers = await startPeers("a", handleCallUntilAbort, settings);
    peers.setMembers(listed);
    await sleep(3000);
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    const readers = withCalls
        ? listed.map(member => countTexts(peers.call(member.name, createCall("stall"), abort.signal)))
        : [];
    readers.forEach(reader => void reader.catch(() => {}));
    // Heartbeats are rare, so it takes some seconds until their code is optimized by the JIT compiler.
    await sleep(5000);
    const [cpuBefore, trafficBefore] = [cpuTimeUs(), peers.traffic()];
    await sleep(4 * secondsPerRow * 1000);
    const usedUsPerSecond = (cpuTimeUs() - cpuBefore) / (4 * secondsPerRow) - idleUs;
    const trafficAfter = peers.traffic();
    const up = peers.links().filter(link => link.up).length;
    const memoryBytes = process.memoryUsage().rss - memoryBefore;
    abort.abort();
    await Promise.allSettled(readers);
    await peers[Symbol.asyncDispose]();
    await sendCommand({ type: "stop" });
    const rate = (bytes: number) => (bytes / (4 * secondsPerRow)).toFixed(0);
    console.log([
        String(members).padStart(7),
        (withCalls ? "all" : "none").padStart(5),
        String(up).padStart(9),
        (usedUsPerSecond / 10_000).toFixed(2).padStart(6),
        rate(trafficAfter.controlSent - trafficBefore.controlSent).padStart(7),
        rate(trafficAfter.controlReceived - trafficBefore.controlReceived).padStart(11),
        (memoryBytes / 1e6).toFixed(1).padStart(13),
    ].join(" "));
}

await (process.argv[2] === "child" ? handleCommands() : measure());
