// A sample agent that guides the rider of a dune buggy through a liability waiver. To run it against daemons:
// TAMARACKGAUGE_KEY=... node --import tsx examples/waiver.ts --daemon http://127.0.0.1:8080 [--daemon ...]
import { randomUUID } from "node:crypto";
import { pathToFileURL } from "node:url";
import { parseArgs } from "node:util";
import { type Client, createClient } from "./client.ts";

/** Settings of one walk through the waiver. */
export interface WalkOptions {
    readonly daemons: readonly string[];
    readonly key: string;
    readonly program: string;
    /** `waiver` talks to the rider; `claims` answers the sub-agent's questions about past claims. */
    readonly models: { readonly waiver: string; readonly claims: string; };
    /** Service that stores the signature. */
    readonly service: string;
    readonly onStep?: (title: string) => void;
    readonly onText?: (text: string) => void;
    readonly onRetry?: (reason: string, daemon: string) => void;
}

/** One step of the walk and its answer. */
export interface Step {
    readonly title: string;
    readonly answer: string;
}

const instructions = "You walk a rider through the waiver of a dune buggy hire, one clause at a time. "
    + "Answer in the language of the rider.";

/** Guides one rider through the waiver and returns all answers. Throws RefusedError if a step is refused finally. */
export async function walkThroughWaiver(options: WalkOptions): Promise<Step[]> {
    const { models, service, onStep } = options;
    const steps: Step[] = [];
    const client = createClient(options);
    const step = async (title: string, answer: () => Promise<string>) => {
        onStep?.(title);
        steps.push({ title, answer: await answer() });
        return steps.at(-1)!.answer;
    };
    const ask = (client: Client, content: string) => client.complete(models.waiver, [{ role: "user", content }]);
    try {
        await step("greeting", () =>
            client.complete(models.waiver, [
                { role: "system", content: instructions },
                { role: "user", content: "Guten Tag, ich möchte morgen einen Buggy mieten." },
            ]));
        await step("question", () => ask(client, "Darf mein Sohn mit zwölf Jahren mitfahren?"));
        const claims = await step("past claims (sub-agent)", () => askAboutClaims(options));
        await step("clause on damage", () => ask(client, `Zu früheren Schäden: ${claims}\nWas haftet mir an?`));
        // At most once, because a repeated call would sign a second contract.
        await step("signature", () =>
            client.callTool(service, "sign", { rider: "rider 17", waiver: "2026-12" }, { atMostOnce: true }));
        await step("farewell", () =>
            client.complete(models.waiver, [{ role: "user", content: "Danke, ich habe unterschrieben." }], {
                end: true,
            }));
        return steps;
    }
    finally {
        await client.close();
    }
}

/** Runs a sub-agent: a separate program that names its parent. */
async function askAboutClaims({ program, models, ...options }: WalkOptions): Promise<string> {
    const client = createClient({ ...options, program: `${program}-claims`, parent: program });
    try {
        const content = "How many claims did riders make last season for a broken roll bar?";
        return await client.complete(models.claims, [{ role: "user", content }], { end: true });
    }
    finally {
        await client.close();
    }
}

async function main(): Promise<void> {
    const { values } = parseArgs({
        options: {
            daemon: { type: "string", multiple: true, default: ["http://127.0.0.1:8080"] },
            model: { type: "string", default: "waiver" },
            claims: { type: "string", default: "claims" },
            service: { type: "string", default: "signatures" },
        },
    });
    await walkThroughWaiver({
        daemons: values.daemon,
        key: process.env["TAMARACKGAUGE_KEY"] ?? "",
        program: `waiver-${randomUUID()}`,
        models: { waiver: values.model, claims: values.claims },
        service: values.service,
        onStep: title => console.log(`\n${title}`),
        onText: text => process.stdout.write(text),
        onRetry: (reason, daemon) => console.log(`\nretry at ${daemon}: ${reason}`),
    });
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) {
    await main();
}
