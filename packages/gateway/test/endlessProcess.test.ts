import { type RawServer, startRawServer } from "@tamarackgauge/standin";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, test } from "node:test";
import { sampleUsage } from "./crowd.ts";
import { buildDeployedProgram, type DeployedProgram, startProcess } from "./gatewayProcess.ts";
import { call, type CallerAnswer, createFleet, declaration, requestIdOf, type TestCall, turnCall,
    waitUntil } from "./harness.ts";

const mebibyte = 2 ** 20;
/** Memory of the smallest VM that the platform's sheets name. */
const memoryMb = 220;
const callerCount = 8;
/** An answer of 8 MiB may be read for each attempt, with what its framing and the buffers of the connection take. */
const maxReadBytesEach = 16 * mebibyte;
const { maxAttempts } = declaration.routes[0]!;
const writeBytes = 64 * 1_024;

let deployed: DeployedProgram;
before(async () => deployed = await buildDeployedProgram());
after(() => deployed[Symbol.asyncDispose]());

/** Bytes without end: what comes once, and what comes again and again after it. */
interface EndlessAnswer {
    readonly begin: (head: string, status: number) => string;
    readonly repeat: string;
    readonly streamed?: boolean;
}

const chunked = "transfer-encoding: chunked\r\n";
const eventStream = "content-type: text/event-stream\r\n";
const endlessAnswers: Readonly<Record<string, EndlessAnswer>> = {
    "chunks of one byte": { begin: head => `${head}${chunked}\r\n`, repeat: "1\r\nx\r\n" },
    "pieces of an event that never ends": {
        begin: head => `${head}${eventStream}${chunked}\r\ne\r\nid: 1\ndata: xx\r\n`,
        repeat: "a\r\n0123456789\r\n",
        streamed: true,
    },
    "lines of an event that never ends": { begin: head => `${head}${eventStream}\r\nid: 1\n`, repeat: "data: x\n",
        streamed: true },
    "whole events, each in a chunk": { begin: head => `${head}${eventStream}${chunked}\r\n`,
        repeat: "f\r\nid: 1\ndata: x\n\n\r\n", streamed: true },
    "a stream without a line": { begin: head => `${head}${eventStream}\r\n`, repeat: "x", streamed: true },
    "a head of very many lines": { begin: head => head, repeat: "x:\r\n" },
    "a header line that never ends": { begin: head => `${head}x: `, repeat: "x" },
    "interim answers": { begin: () => "", repeat: "HTTP/1.1 102 Processing\r\n\r\n" },
    "an interim answer of very many lines": { begin: () => "HTTP/1.1 102 Processing\r\n", repeat: "x: 1\r\n" },
    "trailers": { begin: head => `${head}${chunked}\r\n1\r\nx\r\n0\r\n`, repeat: "x: 1\r\n" },
    "a chunk's size of zeros": { begin: head => `${head}${chunked}\r\n`, repeat: "0" },
    "a chunk's extension": { begin: head => `${head}${chunked}\r\n1;`, repeat: "x" },
    "junk for a chunk's size": { begin: head => `${head}${chunked}\r\n`, repeat: "z" },
    "one chunk": { begin: head => `${head}${chunked}\r\n7fffffff\r\n`, repeat: "x" },
    "a huge length": { begin: head => `${head}content-length: 999999999999\r\n\r\n`, repeat: "x" },
    "a body without framing": { begin: head => `${head}\r\n`, repeat: "x" },
};

/** An upstream whose answers never end. */
interface EndlessUpstream extends RawServer {
    /** Bytes that its connections have taken. */
    sent(): number;
    requests(): number;
}

async function startEndlessUpstream({ begin, repeat }: EndlessAnswer, status: number): Promise<EndlessUpstream> {
    const bytes = Buffer.from(repeat.repeat(Math.ceil(writeBytes / repeat.length)));
    const sockets: Socket[] = [];
    const server = await startRawServer(socket => {
        socket.once("data", request => {
            sockets.push(socket);
            const id = requestIdOf(request) ?? "";
            const head = `HTTP/1.1 ${status} Status\r\nx-request-id: ${id}\r\nx-response-signature: s\r\n`;
            socket.write(begin(head, status));
            write();
        });
        function write(): void {
            while (!socket.destroyed && socket.write(bytes)) {
                // Until the connection takes no more.
            }
            socket.once("drain", write);
        }
    });
    return { ...server, requests: () => sockets.length,
        sent: () => sockets.reduce((sum, { bytesWritten, writableLength }) => sum + bytesWritten - writableLength, 0) };
}

/** A call of the service whose answers never end; half of the callers may be served again. */
function endlessCall(index: number, streamed: boolean): TestCall {
    const id = `endless${index}`;
    const mayRunAgain = index % 2 === 0;
    if (streamed) {
        return mayRunAgain ? { path: "/plan/x", id, body: "x" } : turnCall(id, id);
    }
    return mayRunAgain ? { path: "/look/x", id } : { path: "/pay/x", id, body: "x" };
}

function answerOf(gateway: Parameters<typeof call>[0], testCall: TestCall): Promise<CallerAnswer | undefined> {
    return call(gateway, testCall).catch(() => undefined);
}

for (const [name, endless] of Object.entries(endlessAnswers)) {
    for (const status of [200, 500]) {
        test(`${name} behind ${status}: the process stays within its memory and serves others (guards against a process that an upstream's bytes exhaust)`, async () => {
            await using fleet = await createFleet();
            const { streamed = false } = endless;
            using upstream = await startEndlessUpstream(endless, status);
            fleet.registerUpstream(streamed ? fleet.engine : fleet.tool, { address: upstream.address });
            await using gateway = await startProcess(fleet, { ...deployed, memoryMb });
            using usage = sampleUsage(gateway);
            const answers = await Promise.all(
                Array.from({ length: callerCount }, (_, index) => answerOf(gateway, endlessCall(index, streamed))),
            );

            assert.equal(gateway.child.exitCode ?? gateway.child.signalCode, null, gateway.errors());
            assert.ok(usage.maxMegabytes() < memoryMb, `${usage.maxMegabytes()} MB`);
            const whole = answers.filter(answer => answer?.whole === true).map(answer => answer!.status);
            assert.ok(whole.every(each => each === 502 || each === 503 || each === 504), whole.join());
            assert.ok(upstream.requests() > 0);
            assert.ok(upstream.sent() <= callerCount * maxAttempts * maxReadBytesEach, `${upstream.sent()} bytes read`);
            await waitUntil(() => upstream.openConnections() === 0, "all connections are closed");
            const ordinary = await call(gateway, streamed
                ? { path: "/pay/x", id: "ordinary", body: "x" }
                : turnCall("ordinary", "ordinary"));
            assert.deepEqual([ordinary.status, ordinary.whole], [200, true], ordinary.body);
        });
    }
}
