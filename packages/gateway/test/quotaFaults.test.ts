import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { createAuthorities } from "../src/authorities.ts";
import type { Metrics } from "../src/metrics.ts";
import { createPeerContacts } from "../src/peerContacts.ts";
import type { Peer } from "../src/peerList.ts";
import type { CreditAnswer, QuotaCall } from "../src/peerMessage.ts";
import { createQuotas } from "../src/quotas.ts";

const noMetrics = new Proxy({}, { get: () => () => undefined }) as Metrics;
const log = { info: () => undefined, warn: () => undefined };
const now = () => performance.now();
const team = { name: "team", quota: { ratePerSecond: 40, burst: 40 } };
const peerAt = (name: string, port = 0): Peer => ({ name, address: { host: "127.0.0.1", port }, dataCentre: "",
    registeredAt: 0, cores: 1 });

/** What other gateways answer, in virtual time. */
function createSetup({ ranked, answer, role = true, since = 0 }: {
    readonly ranked: readonly (Peer | undefined)[];
    readonly answer: (peer: Peer, call: QuotaCall, advance: (ms: number) => void) => unknown;
    readonly role?: boolean;
    readonly since?: number;
}) {
    let time = 100_000;
    const advance = (ms: number) => void (time += ms);
    const timers: { readonly at: number; readonly action: () => void; }[] = [];
    const quotas = createQuotas({ settings: { window: 5_000, overage: 0.1, slack: 20 }, version: () => 1, issuer: 7,
        metrics: noMetrics, log, now: () => time,
        ranking: { rank: () => ranked, holdsPlace: () => role, unchangedSince: () => since,
            noteSignOfLife: () => undefined, ask: async ([peer], call) => {
                const result = answer(peer!, call, advance);
                return result === undefined ? undefined : { result } as never;
            } }, schedule: (action, ms) => {
            timers.push({ at: time + ms, action });
            return { [Symbol.dispose]: () => undefined };
        } });
    return { quotas, advance, timers, now: () => time };
}

test("a deputy's credit lasts from when the deputy was asked (guards against refusals while a home is frozen)", async () => {
    const granted: CreditAnswer = { granted: 1, delay: 0, wait: 0 };
    const { quotas } = createSetup({ ranked: [peerAt("home"), peerAt("deputy")], answer: ({ name }, _, advance) => {
        advance(name === "home" ? 200 : 100);
        return name === "home" ? undefined : granted;
    } });
    assert.equal((await quotas.acquire(team)).kind, "credit");
});

test("a peer that accepts connections only is given up early and left out until it opens a link (guards against calls held by a frozen gateway)", async () => {
    const frozen = createServer(socket => socket.unref()).unref();
    await new Promise<void>(resolve => frozen.listen(0, "127.0.0.1", resolve));
    const { port } = frozen.address() as { port: number; };
    let offset = 0;
    using contacts = createPeerContacts({ log, now: () => now() + offset });
    const authorities = createAuthorities({ name: "self", hasPeers: true, settlingTime: 20_000, contacts, now });
    const askFrozen = async () => {
        const startedAt = now();
        const answer = await authorities.ask([peerAt("frozen", port)], { kind: "creditReturn", team: "team", count: 1,
            issue: { issuer: 1, at: 1 } }, { timeout: 400, silenceTimeout: 150 });
        assert.equal(answer, undefined);
        return now() - startedAt;
    };
    const first = await askFrozen();
    assert.ok(first < 250, `given up after ${first} ms`);
    offset += 1_500;
    const second = await askFrozen();
    assert.ok(second < 50, `left out after ${second} ms`);
});

test("a home that has just started leaves calls to its deputy and does not ask for its share (guards against a deputy drained for nothing)", async () => {
    const kinds: string[] = [];
    const { quotas } = createSetup({ ranked: [undefined, peerAt("deputy")], since: 100_000, answer: (_, call) => {
        kinds.push(call.kind);
        return call.kind === "credit" ? { granted: call.count, delay: 0, wait: 0 } : {};
    } });
    const outcomes = await Promise.all(Array.from({ length: 60 }, async () => quotas.acquire(team)));
    assert.ok(outcomes.every(({ kind }) => kind === "credit"));
    assert.ok(!kinds.includes("quotaShare"));
});

test("a gateway that cannot decide is passed over (guards against refusals by a gateway that does not know the quota's state)", async () => {
    const undecided: CreditAnswer = { granted: 0, delay: 0, wait: 250, undecided: true };
    const ranked = [peerAt("home"), peerAt("deputy")];
    const { quotas } = createSetup({ ranked,
        answer: ({ name }) => name === "home" ? undecided : { granted: 1, delay: 0, wait: 0 } });
    assert.equal((await quotas.acquire(team)).kind, "credit");
    const blind = createSetup({ ranked, answer: () => undecided });
    assert.equal((await blind.quotas.acquire(team)).kind, "unreachable");
});
