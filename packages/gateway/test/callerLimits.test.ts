import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { collectText, createFleet, declaration, type TestGateway, waitUntilReady } from "./harness.ts";

/** A head of exactly `bytes` bytes. */
function headOfSize(bytes: number, id: string): string {
    const start = `GET /look/x HTTP/1.1\r\nhost: fleet.test\r\nx-request-id: ${id}\r\nconnection: close\r\nx-pad: `;
    return `${start.padEnd(bytes - 4, "y")}\r\n\r\n`;
}

/** Sends bytes on a new connection; resolves with the status of the answer when the gateway has closed the connection. */
async function statusOf({ settings }: TestGateway, bytes: string): Promise<string> {
    const socket = connect(settings.callerAddress.port, "127.0.0.1");
    const text = collectText(socket);
    socket.write(bytes);
    await once(socket, "close");
    return text().slice(9, 12);
}

for (const maxHeaderBytes of [4_096, 16_384, 100_000]) {
    test(`a head of ${maxHeaderBytes} bytes, as declared, is taken, and one byte more gets 431 (guards against a declared limit that is not read)`, async () => {
        await using fleet = await createFleet();
        fleet.declare({ limits: { ...declaration.limits, maxHeaderBytes } });
        const gateway = await fleet.startGateway();
        await waitUntilReady(gateway);
        assert.equal(await statusOf(gateway, headOfSize(maxHeaderBytes + 1, "large")), "431");
        assert.equal(await statusOf(gateway, headOfSize(maxHeaderBytes * 3, "larger")), "431");
        assert.notEqual(await statusOf(gateway, headOfSize(maxHeaderBytes, "allowed")), "431");
    });
}

test("bytes that are no request get 400 after the answer of the request before them (guards against an answer within another)", async () => {
    await using fleet = await createFleet();
    fleet.tool.behave("silent");
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
    const text = collectText(socket);
    socket.write("GET /pay/x HTTP/1.1\r\nhost: fleet.test\r\nx-request-id: c1\r\nx-deadline-ms: 500\r\n\r\n\0\0\0");
    await once(socket, "close");
    assert.match(text(), /^HTTP\/1.1 504 .*HTTP\/1.1 400 /s);
});
