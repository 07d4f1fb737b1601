import assert from "node:assert/strict";
import { test } from "node:test";
import { applyOwnership, createRandom, initialOwnership, misplaced, partitionsOf, watchedBy } from "../src/index.ts";
import type { Member, Ownership } from "../src/index.ts";

const member: Member = { incarnation: "1", address: "127.0.0.1", port: 1, dataCentre: "dc1", leaving: false };

function mapOf(count: number, partitions: number): Ownership {
    let map = initialOwnership(partitions, "d0", member);
    for (let index = 1; index < count; index += 1) {
        map = applyOwnership(map, { type: "join", name: `d${index}`, member });
    }
    return map;
}

/** Lets every member hand over what belongs elsewhere. */
function settle(map: Ownership): Ownership {
    return Object.keys(map.members).reduce(
        (current, from) =>
            [...misplaced(current, from)].reduce(
                (next, [to, partitions]) => applyOwnership(next, { type: "handOver", from, partitions, to }),
                current,
            ),
        map,
    );
}

test("every member is watched by the three that follow it, each with its rank (guards against a death nobody notices)", () => {
    for (const count of [2, 3, 4, 12, 50]) {
        const map = mapOf(count, 8);
        const ranks = new Map<string, number[]>();
        for (const watcher of Object.keys(map.members)) {
            for (const { name, rank } of watchedBy(map, watcher, 3)) {
                ranks.set(name, [...ranks.get(name) ?? [], rank].sort());
            }
        }
        const expected = [0, 1, 2].slice(0, Math.min(3, count - 1));
        assert.equal(ranks.size, count);
        ranks.forEach(found => assert.deepEqual(found, expected));
    }
});

test("leaving members watch nobody and are still watched (guards against a takeover by one that is going)", () => {
    let map = mapOf(5, 8);
    map = applyOwnership(map, { type: "leave", name: "d2" });
    assert.deepEqual(watchedBy(map, "d2", 3), []);
    const watchers = ["d0", "d1", "d3", "d4"].filter(each => watchedBy(map, each, 3).some(({ name }) => name === "d2"));
    assert.equal(watchers.length, 3);
});

test("whatever joins, leaves and dies, each partition has one live owner (guards against partitions without owner)", () => {
    const random = createRandom(11);
    let map = settle(mapOf(6, 64));
    for (let round = 0; round < 200; round += 1) {
        const names = Object.keys(map.members);
        const name = names[Math.floor(random() * names.length)] ?? "";
        const choice = random();
        if (choice < 0.4 || names.length < 3) {
            map = applyOwnership(map, { type: "join", name: `n${round}`, member });
        }
        else {
            map = applyOwnership(map, { type: choice < 0.7 ? "remove" : "leave", name });
        }
        map = random() < 0.5 ? settle(map) : map;
        assert.equal(map.owners.length, 64);
        assert.ok(map.owners.every(owner => map.members[owner] !== undefined));
    }
});

test("a hand-over moves only what its giver owns (guards against an old owner giving away what was taken over)", () => {
    const map = mapOf(3, 4);
    const taken = applyOwnership(map, { type: "remove", name: "d0" });
    const late = applyOwnership(taken, { type: "handOver", from: "d0", partitions: [0, 1, 2, 3], to: "d1" });
    assert.deepEqual(late.owners, taken.owners);
    assert.deepEqual(partitionsOf(late, "d0"), []);
});
