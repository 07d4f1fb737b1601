import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createClient, RefusedError } from "../../../examples/client.ts";

type Answer = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** Runs a client against two daemons; the n-th request gets the n-th answer, whichever daemon receives it. */
async function withDaemons(answers: Answer[], use: (daemons: string[]) => Promise<void>): Promise<IncomingMessage[]> {
    const requests: IncomingMessage[] = [];
    const servers = [0, 1].map(() =>
        createServer((request, response) => {
            requests.push(request);
            const answer = answers.shift();
            let body = "";
            request.on("data", (piece: Buffer) => body += piece.toString());
            request.on("end", () => answer?.(request, response, body) ?? response.end());
        })
    );
    for (const server of servers) {
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    }
    try {
        await use(servers.map(server => `http://127.0.0.1:${(server.address() as AddressInfo).port}`));
    }
    finally {
        servers.forEach(server => server.close().closeAllConnections());
    }
    return requests;
}

/** Streams pieces of an answer, starting after `offset` characters. */
function streamedAnswer(offset: number, pieces: string[], end: "finish" | "break"): Answer {
    return (_, response) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        for (const content of pieces) {
            offset += content.length;
            response.write(`id: ${offset}\ndata: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
        }
        if (end === "break") {
            setTimeout(() => response.destroy(), 20);
            return;
        }
        const last = { choices: [{ delta: {}, finish_reason: "stop" }], seal: "seal1" };
        response.end(`id: ${offset}\ndata: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
    };
}

function refusedAnswer(code: number, run: string, retryAfterMs?: number): Answer {
    return (_, response) => {
        response.writeHead(Math.floor(code / 10));
        response.end(JSON.stringify({ error: { code, name: "test", message: "test", run, retryAfterMs } }));
    };
}

const message = [{ role: "user", content: "hello" }];

test("an interrupted answer continues at another daemon (guards against lost or duplicate text after a daemon is killed)", async () => {
    const answers = [streamedAnswer(0, ["Dün", "enfahrt"], "break"),
        streamedAnswer(5, ["fahrt", " 🏜 am", " See"], "finish")];
    const requests = await withDaemons(answers, async daemons => {
        const retries: string[] = [];
        const client = createClient({ daemons, key: "k", program: "p", onRetry: (_, daemon) => retries.push(daemon) });
        assert.equal(await client.complete("m", message), "Dünenfahrt 🏜 am See");
        assert.deepEqual(retries, [daemons[1]]);
        await client.close();
    });
    const [first, second] = requests.map(request => request.headers);
    assert.equal(first!["idempotency-key"], second!["idempotency-key"]);
    assert.deepEqual([first!["last-event-id"], second!["last-event-id"]], [undefined, "10"]);
    assert.equal(second!["tg-sequence"], "0");
});

test("a call with an unknown outcome is not retried (guards against a call that runs twice)", async () => {
    const requests = await withDaemons([refusedAnswer(5041, "unknown", 10), refusedAnswer(5001, "notRun")],
        async daemons => {
            const client = createClient({ daemons, key: "k", program: "p" });
            await assert.rejects(client.callTool("s", "sign", {}, { atMostOnce: true }), RefusedError);
            await client.close();
        });
    assert.equal(requests.length, 1);
});

test("a lost history is resent as a whole with its seal (guards against a program lost together with its owner)", async () => {
    const bodies: string[] = [];
    const recordBody = (answer: Answer): Answer => (request, response, body) => {
        bodies.push(body);
        answer(request, response, body);
    };
    const answers = [streamedAnswer(0, ["one"], "finish"), refusedAnswer(4092, "notRun"),
        streamedAnswer(0, ["two"], "finish")].map(recordBody);
    const requests = await withDaemons(answers, async daemons => {
        const client = createClient({ daemons, key: "k", program: "p" });
        await client.complete("m", message);
        assert.equal(await client.complete("m", message), "two");
        await client.close();
    });
    const counts = bodies.map(body => (JSON.parse(body) as { messages: unknown[]; }).messages.length);
    assert.deepEqual(counts, [1, 1, 3]);
    assert.equal(requests[2]!.headers["tg-seal"], "seal1");
});
