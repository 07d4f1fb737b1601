import { type CallRecord, readAnswers, type ReceivedAnswer, recordCalls } from "./answers.ts";
import { maxTokens, tokensPerEvent } from "./callerPeer.ts";
import { endsAfterEvent, eventText, turnOutput } from "./content.ts";
import type { Observation, ObservedAttempt } from "./observation.ts";
import { isRepeatable, isStreamed } from "./script.ts";

/** A rule of the users' pages. */
export type Rule = "TWICE" | "REFUSED" | "MIXED" | "ORDER" | "LOST" | "DRAIN" | "BUDGET" | "UNASKED" | "DENIED";

/** A broken rule. */
export interface Violation {
    readonly rule: Rule;
    /** Id of the call, or the part of the play that broke the rule. */
    readonly subject: string;
    readonly detail: string;
}

/** Statuses that promise that a call has not run and never will, and the one that promises it of a turn. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const paymentRequired = 402;
const noSuchTurnStatuses: ReadonlySet<number> = new Set([404, 410]);
const maxUpstreams = 2;
const deadlineSlackMs = 500;
const drainMs = 2_000;
/** Bytes of a body that the description of a broken rule shows. */
const maxShownBytes = 60;
/** A connection that closes later in the time of its call may have been closed because of the deadline. */
const earlyShare = 0.7;

/** Finds the rules that a play broke. */
export function judge(observation: Observation): readonly Violation[] {
    const records = recordCalls(observation);
    const chain = new Map(records.map(record => [record.sent.id, record]));
    return [
        ...judgeConnections(observation),
        ...observation.malformedRequests.map(detail => ({ rule: "UNASKED" as const, subject: "upstreams", detail })),
        ...records.flatMap(record => [
            ...judgeRuns(record),
            ...judgeAnswer(record),
            ...judgeRequests(record, chain),
            ...judgeLoss(record, observation),
        ]),
        ...judgeDraining(records, observation),
        ...judgeTokens(records),
    ];
}

function judgeConnections({ connections }: Observation): readonly Violation[] {
    return connections.flatMap((connection): readonly Violation[] => {
        const { answers, malformed } = readAnswers(connection);
        const subject = connection.calls[0]?.id ?? "connection";
        return [
            ...malformed === undefined ? [] : [{ rule: "MIXED" as const, subject, detail: malformed }],
            ...answers.length <= connection.calls.length
                ? []
                : [{ rule: "MIXED" as const, subject, detail: "an answer that no call waits for" }],
        ];
    });
}

