import assert from "node:assert/strict";
import { test } from "node:test";
import { eventText, planAnswer } from "../src/content.ts";
import type { Observation, ObservedAttempt, ObservedConnection, SentCall } from "../src/observation.ts";
import { judge, type Rule } from "../src/oracle.ts";
import { type CallScript, type Reaction, type Route, scriptDefaults, soundReaction } from "../src/script.ts";

const id = "call-0-0";
const program = "program-0";
const answerBytes = 12;
const stream = [1, 2, 3].map(number => eventText(id, number, answerBytes));

interface Played {
    readonly route: Route;
    readonly reactions?: readonly Partial<Reaction>[];
    readonly received: string;
    readonly end?: ObservedConnection["end"];
    readonly call?: Partial<CallScript>;
    readonly sent?: Partial<SentCall>;
    readonly attempt?: Partial<ObservedAttempt>;
    readonly headChanges?: Partial<ObservedAttempt["head"]>;
    readonly observation?: Partial<Observation>;
    readonly endedAtMs?: number;
}

/** What would be seen of one call, with an attempt for each reaction. */
function observe(
    { route, reactions = [{}], received, end = "open", call, sent, attempt, headChanges, observation, endedAtMs = 0 }:
        Played,
): Observation {
    const script: CallScript = { ...scriptDefaults.call, answerBytes, ...call, route };
    const turn = route === "turn" ? { program, budget: 1_000 } : undefined;
    const sentCall: SentCall = { id, method: "POST", path: `/${route}/x`, body: "x", previous: undefined, turn,
        sentAtMs: 0, wholeAtMs: 0, answeredAtMs: 5, ...sent };
    return {
        script: { upstreams: [], connections: [], store: [] },
        calls: new Map([[id, script]]),
        connections: [{ calls: [sentCall], received: Buffer.from(received, "latin1"), end, endedAtMs, gateway: 0 }],
        attempts: reactions.map((changes, index): ObservedAttempt => {
            const reaction = { ...soundReaction, ...changes };
            const answer = planAnswer({ id, call: script, reaction, signature: `s${index}`, lastEventId: undefined });
            return { upstream: `u${index}`, atMs: 0, body: "x", ran: reaction.kind !== "refusal", answer,
                isSound: answer.isSound, announcesLeaving: reaction.leaving === "1",
                head: { ids: [id], method: "POST", path: `/${route}/x`, deadlineMs: 1_500, target: `u${index}`,
                    lastEventId: undefined, hasReservedHeaders: false, ...headChanges }, ...attempt };
        }),
        malformedRequests: [],
        entryChanges: [],
        ...observation,
    };
}

function answer(status: number, body: string,
    { signature = "s0", unsigned = false, names = id, length = body.length } = {}): string {
    return `HTTP/1.1 ${status} X\r\nX-Request-Id: ${names}\r\n` +
        `${unsigned ? "" : `X-Response-Signature: ${signature}\r\n`}Content-Length: ${length}\r\n\r\n${body}`;
}

const plain = `answer to ${id} `;
const whole = stream.join("");
const sound: Reaction = { ...soundReaction };

