import assert from "node:assert/strict";
import { test } from "node:test";
import { applyOwnershipStep, createRandom, initialOwnership, misplacedPartitions, partitionsOf,
    watchedMembers } from "../src/index.ts";
import type { Member, Ownership } from "../src/index.ts";

const member: Member = { incarnation: "1", address: "127.0.0.1", port: 1, dataCentre: "dc1", leaving: false };

function createMap(count: number, partitions: number): Ownership {
    let map = initialOwnership(partitions, "d0", member);
    for (let index = 1; index < count; index += 1) {
        map = applyOwnershipStep(map, { type: "join", name: `d${index}`, member });
    }
    return map;
}

/** Lets each member hand over the partitions that other members should own. */
function handOverMisplaced(map: Ownership): Ownership {
    return Object.keys(map.members).reduce(
        (currentMap, from) =>
            [...misplacedPartitions(currentMap, from)].reduce(
                (nextMap, [to, partitions]) => applyOwnershipStep(nextMap, { type: "handOver", from, partitions, to }),
                currentMap,
            ),
        map,
    );
}

test("every member is watched by the next three members, each with its own rank (guards against a failure that no member detects)", () => {
    for (const count of [2, 3, 4, 12, 50]) {
        const map = createMap(count, 8);
        const ranks = new Map<string, number[]>();
        for (const watcher of Object.keys(map.members)) {
            for (const { name, rank } of watchedMembers(map, watcher, 3)) {
                ranks.set(name, [...ranks.get(name) ?? [], rank].sort());
            }
        }
        const expected = [0, 1, 2].slice(0, Math.min(3, count - 1));
        assert.equal(ranks.size, count);
        ranks.forEach(actualRanks => assert.deepEqual(actualRanks, expected));
    }
});

test("leaving members watch no leases and are still watched (guards against a takeover by a member that is leaving)", () => {
    let map = createMap(5, 8);
    map = applyOwnershipStep(map, { type: "leave", name: "d2" });
    assert.deepEqual(watchedMembers(map, "d2", 3), []);
    const watchers = ["d0", "d1", "d3", "d4"].filter(each =>
        watchedMembers(map, each, 3).some(({ name }) => name === "d2")
    );
    assert.equal(watchers.length, 3);
});

test("each partition has one live owner after any joins, leaves and failures (guards against partitions without an owner)", () => {
    const random = createRandom(11);
    let map = handOverMisplaced(createMap(6, 64));
    for (let round = 0; round < 200; round += 1) {
        const names = Object.keys(map.members);
        const name = names[Math.floor(random() * names.length)] ?? "";
        const choice = random();
        if (choice < 0.4 || names.length < 3) {
            map = applyOwnershipStep(map, { type: "join", name: `n${round}`, member });
        }
        else {
            map = applyOwnershipStep(map, { type: choice < 0.7 ? "remove" : "leave", name });
        }
        map = random() < 0.5 ? handOverMisplaced(map) : map;
        assert.equal(map.owners.length, 64);
        assert.ok(map.owners.every(owner => map.members[owner] !== undefined));
    }
});

test("a hand-over moves only partitions that the sender owns (guards against a former owner handing over partitions after a takeover)", () => {
    const map = createMap(3, 4);
    const afterTakeover = applyOwnershipStep(map, { type: "remove", name: "d0" });
    const afterLateHandOver = applyOwnershipStep(afterTakeover, { type: "handOver", from: "d0",
        partitions: [0, 1, 2, 3], to: "d1" });
    assert.deepEqual(afterLateHandOver.owners, afterTakeover.owners);
    assert.deepEqual(partitionsOf(afterLateHandOver, "d0"), []);
});