function judgeRuns({ sent, script, answer, attempts }: CallRecord): readonly Violation[] {
    const runs = attempts.filter(({ ran }) => ran);
    const violations: Violation[] = [];
    const add = (rule: Rule, detail: string) => violations.push({ rule, subject: sent.id, detail });
    if (!isRepeatable(script.route) && runs.length > 1) {
        add("TWICE", `${runs.length} runs`);
    }
    if (!isRepeatable(script.route) && runs.length > 0 && promisingStatuses.has(answer?.status ?? 0)) {
        add("REFUSED", `answered ${answer!.status} and ran`);
    }
    if (isStreamed(script.route) && runs.length > 0 && answer?.status === paymentRequired) {
        add("REFUSED", "answered 402 and ran");
    }
    if (new Set(runs.map(({ upstream }) => upstream)).size > maxUpstreams) {
        add("BUDGET", "ran at too many upstreams");
    }
    return violations;
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

function judgeAnswer(record: CallRecord): readonly Violation[] {
    const { sent, script, answer, attempts, connection } = record;
    if (answer === undefined) {
        return [];
    }
    const of = (rule: Rule, detail: string): Violation => ({ rule, subject: sent.id, detail });
    if (answer.ids.some(id => id !== sent.id)) {
        return [of("MIXED", `an answer that names ${answer.ids.join()}`)];
    }
    const source = attempts.find(({ ran, answer: planned }) => ran && planned.signature === answer.signature);
    if (isSuccess(answer.status)) {
        if (answer.signature === undefined || source === undefined) {
            return [of("MIXED", "a success without the signature of a run")];
        }
        if (!isSuccess(source.answer.status)) {
            return [of("MIXED", `a success where the upstream answered ${source.answer.status}`)];
        }
        const problem = script.route === "plan" ? resumedProblem(record, answer) : bodyProblem(record, answer, source);
        return problem === undefined ? [] : [of(isStreamed(script.route) ? "ORDER" : "MIXED", problem)];
    }
    if (answer.signature !== undefined && source?.answer.status !== answer.status) {
        return [of("MIXED", `a failure ${answer.status} with the signature of ${source?.answer.status ?? "no run"}`)];
    }
    const isOwnDenial = answer.status >= 300 && answer.status < 500 && !promisingStatuses.has(answer.status) &&
        answer.status !== paymentRequired && attempts.every(({ answer: { status } }) => status !== answer.status);
    return isOwnDenial && sent.wholeAtMs !== undefined && connection.end !== "left" && sent.previous === undefined
        ? [of("DENIED", `answered ${answer.status}`)]
        : [];
}

/** What is wrong with the body of a success that comes from one run. */
function bodyProblem({ script }: CallRecord, { body, complete }: ReceivedAnswer, { answer }: ObservedAttempt):
    | string
    | undefined {
    if (!complete) {
        return answer.content.startsWith(body) ? undefined : "the part that came is not of the upstream's body";
    }
    if (!answer.isWhole) {
        return "framed as complete, but the upstream's answer is not";
    }
    if (body !== answer.content) {
        return `not the upstream's whole body: ${summary(body)} in place of ${summary(answer.content)}`;
    }
    return isStreamed(script.route) && !endsAfterEvent(body) ? "complete before the end of an event" : undefined;
}

function summary(text: string): string {
    return `${text.length} bytes ${JSON.stringify(text.slice(0, maxShownBytes))}`;
}

/** What is wrong with the body of a stream whose runs may go on after each other. */
function resumedProblem({ sent, script, attempts }: CallRecord, { body, complete }: ReceivedAnswer) {
    const events = Array.from({ length: script.events },
        (_, index) => eventText(sent.id, index + 1, script.answerBytes));
    if (!events.join("").startsWith(body)) {
        return "events are missing, come twice or are out of order";
    }
    if (!complete) {
        return undefined;
    }
    if (!endsAfterEvent(body)) {
        return "complete before the end of an event";
    }
    const ends = attempts.some(({ head, answer: { isWhole, content, status } }) => {
        const before = events.slice(0, head.lastEventId ?? 0).join("");
        return isWhole && isSuccess(status) && before + content === body;
    });
    return ends ? undefined : "framed as complete, but no upstream's answer ends there";
}

function judgeRequests({ sent, script, attempts }: CallRecord,
    chain: ReadonlyMap<string, CallRecord>): readonly Violation[] {
    const expectedBody = historyOf(sent.previous, chain) + sent.body;
    return attempts.flatMap(({ upstream, head, body }): readonly Violation[] => {
        const add = (rule: Rule, detail: string): Violation => ({ rule, subject: sent.id, detail });
        return [
            ...head.ids.length === 1 && head.method === sent.method && head.path === sent.path
                ? []
                : [add("UNASKED", `${head.method} ${head.path} with ${head.ids.length} ids`)],
            ...body === undefined || body === expectedBody ? [] : [add("UNASKED", "another body than the caller's")],
            ...head.hasReservedHeaders ? [add("UNASKED", "headers that only the gateway may set")] : [],
            ...head.target === undefined || head.target === upstream
                ? []
                : [add("UNASKED", `meant for ${head.target}`)],
            ...head.deadlineMs !== undefined && head.deadlineMs <= script.deadlineMs + deadlineSlackMs
                ? []
                : [add("BUDGET", `a deadline of ${head.deadlineMs} ms`)],
        ];
    });
}

/** The inputs and outputs of a turn and of all before it. */
function historyOf(turn: string | undefined, chain: ReadonlyMap<string, CallRecord>): string {
    const record = turn === undefined ? undefined : chain.get(turn);
    return record === undefined
        ? ""
        : historyOf(record.sent.previous, chain) + record.sent.body + turnOutput(record.answer?.body ?? "");
}

function judgeLoss(record: CallRecord, { script: { store, upstreams } }: Observation): readonly Violation[] {
    const { sent, answer, connection, attempts } = record;
    const of = (detail: string): readonly Violation[] => [{ rule: "LOST", subject: sent.id, detail }];
    const isUpstreamsOwn = attempts.some(({ answer: { status } }) => status === answer?.status);
    if (sent.previous !== undefined && noSuchTurnStatuses.has(answer?.status ?? 0) && !isUpstreamsOwn) {
        return of(`answered ${answer!.status}, but ${sent.previous} was answered whole`);
    }
    if (answer?.complete === true || sent.wholeAtMs === undefined) {
        return [];
    }
    if (connection.end === "silent") {
        return of("never answered");
    }
    const isDisrupted = store.length > 0 || upstreams.some(({ entry }) => entry !== undefined);
    const isCut = (connection.end === "fin" || connection.end === "reset") &&
        connection.endedAtMs < sent.wholeAtMs + record.script.deadlineMs * earlyShare;
    const isSound = attempts.length > 0 && attempts.every(attempt => attempt.isSound);
    return isCut && isSound && !isDisrupted ? of("closed without an answer, though the upstream's was sound") : [];
}

function judgeDraining(records: readonly CallRecord[],
    { entryChanges, script: { store } }: Observation): readonly Violation[] {
    // An acknowledgement counts only if the store was stable, and an announcement for the gateway that passed it on.
    const acknowledged = store.length > 0 ? [] : entryChanges;
    const announced = records.flatMap(({ sent, answer, attempts, connection: { gateway } }) =>
        attempts
            .filter(({ announcesLeaving, answer: { signature } }) =>
                announcesLeaving && signature !== undefined && signature === answer?.signature
            )
            .flatMap(({ upstream }) =>
                sent.answeredAtMs === undefined ? [] : [{ upstream, gateway, atMs: sent.answeredAtMs }]
            )
    );
    return records.flatMap(({ sent, attempts, connection: { gateway } }) => {
        const changes = [...acknowledged, ...announced.filter(change => change.gateway === gateway)]
            .filter(({ atMs }) => sent.sentAtMs > atMs + drainMs);
        return attempts
            .filter(attempt => changes.some(({ upstream }) => upstream === attempt.upstream))
            .map(({ upstream }): Violation => ({ rule: "DRAIN", subject: sent.id, detail: `reached ${upstream}` }));
    });
}

/** Tokens that the callers of a program received, against its budget and the most of one turn. */
function judgeTokens(records: readonly CallRecord[]): readonly Violation[] {
    const programs = new Map<string, CallRecord[]>();
    for (const record of records.filter(({ sent }) => sent.turn !== undefined)) {
        const { program } = record.sent.turn!;
        programs.set(program, [...programs.get(program) ?? [], record]);
    }
    return [...programs].flatMap(([program, turns]): readonly Violation[] => {
        const tokens = turns.reduce((sum, { answer }) => sum + countEvents(answer) * tokensPerEvent, 0);
        const most = Math.max(...turns.map(({ script }) => maxTokens(script)));
        const { budget } = turns[0]!.sent.turn!;
        return tokens <= budget + most
            ? []
            : [{ rule: "BUDGET", subject: program, detail: `${tokens} tokens of ${budget}` }];
    });
}

function countEvents(answer: ReceivedAnswer | undefined): number {
    return answer === undefined || !isSuccess(answer.status) ? 0 : answer.body.split("\n\n").length - 1;
}
