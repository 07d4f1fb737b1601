import fc, { type Arbitrary } from "fast-check";
import { type CallScript, type ConnectionScript, type Extra, type Reaction, type Route, routes, type Script,
    scriptDefaults, soundReaction, type StoreReaction, type UpstreamScript } from "./script.ts";

/** Whose bytes are mainly varied. */
export const sides = ["engine", "caller", "store"] as const;

/** Whose bytes are mainly varied. */
export type Side = typeof sides[number];

/** A value that is mostly the default one, and shrinks to it. */
function mostly<Value>(usual: Value, odd: Arbitrary<Value>, usualWeight: number): Arbitrary<Value> {
    return fc.oneof({ withCrossShrink: true }, { weight: usualWeight, arbitrary: fc.constant(usual) }, { weight: 1,
        arbitrary: odd });
}

/** A record of which most fields have their defaults. */
function fieldsOf<Fields extends object>(defaults: Fields, odd: { [Key in keyof Fields]?: Arbitrary<Fields[Key]>; },
    usualWeight: number): Arbitrary<Fields> {
    const fields = Object.entries<Arbitrary<unknown>>(odd as Record<string, Arbitrary<unknown>>).map(([name, value]) =>
        [name, mostly((defaults as Record<string, unknown>)[name], value, usualWeight)] as const
    );
    return fc.record(Object.fromEntries(fields)).map(changed => ({ ...defaults, ...changed }));
}

/** A stream of as many events as a call may have of this size exceeds the limit of an answer without framing. */
const largeEventBytes = 200_000;
const maxEvents = 8;
const shortMs = fc.integer({ min: 0, max: 50 });
const permille = fc.integer({ min: 0, max: 1_000 });
const writes = fc.integer({ min: 1, max: 8 });

const extra: Arbitrary<Extra> = fc.record({
    kind: fc.constantFrom("copy", "refusal", "garbage"),
    namesCall: fc.boolean(),
    permille: mostly(1_000, permille, 1),
    delayMs: mostly(0, shortMs, 1),
});

/** Extra bytes in front of an answer, without a pause between both. */
const gluedExtra = extra.map(value => ({ ...value, delayMs: 0 }));

const refusalStatus = fc.constantFrom(503, 429, 421, 400);
const failureStatus = fc.constantFrom(500, 504, 402, 404, 408, 409, 429, 502, 503, 301, 400);

/** So much that the upstream resets the connection before all of it has been written. */
const longUploadBytes = 1_000_000;

/** A part of an answer and a reset, while the call may still be written. */
const earlyReset = fc.record({ framing: fc.constantFrom("none" as const, "length" as const), sentPermille: permille,
    delayMs: shortMs })
    .map((values): Reaction => ({ ...soundReaction, ...values, early: true, end: "reset" }));

/** What an upstream may do wrong. */
const oddReaction: Arbitrary<Reaction> = fc.oneof(
    { withCrossShrink: true },
    { weight: 6, arbitrary: fieldsOf(soundReaction, answerFields("success", fc.constant(503)), 6) },
    { weight: 1, arbitrary: fc.constant<Reaction>({ ...soundReaction, framing: "none", end: "fin" }) },
    { weight: 1, arbitrary: earlyReset },
    { weight: 3,
        arbitrary: fieldsOf<Reaction>({ ...soundReaction, kind: "refusal" }, answerFields("refusal", refusalStatus),
            5) },
    { weight: 2,
        arbitrary: fieldsOf<Reaction>({ ...soundReaction, kind: "failure" }, answerFields("failure", failureStatus),
            6) },
);

function answerFields(kind: Reaction["kind"],
    status: Arbitrary<number>): { [Key in keyof Reaction]?: Arbitrary<Reaction[Key]>; } {
    return {
        kind: fc.constant(kind),
        status,
        statusText: fc.constantFrom("000", "099", "1000", "2OO", "", "600", "999"),
        id: fc.constantFrom("none", "other", "two"),
        signed: fc.constant(false),
        contradicts: fc.constant(true),
        leaving: fc.constantFrom("1", "0", "1, 0"),
        encoded: fc.constant(true),
        closes: fc.constant(true),
        informational: fc.integer({ min: 1, max: 2 }),
        interimStatus: fc.constantFrom("100", "102"),
        framing: fc.constantFrom("chunks", "none"),
        contentPermille: fc.oneof(permille, fc.constant(0)),
        sentPermille: permille,
        end: fc.oneof({ weight: 4, arbitrary: fc.constant("fin") }, { weight: 4, arbitrary: fc.constant("reset") }, {
            weight: 1,
            arbitrary: fc.constant("silence"),
        }),
        early: fc.constant(true),
        delayMs: shortMs,
        writes,
        pauseMs: fc.integer({ min: 0, max: 20 }),
        before: gluedExtra,
        after: extra,
    };
}

