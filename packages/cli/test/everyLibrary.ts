// Entry point of a test build that uses every library of the executable once.
import { command, run } from "cmd-ts";
import debug from "debug";
import fc from "fast-check";
import { build as histogram } from "hdr-histogram-js";
import { of } from "most";
import { pack, unpack } from "msgpackr";
import { Registry } from "prom-client";
import { Right } from "purify-ts";
import { Agent } from "undici";
import { WebSocketServer } from "ws";
import { z } from "zod";

const log = debug("tamarackgauge:trial");

async function useLibraries(): Promise<void> {
    log("started");
    const recorder = histogram();
    recorder.recordValue(7);
    const server = new WebSocketServer({ noServer: true });
    server.close();
    const agent = new Agent();
    await agent.close();
    await of(1).drain();
    const values = unpack(pack({ right: Right(1).extract(), maximum: recorder.maxValue })) as unknown;
    const checked = z.object({ right: z.literal(1), maximum: z.literal(7) }).parse(values);
    fc.assert(fc.property(fc.integer(), Number.isInteger));
    const metrics = await new Registry().metrics();
    console.log(JSON.stringify({ ...checked, metrics: typeof metrics }));
}

void run(command({ name: "trial", args: {}, handler: useLibraries }), process.argv.slice(2));
