import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { callRaw, type RawAnswer, startRawFleet } from "./harness.ts";
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

/** Whether a caller of HTTP/1.0 takes an answer for a complete success. */
function isCompleteSuccess({ text, wasReset }: RawAnswer): boolean {
    const end = text.indexOf("\r\n\r\n");
    const [head, content] = [text.slice(0, end), text.slice(end + 4)];
    const length = /^content-length: (\d+)$/mi.exec(head)?.[1];
    return /^HTTP\/1\.[01] 200/.test(head) && !wasReset && (length === undefined || content.length === Number(length));
}

test("a stream that breaks off never reaches a caller of HTTP/1.0 as complete (guards against a part taken for the whole)", async () => {
    let variant: readonly [Framing, Place, ConnectionEnd];
    await using setup = await startRawFleet((socket, id) => sendAnswer(socket, id, ...variant));
    for (const framing of framings) {
        for (const place of Object.keys(sentBody) as Place[]) {
            for (const end of ["fin", "reset"] as const) {
                variant = [framing, place, end];
                for (const path of ["/turn/x", "/plan/x"]) {
                    const answer = await callRaw(setup.gateway, path, `${path}${variant.join()}`, "1.0");
                    assert.equal(isCompleteSuccess(answer), isWhole(...variant),
                        `${path} ${variant.join()}: ${answer.text}`);
                }
            }
        }
    }
});
