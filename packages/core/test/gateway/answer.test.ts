import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerHead, type AnswerVerdict, type Execution, judgeAnswer,
    mismatchReason } from "../../src/gateway/index.ts";

const signedHead: AnswerHead = { status: 200, callId: "1", notRun: false, misdirected: false, spoiled: false,
    signed: true, encoded: false, load: undefined, leaving: false, rateLimit: { kind: "unlimited" },
    closesConnection: false };

type Row = readonly [name: string, head: Partial<AnswerHead>, execution: Execution, streamed: boolean,
    verdict: AnswerVerdict["kind"], mayPassOn?: boolean];

/** The table of docs/platform.md, section "What an answer states". */
const rows: readonly Row[] = [
    ["a signed success", {}, "atMostOnce", false, "passOn"],
    ["an unsigned success", { signed: false }, "atMostOnce", false, "unknown"],
    ["an encoded success", { encoded: true }, "atMostOnce", false, "unknown"],
    ["a success that says that the call has not run", { notRun: true }, "atMostOnce", false, "unknown"],
    ["a refusal that says that the call has not run", { status: 503, notRun: true, signed: false }, "atMostOnce", false,
        "notRun"],
    ["421, of an upstream that was not addressed", { status: 421, notRun: true, misdirected: true }, "atMostOnce",
        false, "notRun"],
    ...[402, 408, 429, 503].flatMap((status): Row[] => [
        [`${status} to a call that may run once`, { status }, "atMostOnce", false, "failed", false],
        [`${status} to a stream that may run once`, { status, signed: false }, "atMostOnce", true, "failed", false],
    ]),
    ["402 to a stream that may be resumed", { status: 402 }, "repeatable", true, "failed", false],
    ["429 to a call that may be repeated", { status: 429 }, "repeatable", false, "passOn"],
    ["503 to a call that may be repeated", { status: 503 }, "repeatable", false, "failed", true],
    ["500, which counts as run", { status: 500 }, "atMostOnce", false, "failed", true],
    ["404 of the upstream", { status: 404 }, "atMostOnce", false, "passOn"],
];

test("each answer states what the table says (guards against a promise that a call has not run although it may have)", () => {
    for (const [name, head, execution, streamed, kind, mayPassOn] of rows) {
        const verdict = judgeAnswer({ ...signedHead, ...head }, { execution, streamed });
        assert.equal(verdict.kind, kind, name);
        assert.equal(verdict.kind === "failed" ? verdict.mayPassOn : undefined, mayPassOn, name);
    }
});

test("only an answer with a sound head and the call's id is that to the call (guards against an answer of another call)", () => {
    assert.equal(mismatchReason(signedHead, "1"), undefined);
    assert.equal(mismatchReason(signedHead, "2"), "the answer belongs to another call");
    assert.equal(mismatchReason({ ...signedHead, callId: undefined }, "1"), "the answer names no call");
    assert.equal(mismatchReason({ ...signedHead, spoiled: true }, "1"), "the head of the answer is spoiled");
});
