import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { collectText, createFleet, declaration, requestIdOf, startRawServer, waitUntilReady } from "./harness.ts";

const uploadBytes = 4_000_000;
const ownHeaders = (id: string) => `x-request-id: ${id}\r\nx-response-signature: s\r\n`;

/** A gateway with one raw server as the engine and the tool, which gets the first bytes of each call. */
async function startWithUpstream(answer: (socket: Socket, id: string) => void) {
    const fleet = await createFleet();
    const upstream = await startRawServer(socket =>
        socket.once("data", request => answer(socket, requestIdOf(request) ?? ""))
    );
    fleet.declare({ limits: { ...declaration.limits, maxBodyBytes: 4_194_304 } });
    fleet.registerUpstream(fleet.engine, { address: upstream.address });
    fleet.registerUpstream(fleet.tool, { address: upstream.address });
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);

    /** Sends an upload and returns what comes until the connection ends. */
    async function upload(path: string, id: string, version: string, bytes: number) {
        const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
        const text = collectText(socket);
        let wasReset = false;
        socket.on("error", () => wasReset = true);
        socket.write(`POST ${path} HTTP/${version}\r\nhost: fleet.test\r\nx-request-id: ${id}\r\n` +
            `connection: close\r\ncontent-length: ${bytes}\r\n\r\n${"b".repeat(bytes)}`);
        await once(socket, "close");
        return { text: text(), wasReset };
    }

    return { upload, async [Symbol.asyncDispose]() {
        upstream[Symbol.dispose]();
        await fleet[Symbol.asyncDispose]();
    } };
}

/** Whether a caller takes an answer for a complete success. */
function isCompleteSuccess({ text, wasReset }: { readonly text: string; readonly wasReset: boolean; }): boolean {
    const end = text.indexOf("\r\n\r\n");
    const [head, content] = [text.slice(0, end), text.slice(end + 4)];
    const length = /^content-length: (\d+)$/mi.exec(head)?.[1];
    if (!/^HTTP\/1\.[01] 200/.test(head)) {
        return false;
    }
    if (length !== undefined) {
        return content.length === Number(length);
    }
    return /^transfer-encoding: chunked$/mi.test(head) ? content.endsWith("0\r\n\r\n") : !wasReset;
}

const parts = {
    "without a length": (type: string) => `${type}\r\nid: 1\ndata: one\n\n`,
    "with a length": (type: string) => `content-length: 100\r\n${type}\r\nid: 1\ndata: one\n\n`,
};

for (const [framing, part] of Object.entries(parts)) {
    test(`a part of an answer ${framing} before a reset, while a long upload is being written, is never handed out as complete (guards against a part taken for the whole)`, async () => {
        let variant: readonly [number, boolean, "resetAndDestroy" | "destroy"];
        await using setup = await startWithUpstream((socket, id) => {
            const [delayMs, reads, end] = variant;
            if (!reads) {
                socket.pause();
            }
            const type = id.startsWith("plan") ? "content-type: text/event-stream\r\n" : "";
            socket.write(`HTTP/1.1 200 OK\r\n${ownHeaders(id)}${part(type)}`);
            void sleep(delayMs).then(() => socket[end]());
        });
        for (const path of ["/plan/x", "/turn/x", "/pay/x", "/look/x"]) {
            for (const version of ["1.1", "1.0"]) {
                // A connection that is closed with unread bytes is reset.
                for (variant of [[0, false, "resetAndDestroy"], [20, false, "resetAndDestroy"], [20, true,
                    "resetAndDestroy"], [20, false, "destroy"]] as const) {
                    const id = `${path.slice(1, 5)}-${version}-${variant.join("-")}`;
                    const answer = await setup.upload(path, id, version, uploadBytes);
                    assert.equal(isCompleteSuccess(answer), false, `${id}: ${answer.text}`);
                }
            }
        }
    });
}

for (const status of ["000", "099", "1000", "2OO", ""]) {
    test(`an answer with the status "${status}" gets 502 (guards against an answer that no caller can read)`, async () => {
        await using setup = await startWithUpstream((socket, id) =>
            void socket.write(`HTTP/1.1 ${status} Odd\r\n${ownHeaders(id)}content-length: 2\r\n\r\nok`)
        );
        for (const path of ["/pay/x", "/look/x", "/plan/x"]) {
            const { text } = await setup.upload(path, `${path}${status}`, "1.1", 1);
            assert.match(text, /^HTTP\/1\.1 502 /, path);
        }
    });
}

for (const status of ["600", "999"]) {
    test(`an answer with the status ${status} is passed on unchanged (guards against a status that is replaced)`, async () => {
        await using setup = await startWithUpstream((socket, id) =>
            void socket.write(`HTTP/1.1 ${status} Odd\r\n${ownHeaders(id)}content-length: 2\r\n\r\nok`)
        );
        for (const path of ["/pay/x", "/look/x", "/plan/x"]) {
            const { text } = await setup.upload(path, `${path}${status}`, "1.1", 1);
            assert.match(text, new RegExp(`^HTTP/1\\.1 ${status} [^]*\r\n\r\nok$`), path);
        }
    });
}
