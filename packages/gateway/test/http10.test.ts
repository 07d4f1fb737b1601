import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { collectText, createFleet, requestIdOf, startRawServer, type TestGateway, waitUntilReady } from "./harness.ts";
import { endOf, frame, type Framing, framings, headOf, type Place, sentBody } from "./streamAnswers.ts";

type ConnectionEnd = "fin" | "reset";

/** Time between the answer and the end of its connection, so that the gateway reads them apart. */
const endDelayMs = 20;

/** Sends an answer up to a place and ends the connection. */
function sendAnswer(socket: Socket, id: string, framing: Framing, place: Place, end: ConnectionEnd): void {
    const last = place === "after the last event" ? endOf(framing) : "";
    socket.write(headOf(id, framing) + frame(sentBody[place], framing) + last);
    setTimeout(() => end === "fin" ? socket.end() : socket.resetAndDestroy(), endDelayMs);
}

/** Whether an answer is whole. One without framing ends with its connection, if that ends in an orderly way. */
function isWhole(framing: Framing, place: Place, end: ConnectionEnd): boolean {
    return place === "after the last event"
        ? framing !== "neither" || end === "fin"
        : framing === "neither" && end === "fin" && place === "between events";
}

/** Makes a call in HTTP/1.0; returns the bytes of its answer and whether its connection was reset. */
async function callRaw(gateway: TestGateway, path: string, id: string) {
    const socket = connect(gateway.settings.callerAddress.port, "127.0.0.1");
    const text = collectText(socket);
    let wasReset = false;
    socket.on("error", () => wasReset = true);
    socket.write(`POST ${path} HTTP/1.0\r\nhost: fleet.test\r\nx-request-id: ${id}\r\nx-program-id: ${id}\r\n` +
        "x-token-budget: 1000\r\nx-token-usage: 100,60\r\ncontent-length: 1\r\n\r\nx");
    await once(socket, "close");
    return { text: text(), wasReset };
}

/** Whether a caller of HTTP/1.0 takes an answer for a complete success. */
function isCompleteSuccess({ text, wasReset }: { readonly text: string; readonly wasReset: boolean; }): boolean {
    const end = text.indexOf("\r\n\r\n");
    const [head, content] = [text.slice(0, end), text.slice(end + 4)];
    const length = /^content-length: (\d+)$/mi.exec(head)?.[1];
    return /^HTTP\/1\.[01] 200/.test(head) && !wasReset && (length === undefined || content.length === Number(length));
}

test("a stream that breaks off never reaches a caller of HTTP/1.0 as complete (guards against a part taken for the whole)", async () => {
    await using fleet = await createFleet();
    let variant: readonly [Framing, Place, ConnectionEnd];
    using upstream = await startRawServer(socket =>
        socket.on("data", request => {
            const id = requestIdOf(request);
            if (id !== undefined) {
                sendAnswer(socket, id, ...variant);
            }
        })
    );
    fleet.registerUpstream(fleet.engine, { address: upstream.address });
    const gateway = await fleet.startGateway();
    await waitUntilReady(gateway);
    for (const framing of framings) {
        for (const place of Object.keys(sentBody) as Place[]) {
            for (const end of ["fin", "reset"] as const) {
                variant = [framing, place, end];
                for (const path of ["/turn/x", "/plan/x"]) {
                    const answer = await callRaw(gateway, path, `${path}${variant.join()}`);
                    assert.equal(isCompleteSuccess(answer), isWhole(...variant),
                        `${path} ${variant.join()}: ${answer.text}`);
                }
            }
        }
    }
});
