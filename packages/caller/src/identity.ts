import { bearerKey, type Configuration, configurationIndexOf, equalHashes, hashKey, type Refusal,
    refuse } from "@tamarackgauge/core";
import { type Either, Left, Right } from "purify-ts";

/** Compared with the key's hash if no plan has the key, so that known and unknown keys take the same time. */
const placeholderHash = "0".repeat(64);

/**
 * Returns the name of the plan that the bearer key belongs to. All unknown keys get the same refusal. The lookup uses
 * the SHA-256 of the key, so its duration does not reveal how much of a guessed key is correct.
 */
export function authenticate(
    configuration: Configuration | undefined,
    authorization: string | undefined,
): Either<Refusal, string> {
    if (configuration === undefined) {
        return Left(refuse("configuration_stale", "notRun", undefined, 1000));
    }
    const hash = hashKey(bearerKey(authorization) ?? "");
    const plan = configurationIndexOf(configuration).planByKeyHash(hash);
    const stored = plan?.keys.find(each => equalHashes(each, hash)) ?? placeholderHash;
    return plan !== undefined && equalHashes(stored, hash) ? Right(plan.name) : Left(refuse("key_rejected", "notRun"));
}

/** Refuses a model or service that the plan is not allowed to use. */
export function authorize(
    configuration: Configuration,
    plan: string,
    kind: "model" | "tool",
    name: string,
): Either<Refusal, void> {
    const directory = configurationIndexOf(configuration);
    if (kind === "model") {
        const allowed = directory.mayUseModel(plan, name);
        return allowed ? Right(undefined) : Left(refuse("model_not_allowed", "notRun"));
    }
    return directory.mayUseService(plan, name) ? Right(undefined) : Left(refuse("service_not_allowed", "notRun"));
}
