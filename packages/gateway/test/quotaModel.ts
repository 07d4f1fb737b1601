import { maxInWindow, type Quota, type QuotaSettings } from "@tamarackgauge/core/gateway";
import type { Metrics } from "../src/metrics.ts";
import type { Peer } from "../src/peerList.ts";
import type { QuotaCall } from "../src/peerMessage.ts";
import { createQuotas, type Quotas, type QuotaServer } from "../src/quotas.ts";

/** The rule's settings where they are not varied. */
export const modelSettings: QuotaSettings = { window: 5_000, overage: 0.1, slack: 20 };

/** What happens to messages and gateways, beside the calls of the team. */
export interface ModelFaults {
    /** Gateways that end at a time and start again after another time. */
    readonly kills?: readonly { readonly at: number; readonly gateway: number; readonly ms: number; }[];
    /** Gateways whose process stands still. */
    readonly freezes?: readonly { readonly at: number; readonly gateway: number; readonly ms: number; }[];
    /** Every second gateway, or every third, and so on: those cannot reach the others, in both directions. */
    readonly partitions?: readonly { readonly at: number; readonly every: number; readonly ms: number; }[];
    /** Gateways that can't read the list of gateways. */
    readonly blinds?: readonly { readonly at: number; readonly gateway: number; readonly ms: number; }[];
    /** Gateways that register, late, at the front of the ranking, or that are removed from it. */
    readonly changes?: readonly { readonly at: number; readonly place: number; readonly kind: "join" | "leave"; }[];
    /** Shares of messages that are lost and that come late, up to `maxLateMs`. */
    readonly lostShare?: number;
    readonly lateShare?: number;
    readonly maxLateMs?: number;
}

/** A run of the model. */
export interface ModelRun {
    readonly gateways: number;
    readonly quota: Quota;
    readonly settings?: QuotaSettings;
    /** Calls of the team per second at all gateways together, by the time in ms. */
    readonly callRate: (time: number) => number;
    readonly durationMs: number;
    readonly faults?: ModelFaults;
    /** Credits are used together, at the next multiple of this time. */
    readonly useDelayMs?: number;
    readonly random: () => number;
}

/** What came of a run: when calls were sent, and when they were made. */
export interface ModelResult {
    readonly sent: readonly number[];
    readonly made: readonly number[];
    readonly refused: readonly number[];
    readonly messages: number;
}

/** A membership list that was in force from a time on. The first in the list ranks first. */
interface ListVersion {
    readonly from: number;
    readonly names: readonly string[];
}

interface ModelGateway {
    readonly name: string;
    readonly peer: Peer;
    quotas: (Quotas & QuotaServer) | undefined;
    incarnation: number;
    startedAt: number;
    frozenUntil: number;
    list: readonly string[];
    listReadAt: number;
    listChangedAt: number;
    /** Work that came while the process stood still. */
    pending: (() => void)[];
}

const oneWayMs = 1;
const silenceMs = 150;
const settlingMs = 20_000;
const listIntervalMs = 15_000;
/** Time between a row's first appearance and the time from which it counts; all lists have been read by then. */
const establishingMs = 20_000;
const noMetrics = new Proxy({}, { get: () => () => undefined }) as Metrics;
const noLog = { info: () => undefined, warn(event: string, fields: object) {
    if (event === "quota.broken") {
        throw new Error(JSON.stringify(fields));
    }
} };

