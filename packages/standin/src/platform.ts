import { systemClock } from "@tamarackgauge/core";
import { createHash } from "node:crypto";
import { z } from "zod";
import { answerRange, answerTxn, duplicateKey, isWrite, keysOfTxn, rangeRequest, txnOf, txnRequest } from "./etcd.ts";
import type { Txn } from "./etcd.ts";
import { createFaults, fault } from "./faults.ts";
import type { Answer, Fault } from "./faults.ts";
import { HttpError, listen, parseBody, sendJson } from "./listener.ts";
import type { Received, Standin } from "./listener.ts";
import { createRateLimit } from "./rate.ts";
import { createTable } from "./table.ts";
import { createVms, vm } from "./vms.ts";
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

/** What the platform has been asked. Requests that a fault struck count, throttled ones count only as such. */
export interface PlatformCounts {
    readonly reads: number;
    readonly writes: number;
    readonly writtenRows: number;
    readonly writtenBytes: number;
    readonly throttled: number;
    readonly objectReads: number;
    readonly objectWrites: number;
    readonly vmReads: number;
    readonly weights: Readonly<Record<string, number>>;
    readonly faults: Readonly<Record<string, number>>;
}

/** The platform: table service, object store, VM list and weight store. */
export interface Platform extends Standin {
    /** Replaces the faults in force; `{ mode: "none" }` ends them. */
    setFaults(faults: Fault | readonly Fault[]): void;
    replaceVms(vms: readonly Vm[]): void;
    changeVm(name: string, changes: Partial<Vm>): void;
    removeVm(name: string): void;
    setVmLag(ms: number): void;
    counts(): PlatformCounts;
}

const maxTxnBytes = 1024 * 1024;
const maxTxnOperations = 128;

/** Starts a platform on a loopback port. */
export async function createPlatform(options: PlatformOptions = {}): Promise<Platform> {
    const table = createTable();
    const faults = createFaults();
    const vms = createVms(options.vms ?? [], options.vmLagMs ?? 0);
    const objects = new Map<string, Buffer>();
    const readLimit = createRateLimit(options.readsPerSecond);
    const writeLimit = createRateLimit(options.writesPerSecond);
    const weightLimit = createRateLimit(options.weightsPerSecond);
    const now = () => systemClock.monotonic();
    const weights: Record<string, number> = {};
    const counted = {
        reads: 0,
        writes: 0,
        writtenRows: 0,
        writtenBytes: 0,
        throttled: 0,
        objectReads: 0,
        objectWrites: 0,
        vmReads: 0,
    };
    const counts = (): PlatformCounts => ({ ...counted, weights: { ...weights }, faults: faults.counts() });

    function take(limit: { take(now: number): boolean; }): void {
        if (!limit.take(now())) {
            counted.throttled += 1;
            const message = "too many requests";
            throw new HttpError(429, message, { error: message, code: 8, message });
        }
    }

    function range(received: Received): Promise<void> {
        const request = parseTable(received, rangeRequest);
        take(readLimit);
        counted.reads += 1;
        return faults.run({ part: "range", keys: [request.key] }, received, () => ok(answerRange(table, request)));
    }

    function txn(received: Received): Promise<void> {
        const request = checkTxn(received);
        const write = isWrite(request);
        take(write ? writeLimit : readLimit);
        counted[write ? "writes" : "reads"] += 1;
        return faults.run({ part: "txn", keys: keysOfTxn(request) }, received, () => {
            const { body, ran } = answerTxn(table, request);
            const puts = ran.filter(operation => operation.type === "put");
            counted.writtenRows += puts.length;
            counted.writtenBytes += puts.reduce((sum, put) => sum + put.value.length * 3 / 4, 0);
            return ok(body);
        });
    }

    function object(received: Received): Promise<void> {
        const [, bucket, ...rest] = received.path;
        const key = `${bucket}/${rest.join("/")}`;
        counted[received.method === "GET" ? "objectReads" : "objectWrites"] += 1;
        return faults.run({ part: "objects", keys: [key] }, received, () => objectAnswer(objects, key, received));
    }

    function weight(received: Received): Promise<void> {
        const model = received.path.slice(1).join("/");
        take(weightLimit);
        weights[model] = (weights[model] ?? 0) + 1;
        const digest = createHash("sha256").update(model).digest("hex");
        return faults.run({ part: "weights", keys: [model] }, received, () => ok({ model, digest }));
    }

    function vmList(received: Received): Promise<void> {
        counted.vmReads += 1;
        return faults.run({ part: "vms", keys: [] }, received, () => ok(vms.visible(now())));
    }

    function control(received: Received): void {
        const [, what, name] = received.path;
        switch (`${received.method} ${what}`) {
            case "GET counts":
                sendJson(received.response, 200, counts());
                return;
            case "POST faults":
                faults.set(parseBody(received, z.union([fault, z.array(fault)])));
                break;
            case "GET vms":
                sendJson(received.response, 200, vms.latest());
                return;
            case "PUT vms": {
                const body = parseBody(received, z.union([z.array(vm), z.object({ vms: z.array(vm) })]));
                vms.replace(Array.isArray(body) ? body : body.vms, now());
                break;
            }
            case "PATCH vms":
                vms.change(name ?? "", parseBody(received, vmChanges), now());
                break;
            case "DELETE vms":
                vms.remove(name ?? "", now());
                break;
            case "POST lag":
                vms.setLag(parseBody(received, z.object({ ms: z.number().nonnegative() })).ms);
                break;
            default:
                throw new HttpError(404, "there is no such control");
        }
        sendJson(received.response, 200, { ok: true });
    }

    const standin = await listen(options.port ?? 0, received => {
        const { method, path } = received;
        switch (path[0]) {
            case "control":
                return control(received);
            case "objects":
                return object(received);
            case "weights":
                return weight(received);
        }
        switch (`${method} /${path.join("/")}`) {
            case "POST /v3/kv/range":
                return range(received);
            case "POST /v3/kv/txn":
                return txn(received);
            case "GET /v1/vms":
                return vmList(received);
        }
        throw new HttpError(404, "there is no such path");
    });
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

const vmChanges = vm.extend({ state: z.enum(["live", "leaving"]) }).partial();

function ok(body: unknown): Answer {
    return { status: 200, body };
}

function tableError(message: string): HttpError {
    return new HttpError(400, message, { error: message, code: 3, message });
}

function parseTable<Schema extends z.ZodType>(received: Received, schema: Schema): z.output<Schema> {
    try {
        return parseBody(received, schema);
    }
    catch (error) {
        throw tableError((error as Error).message);
    }
}

function checkTxn(received: Received): Txn {
    if (received.body.length > maxTxnBytes) {
        throw tableError("etcdserver: request is too large");
    }
    const txn = txnOf(parseTable(received, txnRequest));
    if (Math.max(txn.compares.length, txn.success.length, txn.failure.length) > maxTxnOperations) {
        throw tableError("etcdserver: too many operations in txn request");
    }
    if (duplicateKey(txn.success) !== undefined || duplicateKey(txn.failure) !== undefined) {
        throw tableError("etcdserver: duplicate key given in txn request");
    }
    return txn;
}

function objectAnswer(objects: Map<string, Buffer>, key: string, received: Received): Answer {
    switch (received.method) {
        case "GET": {
            const bytes = objects.get(key);
            return bytes === undefined ?
                { status: 404, body: { error: { message: "no such object" } } }
                : { status: 200, bytes };
        }
        case "PUT":
            objects.set(key, received.body);
            return ok({});
        case "DELETE":
            objects.delete(key);
            return ok({});
    }
    throw new HttpError(405, "the path does not take this method");
}
