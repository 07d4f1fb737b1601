import { z } from "zod";
import { HttpError } from "./listener.ts";

/** A VM of the platform's list. */
export const vm = z.object({
    name: z.string().min(1),
    kind: z.enum(["daemon", "engine", "service"]),
    address: z.string(),
    port: z.number().int().min(1).max(65_535),
    dataCentre: z.string(),
    state: z.enum(["live", "leaving"]).default("live"),
    models: z.array(z.string()).optional(),
    /** Whether an engine refuses orders with an old fencing token. */
    fenced: z.boolean().optional(),
});

/** A VM of the platform's list. */
export type Vm = z.input<typeof vm>;

/** Changes to a VM; omitted fields keep their values. */
export const vmChanges = vm.extend({ state: z.enum(["live", "leaving"]) }).partial();

/** A version of the list. */
export interface VmList {
    readonly version: number;
    readonly vms: readonly z.output<typeof vm>[];
}

/** The VM list, which clients see with a lag. */
export interface Vms {
    /** The list as clients see it at `now` (milliseconds). */
    visible(now: number): VmList;
    /** The list without lag. */
    latest(): VmList;
    replace(vms: readonly Vm[], now: number): void;
    /** Changes one VM; throws `HttpError` 404 when it is not listed. */
    change(name: string, changes: Partial<Vm>, now: number): void;
    /** Removes one VM; throws `HttpError` 404 when it is not listed. */
    remove(name: string, now: number): void;
    /** Milliseconds until a change is visible. */
    setLag(ms: number): void;
}

/** Creates a list with `initial` as version 1, which is visible at once. */
export function createVms(initial: readonly Vm[], initialLagMs: number): Vms {
    let lagMs = initialLagMs;
    let history: { readonly at: number; readonly list: VmList; }[] = [
        { at: -Infinity, list: { version: 1, vms: z.array(vm).parse(initial) } },
    ];

    const latest = (): VmList => history.at(-1)!.list;

    function visible(now: number): VmList {
        const visibleIndex = history.findLastIndex(entry => entry.at <= now - lagMs);
        return history[Math.max(0, visibleIndex)]!.list;
    }

    function replace(vms: readonly Vm[], now: number): void {
        const list = { version: latest().version + 1, vms: z.array(vm).parse(vms) };
        history = [...history.slice(-999), { at: now, list }];
    }

    function indexOf(name: string): number {
        const index = latest().vms.findIndex(entry => entry.name === name);
        if (index < 0) {
            throw new HttpError(404, `no VM is named ${name}`);
        }
        return index;
    }

    return {
        visible,
        latest,
        replace,
        change(name, changes, now) {
            const index = indexOf(name);
            replace(latest().vms.with(index, vm.parse({ ...latest().vms[index], ...changes })), now);
        },
        remove(name, now) {
            replace(latest().vms.toSpliced(indexOf(name), 1), now);
        },
        setLag(ms) {
            lagMs = ms;
        },
    };
}