const route: Arbitrary<Route> = fc.constantFrom(...routes);

/** What each side varies of a call. */
const callFields: Readonly<Record<Side, { [Key in keyof CallScript]?: Arbitrary<CallScript[Key]>; }>> = {
    engine: {
        version: fc.constant("1.0"),
        bodyBytes: fc.oneof({ weight: 9, arbitrary: fc.integer({ min: 0, max: 5_000 }) }, { weight: 1,
            arbitrary: fc.constant(longUploadBytes) }),
        deadlineMs: fc.integer({ min: 200, max: 2_000 }),
        events: fc.integer({ min: 1, max: maxEvents }),
        answerBytes: fc.constantFrom(0, 100, 4_000, largeEventBytes),
        continues: fc.constant(false),
    },
    caller: {
        version: fc.constant("1.0"),
        bodyBytes: fc.oneof(fc.integer({ min: 0, max: 5_000 }), fc.integer({ min: 0, max: 99_000 })),
        framing: fc.constant("chunks"),
        writes,
        pauseMs: fc.integer({ min: 0, max: 20 }),
        deadlineMs: fc.integer({ min: 50, max: 2_000 }),
        continues: fc.constant(false),
        expectsContinue: fc.constant(true),
        withReservedHeaders: fc.constant(true),
        closes: fc.constant(true),
        readAfterMs: fc.integer({ min: 1, max: 100 }),
        leave: fc.record({ afterMs: shortMs, how: fc.constantFrom("halfClose", "close", "reset"),
            sentPermille: mostly(1_000, permille, 1) }),
        events: fc.integer({ min: 1, max: maxEvents }),
        answerBytes: fc.constantFrom(0, 100, 4_000, largeEventBytes),
    },
    store: {
        events: fc.integer({ min: 1, max: maxEvents }),
        answerBytes: fc.constantFrom(0, 100, 4_000, 30_000),
        continues: fc.constant(false),
    },
};

/** Attempts that have reactions of their own, and how often these are odd. */
const reactionLists: Readonly<Record<Side, Arbitrary<Reaction[]>>> = {
    engine: fc.array(oddReaction, { maxLength: 3 }),
    caller: mostly<Reaction[]>([], fc.array(oddReaction, { minLength: 1, maxLength: 2 }), 6),
    store: mostly<Reaction[]>([], fc.array(oddReaction, { minLength: 1, maxLength: 2 }), 6),
};

function callOf(side: Side): Arbitrary<CallScript> {
    const routeOf = side === "store" ? fc.oneof({ weight: 3, arbitrary: fc.constant<Route>("turn") }, route) : route;
    return fc.tuple(routeOf, fieldsOf(scriptDefaults.call, callFields[side], 5), reactionLists[side])
        .map(([chosen, fields, reactions]) => ({ ...fields, route: chosen, reactions,
            events: fields.answerBytes === largeEventBytes ? maxEvents : fields.events })
        );
}

function connectionOf(side: Side): Arbitrary<ConnectionScript> {
    return fc.record({
        startMs: mostly(0, fc.oneof({ weight: 9, arbitrary: shortMs }, fc.constant(lateStartMs)), 4),
        budget: mostly(1_000, fc.integer({ min: 0, max: 200 }), 4),
        calls: fc.array(callOf(side), { minLength: 1, maxLength: 8 }),
    });
}

/** A start after the time within which a draining upstream may still get calls. */
const lateStartMs = 2_200;

const entry: Arbitrary<UpstreamScript["entry"]> = fc.record({ change: fc.constantFrom("draining", "removed"),
    atMs: shortMs });

const upstreams: Arbitrary<UpstreamScript[]> = fc.tuple(
    ...(["models", "tools"] as const).map(service =>
        fc.array(fieldsOf<UpstreamScript>({ service, refusedConnections: 0, entry: undefined }, {
            refusedConnections: fc.integer({ min: 1, max: 2 }),
            entry,
        }, 9), { minLength: 1, maxLength: 3 })
    ),
).map(services => services.flat());

const storeReaction: Arbitrary<StoreReaction> = fc.record({
    kind: fc.constantFrom<StoreReaction["kind"][]>("pass", "pass", "busy", "reset", "lostReply", "silence", "cut",
        "split", "garbage"),
    delayMs: mostly(0, fc.integer({ min: 0, max: 300 }), 3),
    permille,
});

/** Generates the scripts of a side. */
export function scriptArbitrary(side: Side): Arbitrary<Script> {
    return fc.record({
        upstreams,
        connections: fc.array(connectionOf(side), { minLength: 1, maxLength: 3 }),
        store: side === "store" ? fc.array(storeReaction, { minLength: 1, maxLength: 24 }) : fc.constant([]),
    });
}
