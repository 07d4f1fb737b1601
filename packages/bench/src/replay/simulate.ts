import { createPolicy, createRandom, type Job } from "@tamarackgauge/core";
import type { Program } from "../program.ts";
import { callsOf } from "../work.ts";
import { createFakeEngine, type FakeEngine } from "./engine.ts";
import type { Outcome, Replay } from "./file.ts";
import { createTimetable } from "./eventQueue.ts";

/** A policy that keeps asking to be woken without progress would otherwise run for ever. */
const mostEvents = 1_000_000;

interface Place {
    readonly program: Program;
    readonly call: number;
}

/** Plays the programs on virtual time before the policy and fake engines. Gives every outcome in order. */
export function simulate({ header, programs }: Pick<Replay, "header" | "programs">): readonly Outcome[] {
    const { seed, patienceMs, model, policy: name } = header;
    const policy = createPolicy(name, { random: createRandom(seed), settings: { patienceMs } });
    const timetable = createTimetable();
    const engines = new Map<string, FakeEngine>();
    for (let index = 0; index < header.engines; index += 1) {
        engines.set(`e${index}`, createFakeEngine(header));
    }
    const places = new Map<string, Place>();
    const outcomes: Outcome[] = [];
    let wakeAt: number | undefined;

    function note(call: string, outcome: Outcome["outcome"]): void {
        // Thousandths are exact enough to see any change and free of rounding in the last digits.
        outcomes.push({ type: "outcome", call, outcome, atMs: Math.round(timetable.now() * 1_000) / 1_000 });
    }

    function submit(place: Place): void {
        const { program, call } = place;
        const step = callsOf(program)[call];
        if (step === undefined) {
            policy.endProgram(program.name, timetable.now());
            return;
        }
        if (step.type === "tool") {
            next(place);
            return;
        }
        const job = jobOf(place);
        const refusal = policy.submit(job, timetable.now());
        if (refusal !== undefined) {
            note(job.id, "refused");
            policy.endProgram(program.name, timetable.now());
            return;
        }
        places.set(job.id, place);
        pump();
    }

    function next({ program, call }: Place): void {
        const pauseMs = callsOf(program)[call]?.pauseMs ?? 0;
        timetable.at(timetable.now() + pauseMs, () => submit({ program, call: call + 1 }));
    }

    function pump(): void {
        for (const { job, engine, priority } of policy.nextAssignments(timetable.now())) {
            engines.get(engine)?.add(job.id, priority, job.newTokens, job.maxTokens);
            step(engine);
        }
        const wake = policy.nextCheckAt(timetable.now());
        if (wake !== undefined && (wakeAt === undefined || wake < wakeAt)) {
            wakeAt = wake;
            timetable.at(wake, () => {
                wakeAt = undefined;
                pump();
            });
        }
    }

    function step(engine: string): void {
        const lengthMs = engines.get(engine)?.begin();
        if (lengthMs !== undefined) {
            timetable.at(timetable.now() + lengthMs, () => finishStep(engine));
        }
    }

    function finishStep(engine: string): void {
        for (const { id, first, done } of engines.get(engine)?.end() ?? []) {
            if (first) {
                note(id, "served");
                policy.recordFirstToken(id, timetable.now());
            }
            policy.recordTokens(id, 1, timetable.now());
            if (done) {
                finishCall(id);
            }
        }
        pump();
        step(engine);
    }

    function finishCall(id: string): void {
        const place = places.get(id)!;
        places.delete(id);
        const { promptTokens, newTokens, maxTokens } = jobOf(place);
        const cachedTokens = promptTokens - newTokens;
        policy.finish(id, { outcome: "done", promptTokens, cachedTokens, tokens: maxTokens }, timetable.now());
        next(place);
    }

    const list = [...engines.keys()].map(each => ({ name: each, dataCentre: "dc1", models: [model], leaving: false }));
    policy.setEngines(list, 0);
    programs.forEach(program => timetable.at(program.startMs, () => submit({ program, call: 0 })));
    if (!timetable.run(mostEvents)) {
        throw new Error(`the replay has not ended after ${mostEvents} events, at ${timetable.now()} ms`);
    }
    return outcomes;
}

/** The job of a call. The fake engines keep every prefix, so only the new tokens are computed. */
function jobOf({ program, call }: Place): Job {
    const steps = callsOf(program);
    const history = steps.slice(0, call).reduce(
        (sum, step) => step.type === "model" ? sum + step.promptTokens + step.outputTokens : sum,
        0,
    );
    const step = steps[call];
    if (step?.type !== "model") {
        throw new Error(`call ${call} of ${program.name} is not a model turn`);
    }
    return {
        id: `${program.name}#${call}`,
        plan: program.plan,
        program: program.name,
        root: program.name,
        model: step.model,
        promptTokens: history + step.promptTokens,
        newTokens: step.promptTokens,
        maxTokens: step.outputTokens,
        firstCall: call === 0,
        repeatable: true,
        excluded: [],
    };
}
