import { z } from "zod";

/** Body of `/v1/orders`. For `role`, the role is in `role` or, without it, in `model`. */
export const order = z.object({
    fence: z.number().int().nonnegative(),
    action: z.enum(["load", "unload", "role"]),
    model: z.string().default(""),
    role: z.string().optional(),
});

/** The state that orders change. */
export interface OrderState {
    /** Highest fencing token seen. */
    readonly fence: number;
    /** Loaded models; undefined when the engine serves any model. */
    readonly models?: readonly string[];
    readonly loading: readonly string[];
    readonly role: string;
}

/** Carries out orders. */
export interface Orders {
    /** Carries out an order; a fenced engine refuses an old fencing token and returns false. */
    execute(requested: z.infer<typeof order>): boolean;
    state(): OrderState;
    serves(model: string): boolean;
}

/**
 * Creates the state that orders change. Without `models`, any model is served until a model has been loaded or unloaded
 * by an order. Loading takes `loadMs`.
 */
export function createOrders(models: readonly string[] | undefined, fenced: boolean, loadMs: number): Orders {
    let loaded = models;
    let loading: readonly string[] = [];
    let role = "both";
    let fence = 0;

    function load(model: string): void {
        if (loaded?.includes(model) === true || loading.includes(model)) {
            return;
        }
        loading = [...loading, model];
        setTimeout(() => {
            // An unload order in the meantime cancels the loading.
            if (loading.includes(model)) {
                loading = loading.filter(other => other !== model);
                loaded = [...loaded ?? [], model];
            }
        }, loadMs).unref();
    }

    function unload(model: string): void {
        loading = loading.filter(other => other !== model);
        loaded = (loaded ?? []).filter(other => other !== model);
    }

    return {
        execute(requested) {
            if (fenced && requested.fence < fence) {
                return false;
            }
            fence = Math.max(fence, requested.fence);
            switch (requested.action) {
                case "load":
                    load(requested.model);
                    break;
                case "unload":
                    unload(requested.model);
                    break;
                case "role":
                    role = requested.role ?? requested.model;
                    break;
            }
            return true;
        },
        state: () => ({ fence, models: loaded, loading, role }),
        serves: model => loaded?.includes(model) ?? true,
    };
}
