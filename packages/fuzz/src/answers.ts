import { parseMessage, readAnswerHead, type WireAnswer } from "@tamarackgauge/standin";
import type { Observation, ObservedAttempt, ObservedConnection, SentCall } from "./observation.ts";
import type { CallScript } from "./script.ts";

/** An answer that a caller received. */
export interface ReceivedAnswer extends WireAnswer {
    readonly body: string;
    /** Whether it looks complete to its caller. */
    readonly complete: boolean;
}

/** A call with all that happened to it. */
export interface CallRecord {
    readonly sent: SentCall;
    readonly script: CallScript;
    readonly connection: ObservedConnection;
    /** The answer; undefined if no head of one came. */
    readonly answer: ReceivedAnswer | undefined;
    readonly attempts: readonly ObservedAttempt[];
}

/** The answers on one connection. */
export interface ConnectionAnswers {
    readonly answers: readonly ReceivedAnswer[];
    /** Why bytes are no answer. */
    readonly malformed: string | undefined;
}

const firstFinalStatus = 200;

/** Reads the answers off the bytes that a caller received. */
export function readAnswers({ received, end }: ObservedConnection): ConnectionAnswers {
    const answers: ReceivedAnswer[] = [];
    for (let rest = received; rest.length > 0;) {
        const parsed = parseMessage(rest, { side: "response" });
        if (parsed.kind !== "message") {
            return { answers, malformed: parsed.kind === "malformed" ? parsed.reason : undefined };
        }
        const { message } = parsed;
        const head = readAnswerHead(message);
        if (!/^HTTP\/1\.[01] [1-9]\d\d(?: |$)/.test(message.startLine)) {
            return { answers, malformed: `no status: ${message.startLine}` };
        }
        if (head.status >= firstFinalStatus) {
            answers.push({ ...head, body: message.body.toString("latin1"),
                complete: message.framing === "none" ? end === "fin" : message.complete });
        }
        rest = rest.subarray(message.consumed);
    }
    return { answers, malformed: undefined };
}

/** Brings together the calls, their answers and their attempts. */
export function recordCalls({ connections, attempts, calls }: Observation): readonly CallRecord[] {
    return connections.flatMap(connection => {
        const { answers } = readAnswers(connection);
        return connection.calls.map((sent, index) => ({
            sent,
            script: calls.get(sent.id)!,
            connection,
            answer: answers[index],
            attempts: attempts.filter(({ head }) => head.ids.includes(sent.id)),
        }));
    });
}
