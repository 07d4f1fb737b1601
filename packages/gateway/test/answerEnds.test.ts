import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { turnRowKey } from "../src/turnRow.ts";
import { callRaw, startRawFleet } from "./harness.ts";
import { body, endOf, events, frame, type Framing, framings, headOf, type Place, sentBody } from "./streamAnswers.ts";

/** Where the connection ends. */
const places = ["in the head", ...Object.keys(sentBody) as Place[]] as const;
/** Time between two writes, so that the gateway reads them apart. */
const writeIntervalMs = 20;

/** An answer that ends with a reset. */
interface BrokenAnswer {
    readonly framing: Framing;
    readonly place: Place | "in the head";
    /** Whether the reset arrives together with the last bytes, which Node.js reports as an orderly end. */
    readonly atOnce: boolean;
}

/** Sends an answer up to a place and resets the connection. */
async function sendBrokenAnswer(socket: Socket, id: string, { framing, place, atOnce }: BrokenAnswer): Promise<void> {
    const head = headOf(id, framing);
    socket.write(place === "in the head" ? head.slice(0, -10) : head);
    if (place !== "in the head") {
        await sleep(writeIntervalMs);
        socket.write(frame(sentBody[place], framing));
    }
    if (!atOnce) {
        await sleep(writeIntervalMs);
    }
    socket.resetAndDestroy();
}

/** Whether the bytes are an answer with status 200 that is complete according to its framing. */
function isCompleteSuccess(text: string): boolean {
    const [head, content] = [text.slice(0, text.indexOf("\r\n\r\n")), text.slice(text.indexOf("\r\n\r\n") + 4)];
    const length = /^content-length: (\d+)$/mi.exec(head)?.[1];
    return head.startsWith("HTTP/1.1 200") &&
        (length === undefined ? content.endsWith("0\r\n\r\n") : content.length === Number(length));
}

for (const framing of framings) {
    test(`an answer with ${framing === "neither" ? "no framing" : framing} that is reset is never handed out as complete (guards against a part taken for the whole)`, async () => {
        const answers = new Map<string, BrokenAnswer>();
        await using setup = await startRawFleet((socket, id) => void sendBrokenAnswer(socket, id, answers.get(id)!));
        const incompletePlaces = places.filter(place => framing !== "length" || place !== "after the last event");
        const variants = incompletePlaces.flatMap(place => [true, false].map(atOnce => ({ framing, place, atOnce })));
        for (const [index, answer] of variants.entries()) {
            for (const path of ["/turn/x", "/plan/x", "/look/x", "/pay/x"]) {
                const id = `${path.slice(1, 5)}-${index}`;
                answers.set(id, answer);
                const { text } = await callRaw(setup.gateway, path, id);
                assert.equal(isCompleteSuccess(text), false, `${path} ${JSON.stringify(answer)}: ${text}`);
            }
        }
        assert.deepEqual(setup.fleet.rowStore.keys("turns"), []);
    });
}

/** Sends an answer that is complete according to its framing and ends the connection in an orderly way. */
function sendFramedAnswer(socket: Socket, id: string, framing: Framing, content: string): void {
    socket.write(headOf(id, framing, content));
    socket.write(frame(content, framing));
    socket.end(endOf(framing));
}

for (const framing of framings) {
    const name = framing === "neither" ? "no framing" : framing;
    test(`a stream with ${name} that ends inside an event is cut (guards against a part taken for the whole)`, async () => {
        const contents = new Map<string, string>();
        await using setup = await startRawFleet((socket, id) =>
            sendFramedAnswer(socket, id, framing, contents.get(id)!)
        );
        const parts = [events[0].slice(0, 5), events[0].slice(0, -1), sentBody["inside an event"], body.slice(0, -2),
            `${body}id: 4`];
        for (const [index, part] of parts.entries()) {
            for (const path of ["/turn/x", "/plan/x"]) {
                const id = `${path.slice(1, 5)}-${index}`;
                contents.set(id, part);
                const { text } = await callRaw(setup.gateway, path, id);
                assert.equal(isCompleteSuccess(text), false, `${path} ${JSON.stringify(part)}: ${text}`);
            }
        }
        assert.deepEqual(setup.fleet.rowStore.keys("turns"), []);
        contents.set("whole", body);
        assert.equal(isCompleteSuccess((await callRaw(setup.gateway, "/turn/x", "whole")).text), true);
        assert.deepEqual(setup.fleet.rowStore.keys("turns"), ["whole"]);
    });
}

