import { Agent, request } from "undici";
import { z } from "zod";

const vmSchema = z.object({
    name: z.string().min(1),
    kind: z.enum(["daemon", "engine", "service"]),
    address: z.string(),
    port: z.number().int(),
    dataCentre: z.string(),
    state: z.enum(["live", "leaving"]),
    /** Models that an engine serves. */
    models: z.array(z.string()).optional(),
    /** Whether an engine rejects orders with an outdated fencing token. */
    fenced: z.boolean().optional(),
});

/** A VM as the platform lists it. */
export type Vm = z.infer<typeof vmSchema>;

const vmListSchema = z.object({ version: z.number().int(), vms: z.array(vmSchema) });

/** The platform's list of live and leaving VMs. It lags behind the actual state. */
export type VmList = z.infer<typeof vmListSchema>;

/** Reads the VM list. Throws if the platform does not answer in time or the answer is invalid. */
export type VmSource = () => Promise<VmList>;

const timeoutMs = 1_000;

/** Creates a reader of the VM list over HTTP. */
export function createVmSource(url: string): VmSource & AsyncDisposable {
    const agent = new Agent({ connections: 2, headersTimeout: timeoutMs, bodyTimeout: timeoutMs });
    async function read(): Promise<VmList> {
        const response = await request(`${url}/v1/vms`, { dispatcher: agent, signal: AbortSignal.timeout(timeoutMs) });
        const body = await response.body.json();
        if (response.statusCode !== 200) {
            throw new Error(`status ${response.statusCode}`);
        }
        return vmListSchema.parse(body);
    }
    return Object.assign(read, { [Symbol.asyncDispose]: () => agent.destroy() });
}

/**
 * Returns the list to use from now on. An older list is ignored. So is a list without upstreams after one with
 * upstreams: it means that the platform has lost its data, and the daemons keep using the upstreams they know.
 */
export function acceptVms(current: VmList | undefined, next: VmList): VmList {
    if (current === undefined) {
        return next;
    }
    const older = next.version < current.version;
    const empty = !next.vms.some(entry => entry.kind !== "daemon") &&
        current.vms.some(entry => entry.kind !== "daemon");
    return older || empty ? current : next;
}
