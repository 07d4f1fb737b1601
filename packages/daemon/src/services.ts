import type { Vm } from "@tamarackgauge/table";
import { createServiceClient, ServiceError } from "@tamarackgauge/upstream";
import type { ServiceAnswer, ServiceCall, ServiceClient } from "@tamarackgauge/upstream";

/** Routes calls to plain services. */
export interface Services {
    setVms(vms: readonly Vm[]): void;
    has(service: string): boolean;
    /** Sends a call to one live instance, without retry; throws a `ServiceError`. */
    call(service: string, call: ServiceCall,
        signal: AbortSignal): Promise<{ answer: ServiceAnswer; upstream: string; }>;
    [Symbol.asyncDispose](): Promise<void>;
}

interface Instance {
    readonly vm: Vm;
    readonly client: ServiceClient;
    inFlight: number;
    /** Monotonic time of the last failed call, in milliseconds. */
    lastFailureAt: number;
}

/** After a failed call, an instance is chosen only as a last resort for this time. */
const failurePenaltyMs = 2_000;

/** Creates the router. An instance serves the service that its VM is named after and those that its VM lists. */
export function createServices(): Services {
    const instances = new Map<string, Instance>();

    function setVms(vms: readonly Vm[]): void {
        const listed = new Map(vms.filter(vm => vm.kind === "service").map(vm => [vm.name, vm]));
        for (const [name, instance] of instances) {
            if (!listed.has(name)) {
                instances.delete(name);
                void closeWhenIdle(instance);
            }
        }
        for (const [name, vm] of listed) {
            const known = instances.get(name);
            const hasSameAddress = known !== undefined && known.vm.address === vm.address && known.vm.port === vm.port;
            instances.set(name, {
                vm,
                client: hasSameAddress ? known.client : createServiceClient(`http://${vm.address}:${vm.port}`),
                inFlight: known?.inFlight ?? 0,
                lastFailureAt: known?.lastFailureAt ?? -Infinity,
            });
        }
    }

    function candidates(service: string): readonly Instance[] {
        return [...instances.values()].filter(({ vm }) =>
            vm.state === "live" && (vm.name === service || vm.models?.includes(service) === true)
        );
    }

    async function call(service: string, serviceCall: ServiceCall, signal: AbortSignal) {
        const now = performance.now();
        const rankOf = (instance: Instance) =>
            instance.inFlight + (now - instance.lastFailureAt < failurePenaltyMs ? 1_000 : 0);
        const chosen = candidates(service).toSorted((left, right) => rankOf(left) - rankOf(right))[0];
        if (chosen === undefined) {
            throw new ServiceError(`no live instance of ${service}`, false);
        }
        chosen.inFlight += 1;
        try {
            return { answer: await chosen.client.call(serviceCall, signal), upstream: chosen.vm.name };
        }
        catch (error) {
            chosen.lastFailureAt = performance.now();
            throw error;
        }
        finally {
            chosen.inFlight -= 1;
        }
    }

    return {
        setVms,
        has: service => candidates(service).length > 0,
        call,
        [Symbol.asyncDispose]: async () => {
            await Promise.all([...instances.values()].map(instance => instance.client[Symbol.asyncDispose]()));
        },
    };
}

const idleCheckIntervalMs = 1_000;

/** Closes an instance that has left the list once its calls in flight have finished. */
async function closeWhenIdle(instance: Instance): Promise<void> {
    while (instance.inFlight > 0) {
        await new Promise(resolve => setTimeout(resolve, idleCheckIntervalMs).unref());
    }
    await instance.client[Symbol.asyncDispose]();
}
