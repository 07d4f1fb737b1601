import { systemClock } from "@tamarackgauge/core";
import { z } from "zod";
import { createFaults, fault, ok } from "./faults.ts";
import type { Fault } from "./faults.ts";
import { HttpError, listen, parseBody, sendJson } from "./listener.ts";
import type { Received, Standin } from "./listener.ts";
import { createObjectStore, createWeightStore } from "./stores.ts";
import type { ObjectCounts } from "./stores.ts";
import { createTableService } from "./table-service.ts";
import type { TableCounts } from "./table-service.ts";
import { createVms, vm, vmChanges } from "./vms.ts";
import type { Vm } from "./vms.ts";

/** Settings of the platform stand-in. Rates are requests per second; without a rate nothing is limited. */
export interface PlatformOptions {
    readonly port?: number;
    readonly readsPerSecond?: number;
    readonly writesPerSecond?: number;
    readonly weightsPerSecond?: number;
    /** Milliseconds until a change of the VM list is visible. */
    readonly vmLagMs?: number;
    readonly vms?: readonly Vm[];
}

/** Counts of the requests to the platform. */
export interface PlatformCounts extends TableCounts, ObjectCounts {
    readonly vmReads: number;
    /** Answered requests for weights, by model. */
    readonly weights: Readonly<Record<string, number>>;
    /** Requests that a fault affected, by mode. */
    readonly faults: Readonly<Record<string, number>>;
}

/** The platform: table service, object store, VM list and weight store. */
export interface Platform extends Standin {
    /** Replaces the active faults; `{ mode: "none" }` ends them. */
    setFaults(faults: Fault | readonly Fault[]): void;
    replaceVms(vms: readonly Vm[]): void;
    changeVm(name: string, changes: Partial<Vm>): void;
    removeVm(name: string): void;
    setVmLag(ms: number): void;
    counts(): PlatformCounts;
}

const faultsRequest = z.union([fault, z.array(fault)]);
const vmsRequest = z.union([z.array(vm), z.object({ vms: z.array(vm) }).transform(list => list.vms)]);
const lagRequest = z.object({ ms: z.number().nonnegative() });

/** Starts a platform on a loopback port. */
export async function createPlatform(options: PlatformOptions = {}): Promise<Platform> {
    const faults = createFaults();
    const table = createTableService(faults, options.readsPerSecond, options.writesPerSecond);
    const objects = createObjectStore(faults);
    const weights = createWeightStore(faults, options.weightsPerSecond);
    const vms = createVms(options.vms ?? [], options.vmLagMs ?? 0);
    const now = () => systemClock.monotonic();
    let vmReads = 0;
    const counts = (): PlatformCounts => ({
        ...table.counts(),
        ...objects.counts(),
        vmReads,
        weights: weights.counts(),
        faults: faults.counts(),
    });

    function vmList(received: Received): Promise<void> {
        vmReads += 1;
        return faults.run({ part: "vms", keys: [] }, received, () => ok(vms.visible(now())));
    }

    function control(received: Received): void {
        const [, resource, name = ""] = received.path;
        switch (`${received.method} ${resource}`) {
            case "GET counts":
                return sendJson(received.response, 200, counts());
            case "GET vms":
                return sendJson(received.response, 200, vms.latest());
            case "POST faults":
                faults.set(parseBody(received, faultsRequest));
                break;
            case "PUT vms":
                vms.replace(parseBody(received, vmsRequest), now());
                break;
            case "PATCH vms":
                vms.change(name, parseBody(received, vmChanges), now());
                break;
            case "DELETE vms":
                vms.remove(name, now());
                break;
            case "POST lag":
                vms.setLag(parseBody(received, lagRequest).ms);
                break;
            default:
                throw new HttpError(404, "there is no such control");
        }
        sendJson(received.response, 200, { ok: true });
    }

    function route(received: Received): Promise<void> | void {
        const { method, path } = received;
        switch (path[0]) {
            case "control":
                return control(received);
            case "objects":
                return objects.handle(received);
            case "weights":
                return weights.handle(received);
        }
        switch (`${method} /${path.join("/")}`) {
            case "POST /v3/kv/range":
                return table.range(received);
            case "POST /v3/kv/txn":
                return table.txn(received);
            case "GET /v1/vms":
                return vmList(received);
        }
        throw new HttpError(404, "there is no such path");
    }

    const standin = await listen(options.port ?? 0, route);
    return {
        ...standin,
        setFaults: wanted => faults.set(wanted),
        replaceVms: wanted => vms.replace(wanted, now()),
        changeVm: (name, changes) => vms.change(name, changes, now()),
        removeVm: name => vms.remove(name, now()),
        setVmLag: ms => vms.setLag(ms),
        counts,
    };
}
