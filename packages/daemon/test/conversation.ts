import assert from "node:assert/strict";
import type { TestAnswer, TestCall } from "./client.ts";
import type { Cluster, DaemonProcess } from "./cluster.ts";

/** The answer of an engine when nothing fails, which depends only on the program and its messages. */
export async function answerWithoutFaults(cluster: Cluster, programKey: string, messages: readonly object[],
    maxTokens = 64): Promise<string> {
    const response = await fetch(`${cluster.engines[0]?.url}/v1/chat/completions`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ model: "model", messages, max_tokens: maxTokens, cache_salt: programKey }),
    });
    const body = await response.json() as { choices: { message: { content: string; }; }[]; };
    return body.choices[0]?.message.content ?? "";
}

/** The caller's side of a conversation. It compares each answer with the one that an engine returns without faults. */
export function createConversation(cluster: Cluster, program: string, plan = "plan") {
    const history: object[] = [];
    let sequence = 0;
    let seal = "";

    async function sendMessage(daemon: DaemonProcess, content: string,
        overrides: Partial<TestCall> = {}): Promise<TestAnswer> {
        const call = { program, plan, request: `r${sequence}`, sequence, content, ...overrides };
        const answer = await daemon.client.call(call);
        if (answer.done) {
            const user = { role: "user", content };
            assert.equal(answer.text,
                await answerWithoutFaults(cluster, `${plan}/${program}`, [...history, user], call.maxTokens));
            history.push(user, { role: "assistant", content: answer.text });
            seal = answer.seal ?? "";
            sequence += 1;
        }
        return answer;
    }

    return { sendMessage, history, seal: () => seal };
}
