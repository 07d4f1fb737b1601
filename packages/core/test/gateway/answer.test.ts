import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerHead, mismatchReason } from "../../src/gateway/index.ts";

const signedHead: AnswerHead = { status: 200, callId: "1", notRun: false, misdirected: false, spoiled: false,
    signed: true, encoded: false, load: undefined, leaving: false, closesConnection: false };

test("only an answer with a sound head and the call's id is that to the call (guards against an answer of another call)", () => {
    assert.equal(mismatchReason(signedHead, "1"), undefined);
    assert.equal(mismatchReason(signedHead, "2"), "the answer belongs to another call");
    assert.equal(mismatchReason({ ...signedHead, callId: undefined }, "1"), "the answer names no call");
    assert.equal(mismatchReason({ ...signedHead, spoiled: true }, "1"), "the head of the answer is spoiled");
});