for (const framing of framings) {
    const name = framing === "neither" ? "no framing" : framing;
    test(`a stream with ${name} that ends before its first event is cut (guards against an empty answer taken for the whole)`, async () => {
        await using setup = await startRawFleet((socket, id) => sendFramedAnswer(socket, id, framing, ""));
        for (const path of ["/turn/x", "/plan/x"]) {
            const { text } = await callRaw(setup.gateway, path, path.slice(1, 5));
            assert.equal(isCompleteSuccess(text), false, text);
        }
        assert.deepEqual(setup.fleet.rowStore.keys("turns"), []);
    });
}

test("an answer that ends inside its head is never handed out (guards against an empty answer taken for the whole)", async () => {
    let length = 0;
    await using setup = await startRawFleet((socket, id) => socket.end(headOf(id, "neither").slice(0, length)));
    const headLength = headOf("0000", "neither").length;
    for (length = 1; length < headLength; length += 1) {
        const id = String(length).padStart(4, "0");
        const { text } = await callRaw(setup.gateway, length % 2 === 0 ? "/pay/x" : "/turn/x", id);
        assert.match(text, /^HTTP\/1\.1 502 /, `${length} bytes`);
    }
});

test("a resumable stream that ends inside an event goes on after its last whole event (guards against a stream that is given up or has an event twice)", async () => {
    await using setup = await startRawFleet((socket, id) =>
        sendFramedAnswer(socket, id, "neither", sentBody["inside an event"])
    );
    setup.fleet.registerUpstream(setup.fleet.spareEngine);
    for (let index = 0; setup.fleet.spareEngine.executed.every(({ headers }) => headers["last-event-id"] === undefined);
        index += 1) {
        assert.ok(index < 50, "the stream is resumed");
        const { text } = await callRaw(setup.gateway, "/plan/x", `plan-${index}`);
        assert.equal(isCompleteSuccess(text), true, text);
        assert.deepEqual([...text.matchAll(/^id: (\d)$/gm)].map(([, id]) => id), ["1", "2", "3", "4", "5"]);
    }
});

/** Sends an answer up to a place and ends the connection in an orderly way. */
async function sendUpTo(socket: Socket, id: string, framing: Framing, place: Place | "in the head"): Promise<void> {
    const head = headOf(id, framing);
    socket.write(place === "in the head" ? head.slice(0, -10) : head);
    await sleep(writeIntervalMs);
    if (place !== "in the head") {
        const last = place === "after the last event" ? endOf(framing) : "";
        socket.write(frame(sentBody[place], framing) + last);
    }
    socket.end();
}

/** Whether an answer that ends in an orderly way at a place is whole: one without framing may end anywhere in its body. */
function endsWhole(framing: Framing, place: Place | "in the head", streamed: boolean): boolean {
    if (place === "in the head" || framing !== "neither") {
        return place === "after the last event";
    }
    return !streamed || place === "between events" || place === "after the last event";
}

for (const framing of framings) {
    const name = framing === "neither" ? "no framing" : framing;
    test(`an answer with ${name} that ends in an orderly way is handed out as complete only if it is whole (guards against a part taken for the whole)`, async () => {
        let place: Place | "in the head";
        await using setup = await startRawFleet((socket, id) => void sendUpTo(socket, id, framing, place));
        for (place of places) {
            for (const path of ["/turn/x", "/plan/x", "/look/x", "/pay/x"]) {
                const streamed = path === "/turn/x" || path === "/plan/x";
                const { text } = await callRaw(setup.gateway, path, `${path}${place}`);
                assert.equal(isCompleteSuccess(text), endsWhole(framing, place, streamed), `${path} ${place}: ${text}`);
                if (isCompleteSuccess(text) && !streamed && place !== "in the head") {
                    assert.ok(text.endsWith(`\r\n\r\n${sentBody[place]}`), text);
                }
            }
        }
        const keptPlaces = places.filter(each => endsWhole(framing, each, true));
        assert.deepEqual(setup.fleet.rowStore.keys("turns").toSorted(), keptPlaces.map(each =>
            turnRowKey(`/turn/x${each}`, 0)
        ).toSorted());
    });
}
