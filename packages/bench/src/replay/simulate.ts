import { createPolicy, createRandom, type Job } from "@tamarackgauge/core";
import type { Program } from "../program.ts";
import { callsOf } from "../work.ts";
import { createFakeEngine, type FakeEngine } from "./engine.ts";
import { createEventQueue } from "./eventQueue.ts";
import type { Outcome, Replay } from "./file.ts";

/** Stops a simulation that would run for ever because the policy keeps requesting checks without making progress. */
const maxEvents = 1_000_000;

interface CallPosition {
    readonly program: Program;
    readonly call: number;
}

/** Plays the programs on virtual time with the policy and fake engines. Returns all outcomes in order. */
export function simulate({ header, programs }: Pick<Replay, "header" | "programs">): readonly Outcome[] {
    const { seed, patienceMs, model, policy: name } = header;
    const policy = createPolicy(name, { random: createRandom(seed), settings: { patienceMs } });
    const eventQueue = createEventQueue();
    const engines = new Map<string, FakeEngine>();
    for (let index = 0; index < header.engines; index += 1) {
        engines.set(`e${index}`, createFakeEngine(header));
    }
    const pendingCalls = new Map<string, CallPosition>();
    const outcomes: Outcome[] = [];
    let scheduledCheckAt: number | undefined;

    function recordOutcome(call: string, outcome: Outcome["outcome"]): void {
        // Thousandths are exact enough to show any change, and hide rounding errors of floating point numbers.
        outcomes.push({ type: "outcome", call, outcome, atMs: Math.round(eventQueue.now() * 1_000) / 1_000 });
    }

    function submitCall(position: CallPosition): void {
        const { program, call } = position;
        const step = callsOf(program)[call];
        if (step === undefined) {
            policy.endProgram(program.name, eventQueue.now());
            return;
        }
        if (step.type === "tool") {
            scheduleNextCall(position);
            return;
        }
        const job = createJob(position);
        const refusal = policy.submit(job, eventQueue.now());
        if (refusal !== undefined) {
            recordOutcome(job.id, "refused");
            policy.endProgram(program.name, eventQueue.now());
            return;
        }
        pendingCalls.set(job.id, position);
        assignCalls();
    }

    function scheduleNextCall({ program, call }: CallPosition): void {
        const pauseMs = callsOf(program)[call]?.pauseMs ?? 0;
        eventQueue.schedule(eventQueue.now() + pauseMs, () => submitCall({ program, call: call + 1 }));
    }

    function assignCalls(): void {
        for (const { job, engine, priority } of policy.nextAssignments(eventQueue.now())) {
            engines.get(engine)?.add(job.id, priority, job.newTokens, job.maxTokens);
            startStep(engine);
        }
        const checkAt = policy.nextCheckAt(eventQueue.now());
        if (checkAt !== undefined && (scheduledCheckAt === undefined || checkAt < scheduledCheckAt)) {
            scheduledCheckAt = checkAt;
            eventQueue.schedule(checkAt, () => {
                scheduledCheckAt = undefined;
                assignCalls();
            });
        }
    }

    function startStep(engine: string): void {
        const lengthMs = engines.get(engine)?.beginStep();
        if (lengthMs !== undefined) {
            eventQueue.schedule(eventQueue.now() + lengthMs, () => finishStep(engine));
        }
    }

    function finishStep(engine: string): void {
        for (const { id, isFirst: first, done } of engines.get(engine)?.endStep() ?? []) {
            if (first) {
                recordOutcome(id, "served");
                policy.recordFirstToken(id, eventQueue.now());
            }
            policy.recordTokens(id, 1, eventQueue.now());
            if (done) {
                finishCall(id);
            }
        }
        assignCalls();
        startStep(engine);
    }

    function finishCall(id: string): void {
        const position = pendingCalls.get(id)!;
        pendingCalls.delete(id);
        const { promptTokens, newTokens, maxTokens } = createJob(position);
        const cachedTokens = promptTokens - newTokens;
        policy.finish(id, { outcome: "done", promptTokens, cachedTokens, tokens: maxTokens }, eventQueue.now());
        scheduleNextCall(position);
    }

    const engineList = [...engines.keys()].map(each => ({ name: each, dataCentre: "dc1", models: [model],
        leaving: false })
    );
    policy.setEngines(engineList, 0);
    programs.forEach(program => eventQueue.schedule(program.startMs, () => submitCall({ program, call: 0 })));
    if (!eventQueue.run(maxEvents)) {
        throw new Error(`the replay has not ended after ${maxEvents} events, at ${eventQueue.now()} ms`);
    }
    return outcomes;
}

/** Creates the job of a call. The fake engines cache every prefix, so only new tokens have to be computed. */
function createJob({ program, call }: CallPosition): Job {
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
