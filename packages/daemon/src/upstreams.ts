import type { Clock, Policy } from "@tamarackgauge/core";
import { acceptVms } from "@tamarackgauge/table";
import type { Vm, VmList, VmSource } from "@tamarackgauge/table";
import { createEngineClient } from "@tamarackgauge/upstream";
import type { EngineClient } from "@tamarackgauge/upstream";
import createDebug from "debug";
import { concatMap, fromPromise, periodic, type Stream } from "most";
import type { Services } from "./services.ts";

const log = createDebug("tamarackgauge:upstream");

/** The engines and services in the platform's VM list. */
export interface Upstreams {
    clientOf(engine: string): EngineClient | undefined;
    engines(): readonly string[];
    vms(): readonly Vm[];
    /** Sets the models that engines reported; other engines have the models of the VM list. */
    setReportedModels(models: ReadonlyMap<string, readonly string[]>): void;
    [Symbol.asyncDispose](): Promise<void>;
}

/** Options of the upstreams; times in milliseconds. */
export interface UpstreamsOptions {
    readonly source: VmSource;
    readonly policy: Policy;
    readonly services: Services;
    readonly clock: Clock;
    /** Called after the engines or their load reports in the policy were updated. */
    readonly onChange: () => void;
    readonly listInterval?: number;
    readonly reportInterval?: number;
}

/** Allows two polls within the 3 s after which an upstream listed as leaving must get no new work. */
const defaultListIntervalMs = 1_000;
const defaultReportIntervalMs = 2_000;

interface KnownEngine {
    readonly vm: Vm;
    readonly client: EngineClient;
}

/** Starts polling the VM list and the load reports of engines. */
export function createUpstreams(options: UpstreamsOptions): Upstreams {
    const { policy, services, clock } = options;
    let knownEngines: ReadonlyMap<string, KnownEngine> = new Map();
    let vms: readonly Vm[] = [];
    let reportedModels: ReadonlyMap<string, readonly string[]> = new Map();
    let stopped = false;

    function setVms(list: VmList): void {
        vms = list.vms;
        services.setVms(vms);
        knownEngines = updateEngines(knownEngines, vms);
        updatePolicy();
    }

    function setReportedModels(models: ReadonlyMap<string, readonly string[]>): void {
        reportedModels = models;
        updatePolicy();
    }

    function updatePolicy(): void {
        const engines = [...knownEngines.values()].map(({ vm }) => ({
            name: vm.name,
            dataCentre: vm.dataCentre,
            models: reportedModels.get(vm.name) ?? vm.models ?? [],
            leaving: vm.state === "leaving",
        }));
        policy.setEngines(engines, clock.monotonic());
        options.onChange();
    }

    async function readReports(): Promise<void> {
        await Promise.all([...knownEngines].map(async ([name, { client }]) => {
            try {
                policy.recordLoad(name, await client.load(), clock.monotonic());
            }
            catch (error) {
                log("Could not read the load report of engine %s: %s.", name, (error as Error).message);
            }
        }));
        options.onChange();
    }

    const lists: Stream<VmList> = poll(options.listInterval ?? defaultListIntervalMs, options.source)
        .scan<VmList | undefined>((current, next) => next === undefined ? current : acceptList(current, next),
            undefined)
        .filter(list => list !== undefined)
        .skipRepeats();
    const reports = poll(options.reportInterval ?? defaultReportIntervalMs, readReports);
    void lists.takeWhile(() => !stopped).observe(setVms);
    void reports.takeWhile(() => !stopped).drain();

    function poll<Value>(interval: number, read: () => Promise<Value>): Stream<Value | undefined> {
        const pollTicks = periodic(interval).takeWhile(() => !stopped);
        return concatMap(() => fromPromise(read().catch(logReadFailure)), pollTicks);
    }

    function logReadFailure(error: unknown): undefined {
        log("The VM list could not be read: %s.", (error as Error).message);
        return undefined;
    }

    return {
        clientOf: engine => knownEngines.get(engine)?.client,
        engines: () => [...knownEngines.keys()],
        vms: () => vms,
        setReportedModels,
        [Symbol.asyncDispose]: async () => {
            stopped = true;
            await Promise.all([...knownEngines.values()].map(({ client }) => client[Symbol.asyncDispose]()));
        },
    };
}

/** A list without engines, even one with services, is treated as a platform fault: the current list is kept. */
function acceptList(current: VmList | undefined, next: VmList): VmList {
    const accepted = acceptVms(current, next);
    return current !== undefined && hasEngine(current) && !hasEngine(accepted) ? current : accepted;
}

function hasEngine({ vms }: VmList): boolean {
    return vms.some(vm => vm.kind === "engine");
}

/** Keeps the clients of engines whose address is unchanged. Other clients close after their last call. */
function updateEngines(known: ReadonlyMap<string, KnownEngine>, vms: readonly Vm[]): ReadonlyMap<string, KnownEngine> {
    const next = new Map<string, KnownEngine>();
    for (const vm of vms.filter(each => each.kind === "engine")) {
        const previous = known.get(vm.name);
        const hasSameAddress = previous !== undefined && previous.vm.address === vm.address &&
            previous.vm.port === vm.port;
        next.set(vm.name, { vm,
            client: hasSameAddress ? previous.client : createEngineClient(`http://${vm.address}:${vm.port}`) });
    }
    return next;
}
