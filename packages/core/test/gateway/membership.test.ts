import assert from "node:assert/strict";
import { test } from "node:test";
import { type Member, Membership } from "../../src/gateway/index.ts";

const settlingMs = 20_000;
const names = ["a", "b", "c", "d"];
const member = (name: string, registeredAt?: number, cores = 1): Member => ({ name, registeredAt, cores });
/** Members of a system that started at 0 by the store's clock, which is 1000 ms ahead of that of this process. */
const founders = names.map((name, index) => member(name, index * 300));
const storeTime = (now: number) => now + 1_000;

/** A list as the gateway that is first for the subject `s` has read it. */
function listOfFirst() {
    const ranking = new Membership("", settlingMs);
    ranking.record(founders, storeTime(0), 0);
    const [first, second] = ranking.rank("s", 0);
    const list = new Membership(first!, settlingMs);
    return { list, first: first!, second: second!,
        isSettled: (now: number) => list.isSettled(list.rank("s", now), now) };
}

test("gateways that start together decide from the start (guards against a system that refuses until it has settled)", () => {
    const { list, isSettled } = listOfFirst();
    assert.equal(isSettled(0), false, "no list is known");
    list.record(founders, storeTime(500), 500);
    assert.equal(isSettled(1_000), false, "others may not have registered yet");
    assert.equal(list.establishedCount(1_000), 4);
    assert.equal(isSettled(6_000), true);
    assert.equal(isSettled(21_000), false, "the list has not been read for long");
});

test("a new gateway decides nothing until all others must know it (guards against two gateways that decide at once)", () => {
    const { list, first, isSettled } = listOfFirst();
    const others = founders.filter(({ name }) => name !== first);
    list.record([...others, member(first, 100_000)], storeTime(100_000), 100_000);
    assert.notEqual(list.rank("s", 100_000)[0], first);
    assert.notEqual(list.rank("s", 118_000)[0], first);
    list.record([...others, member(first, 100_000)], storeTime(115_000), 115_000);
    assert.equal(list.rank("s", 119_500)[0], first, "the others leave the decision to it");
    assert.equal(isSettled(119_500), false, "but their clocks may differ a little");
    assert.equal(isSettled(121_000), true);
});

test("a gateway that was restarted with its row in place decides at once (guards against a pause after each crash)", () => {
    const { list, isSettled } = listOfFirst();
    list.record(founders, storeTime(200_000), 200_000);
    assert.equal(isSettled(200_000), true);
});

test("another list gives another order at once (guards against asking gateways that are gone)", () => {
    const { list, first, second } = listOfFirst();
    list.record(founders, storeTime(30_000), 30_000);
    assert.deepEqual(list.rank("s", 30_000).slice(0, 2), [first, second]);
    list.record(founders.filter(({ name }) => name !== first), storeTime(45_000), 45_000);
    assert.equal(list.rank("s", 45_000)[0], second);
});

test("only the VMs with the greatest capacity are capable (guards against a small VM that decides for all)", () => {
    const list = new Membership("a", settlingMs);
    list.record([member("a", 0, 0.3), member("b", 0, 1.35), member("c", 0, 1.3), member("d", 0, 0.68)], storeTime(0),
        0);
    assert.deepEqual([...list.rankCapable("s", 0)].sort(), ["b", "c"]);
});

test("rows that do not say when a gateway registered count as old (guards against an upgrade in which nobody decides)", () => {
    const list = new Membership("a", settlingMs);
    list.record(names.map(name => member(name)), undefined, 0);
    assert.equal(list.establishedCount(0), 4);
});