const cases: readonly (readonly [name: string, rules: readonly Rule[], played: Played])[] = [
    ["a whole success", [], { route: "pay", received: answer(200, plain) }],
    ["a whole stream", [], { route: "turn", received: answer(200, whole) }],
    ["no answer within its time, then a closed connection", [], { route: "pay", received: "", end: "fin",
        endedAtMs: 1_400 }],
    ["a 502 for a call that ran", [], { route: "pay", received: answer(502, "", { unsigned: true }) }],
    ["a 503 for a call that was refused", [], { route: "pay", reactions: [{ kind: "refusal" }],
        received: answer(503, "", { unsigned: true }) }],
    ["a second run of a repeatable call", [], { route: "look", reactions: [{ end: "reset" }, {}],
        received: answer(200, plain, { signature: "s1" }) }],
    ["a second run of a call that runs once", ["TWICE"], { route: "pay", reactions: [{ end: "reset" }, {}],
        received: answer(200, plain, { signature: "s1" }) }],
    ["a promise for a call that ran", ["REFUSED"], { route: "pay", received: answer(429, "", { unsigned: true }) }],
    ["a 402 for a turn that ran", ["REFUSED"], { route: "turn", received: answer(402, "", { unsigned: true }) }],
    ["a success without signature", ["MIXED"], { route: "pay", received: answer(200, plain, { unsigned: true }) }],
    ["a success for a failure", ["MIXED"], { route: "pay", reactions: [{ kind: "failure", status: 500 }],
        received: answer(200, "failed") }],
    ["a failure with the signature of a success", ["MIXED"], { route: "pay", received: answer(500, "") }],
    ["an answer to another call", ["MIXED"], { route: "pay", received: answer(200, plain, { names: "other" }) }],
    ["a part framed as the whole", ["MIXED"], { route: "pay", reactions: [{ sentPermille: 990 }],
        received: answer(200, plain.slice(0, 8)) }],
    ["an answer that no call waits for", ["MIXED"], { route: "pay",
        received: answer(200, plain) + answer(200, plain) }],
    ["bytes that are no answer", ["MIXED"], { route: "pay", received: `${answer(200, plain)}\0\0\0\0\0\0\0\0` }],
    ["a stream that breaks off visibly", [], { route: "turn", reactions: [{ sentPermille: 900, end: "fin" }],
        received: answer(200, stream[0]!, { length: 99 }), end: "fin" }],
    ["a stream that ends inside an event", ["ORDER"], { route: "turn", reactions: [{ contentPermille: 900 }],
        received: answer(200, whole.slice(0, Math.ceil(whole.length * 0.9))) }],
    ["an empty stream", ["ORDER"], { route: "turn", reactions: [{ contentPermille: 0 }], received: answer(200, "") }],
    ["a missing event", ["ORDER"], { route: "plan", received: answer(200, stream[0]! + stream[2]!) }],
    ["an event that comes twice", ["ORDER"], { route: "plan", received: answer(200, stream[0]! + whole) }],
    ["a stream that ends where no run does", ["ORDER"], { route: "plan", received: answer(200, stream[0]!) }],
    ["an early close although the answer is sound", ["LOST"], { route: "pay", received: "", end: "fin",
        endedAtMs: 20 }],
    ["a call that is never answered", ["LOST"], { route: "pay", received: "", end: "silent" }],
    ["a turn that is not found", ["LOST"], { route: "turn", reactions: [], sent: { previous: "before" },
        received: answer(404, "", { unsigned: true }) }],
    ["a call to a draining upstream", ["DRAIN"], { route: "pay", received: answer(200, plain),
        sent: { sentAtMs: 2_500 }, observation: { entryChanges: [{ upstream: "u0", atMs: 400 }] } }],
    ["a call to an upstream that began to drain a moment ago", [], { route: "pay", received: answer(200, plain),
        sent: { sentAtMs: 2_300 }, observation: { entryChanges: [{ upstream: "u0", atMs: 400 }] } }],
    ["more upstreams than a call may have", ["BUDGET"], { route: "look", reactions: [{}, {}, {}],
        received: answer(200, plain, { signature: "s2" }) }],
    ["a deadline beyond the caller's", ["BUDGET"], { route: "pay", received: answer(200, plain),
        headChanges: { deadlineMs: 2_100 } }],
    ["more tokens than the budget", ["BUDGET"], { route: "turn", received: answer(200, whole), call: { events: 3 },
        sent: { turn: { program, budget: -1 } } }],
    ["a changed body", ["UNASKED"], { route: "pay", received: answer(200, plain), attempt: { body: "y" } }],
    ["a request that was smuggled in", ["UNASKED"], { route: "pay", received: answer(200, plain),
        observation: { malformedRequests: ["no request"] } }],
    ["a path that is not found though its route is there", ["DENIED"], { route: "pay", reactions: [],
        received: answer(404, "", { unsigned: true }) }],
];

for (const [name, rules, played] of cases) {
    test(`${name}: ${rules.length === 0 ? "no rule broken" : rules.join()} (guards against a verdict that the rules do not give)`, () => {
        assert.deepEqual(judge(observe(played)).map(({ rule }) => rule), rules);
    });
}

test("an answer is whole or not as its framing and its end say (guards against a part taken for the whole)", () => {
    const isWhole = (changes: Partial<Reaction>) =>
        planAnswer({ id, call: { ...scriptDefaults.call, route: "pay" }, reaction: { ...sound, ...changes },
            signature: "s", lastEventId: undefined }).isWhole;
    assert.ok(isWhole({}));
    assert.ok(isWhole({ framing: "chunks", end: "reset" }));
    assert.ok(!isWhole({ sentPermille: 950, end: "fin" }));
    assert.ok(!isWhole({ framing: "chunks", sentPermille: 950, end: "fin" }));
    assert.ok(isWhole({ framing: "none", sentPermille: 950, end: "fin" }));
    assert.ok(!isWhole({ framing: "none", end: "reset" }));
    assert.ok(!isWhole({ framing: "none" }));
});

test("an upstream that has announced that it leaves gets no later call from the gateway that passed that on (guards against a verdict about another gateway)", () => {
    const first = observe({ route: "pay", received: answer(200, plain), reactions: [{ leaving: "1" }] });
    const later = observe({ route: "pay", received: "", reactions: [{ end: "silence" }],
        sent: { id: "later", sentAtMs: 2_500 }, headChanges: { ids: ["later"] } });
    const rulesAt = (gateway: number) =>
        judge({ ...first, calls: new Map([...first.calls, ["later", later.calls.get(id)!]]),
            connections: [...first.connections, { ...later.connections[0]!, gateway }],
            attempts: [...first.attempts, ...later.attempts] }).map(({ rule }) => rule);
    assert.deepEqual(rulesAt(0), ["DRAIN"]);
    assert.deepEqual(rulesAt(1), []);
});