/** Runs gateways in virtual time, with the messages between them. */
export async function runModel(run: ModelRun): Promise<ModelResult> {
    const { random, faults = {} } = run;
    // The model begins long after the start, so that the share is full.
    let time = 0;
    const events = createEventQueue();
    const result = { sent: [] as number[], made: [] as number[], refused: [] as number[], messages: 0 };
    const versions = listVersions(run.gateways, faults.changes ?? []);
    const allNames = [...new Set(versions.flatMap(({ names }) => names))];
    const gateways = allNames.map(createModelGateway);
    const byName = new Map(gateways.map(gateway => [gateway.name, gateway]));

    function schedule(at: number, action: () => void): { cancel(): void; } {
        return events.add(at, action);
    }

    function createModelGateway(name: string): ModelGateway {
        return { name, peer: { name, address: { host: "", port: 0 }, dataCentre: "", registeredAt: 0, cores: 1 },
            quotas: undefined, incarnation: 0, startedAt: 0, frozenUntil: -Infinity, list: [], listReadAt: -Infinity,
            listChangedAt: 0, pending: [] };
    }

    /** Runs an action of a gateway's process, once it does not stand still, if it has not ended. */
    function inProcess(gateway: ModelGateway, incarnation: number, action: () => void): void {
        if (gateway.incarnation !== incarnation || gateway.quotas === undefined) {
            return;
        }
        if (time < gateway.frozenUntil) {
            schedule(gateway.frozenUntil, () => inProcess(gateway, incarnation, action));
            return;
        }
        action();
    }

    function start(gateway: ModelGateway): void {
        gateway.startedAt = time;
        gateway.listReadAt = -Infinity;
        gateway.listChangedAt = time;
        const { incarnation } = gateway;
        gateway.quotas = createQuotas({ settings: run.settings ?? modelSettings, version: () => 1,
            issuer: Math.floor(random() * 2 ** 32), metrics: noMetrics, log: noLog, now: () => time, ranking: {
                rank: (_, count) =>
                    gateway.list.slice(0, count).map(name =>
                        name === gateway.name ? undefined : byName.get(name)!.peer
                    ),
                holdsPlace: () => time - gateway.listReadAt < settlingMs,
                unchangedSince: () => gateway.listChangedAt,
                noteSignOfLife: () => undefined,
                ask: ([peer], call) => ask(gateway, incarnation, byName.get(peer!.name)!, call) as Promise<never>,
            }, schedule(action, ms) {
            const entry = schedule(time + ms, () => inProcess(gateway, incarnation, action));
            return { [Symbol.dispose]: () => entry.cancel() };
        } });
        readList(gateway, incarnation);
    }

    /** Gateways that read the list at different times agree, as a change counts from the same time for all that know it. */
    function readList(gateway: ModelGateway, incarnation: number): void {
        inProcess(gateway, incarnation, () => {
            if (!isHit(faults.blinds, gateway)) {
                gateway.listReadAt = time;
            }
            schedule(time + listIntervalMs * (0.9 + random() * 0.2), () => readList(gateway, incarnation));
        });
    }

    function applyLists(): void {
        for (const gateway of gateways) {
            const known = versions.findLast(({ from }) =>
                from <= time && from - establishingMs <= gateway.listReadAt
            ) ??
                versions[0]!;
            if (gateway.list !== known.names) {
                gateway.list = known.names;
                gateway.listChangedAt = Math.max(gateway.startedAt, time);
            }
        }
    }

    function isParted(from: ModelGateway, to: ModelGateway): boolean {
        return faults.partitions?.some(({ at, every, ms }) =>
            time >= at && time < at + ms &&
            (gateways.indexOf(from) % every === 0) !== (gateways.indexOf(to) % every === 0)
        ) === true;
    }

    function isHit(hits: ModelFaults["blinds"], gateway: ModelGateway): boolean {
        return hits?.some(hit =>
            gateways[hit.gateway % gateways.length] === gateway && time >= hit.at &&
            time < hit.at + hit.ms
        ) === true;
    }

    function ask(from: ModelGateway, incarnation: number, to: ModelGateway, call: QuotaCall): Promise<unknown> {
        result.messages += 1;
        return new Promise(resolve => {
            let isOver = false;
            const finish = (answer: unknown) =>
                inProcess(from, incarnation, () => {
                    if (!isOver) {
                        isOver = true;
                        resolve(answer);
                    }
                });
            schedule(time + silenceMs, () => finish(undefined));
            transmit(from, to, () => {
                inProcess(to, to.incarnation, () => {
                    void to.quotas!.serve(call).then(result => transmit(to, from, () => finish({ result })));
                });
            });
        });
    }

    function transmit(from: ModelGateway, to: ModelGateway, deliver: () => void): void {
        if (isParted(from, to) || random() < (faults.lostShare ?? 0)) {
            return;
        }
        const late = random() < (faults.lateShare ?? 0) ? random() * (faults.maxLateMs ?? 0) : 0;
        schedule(time + oneWayMs + late, deliver);
    }

    function makeCall(): void {
        const gateway = gateways[Math.floor(random() * gateways.length)]!;
        result.made.push(time);
        inProcess(gateway, gateway.incarnation, () => void callAt(gateway));
    }

    async function callAt(gateway: ModelGateway): Promise<void> {
        const { incarnation } = gateway;
        const outcome = await gateway.quotas!.acquire({ name: "team", quota: run.quota });
        if (outcome.kind !== "credit") {
            result.refused.push(time);
            return;
        }
        const useDelayMs = run.useDelayMs ?? 1;
        schedule(Math.ceil(time / useDelayMs) * useDelayMs, () =>
            inProcess(gateway, incarnation, () => {
                if (outcome.isUsable()) {
                    result.sent.push(time);
                }
                else {
                    outcome.giveBack();
                }
            }));
    }

    function planCalls(): void {
        const rate = run.callRate(time);
        schedule(time + (rate > 0 ? -Math.log(1 - random()) * 1_000 / rate : 10), () => {
            if (rate > 0) {
                makeCall();
            }
            planCalls();
        });
    }

    versions.forEach(({ from }) => schedule(Math.max(0, from), applyLists));
    gateways.forEach(start);
    applyLists();
    faults.kills?.forEach(({ at, gateway: index, ms }) => {
        const gateway = gateways[index % gateways.length]!;
        schedule(at, () => {
            gateway.quotas?.[Symbol.dispose]();
            gateway.quotas = undefined;
            gateway.incarnation += 1;
        });
        schedule(at + ms, () => gateway.quotas === undefined && start(gateway));
    });
    faults.freezes?.forEach(({ at, gateway: index, ms }) =>
        schedule(at, () => gateways[index % gateways.length]!.frozenUntil = at + ms)
    );
    planCalls();
    while (events.size() > 0) {
        const event = events.take()!;
        if (event.at > run.durationMs) {
            break;
        }
        time = Math.max(time, event.at);
        event.action();
        await flushed();
    }
    gateways.forEach(({ quotas }) => quotas?.[Symbol.dispose]());
    return result;
}

/** Lets the promises that an event has settled be handled, in the same virtual time. */
function flushed(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

function listVersions(count: number, changes: NonNullable<ModelFaults["changes"]>): readonly ListVersion[] {
    const versions: ListVersion[] = [{ from: -Infinity,
        names: Array.from({ length: count }, (_, index) => `g${index}`) }];
    for (const { at, place, kind } of [...changes].sort((left, right) => left.at - right.at)) {
        const names = [...versions.at(-1)!.names];
        if (kind === "join") {
            names.splice(place % (names.length + 1), 0, `j${versions.length}`);
        }
        else if (names.length > 1) {
            names.splice(place % names.length, 1);
        }
        versions.push({ from: at, names });
    }
    return versions;
}

interface ModelEvent {
    readonly at: number;
    readonly order: number;
    action: () => void;
}

/** Events by time; a binary heap. */
function createEventQueue() {
    const heap: ModelEvent[] = [];
    let order = 0;
    const before = (left: ModelEvent, right: ModelEvent) =>
        left.at < right.at || (left.at === right.at && left.order < right.order);

    function add(at: number, action: () => void) {
        const event: ModelEvent = { at, order: order += 1, action };
        let index = heap.push(event) - 1;
        while (index > 0 && before(event, heap[(index - 1) >> 1]!)) {
            heap[index] = heap[(index - 1) >> 1]!;
            index = (index - 1) >> 1;
        }
        heap[index] = event;
        return { cancel: () => event.action = () => undefined };
    }

    function take(): ModelEvent | undefined {
        const first = heap[0];
        const last = heap.pop();
        if (first === undefined || last === undefined || heap.length === 0) {
            return first;
        }
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const child = left + 1 < heap.length && before(heap[left + 1]!, heap[left]!) ? left + 1 : left;
            if (child >= heap.length || !before(heap[child]!, last)) {
                break;
            }
            heap[index] = heap[child]!;
            index = child;
        }
        heap[index] = last;
        return first;
    }

    return { add, take, size: () => heap.length };
}

/** The most requests in any window, and how many the rule allows. */
export function mostInWindow(times: readonly number[], quota: Quota,
    settings = modelSettings): { most: number; allowed: number; } {
    const sorted = [...times].sort((left, right) => left - right);
    let most = 0;
    for (let end = 0, start = 0; end < sorted.length; end += 1) {
        while (sorted[end]! - sorted[start]! > settings.window) {
            start += 1;
        }
        most = Math.max(most, end - start + 1);
    }
    return { most, allowed: maxInWindow(quota, settings) };
}
