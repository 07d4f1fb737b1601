// A client of the platform (PROTOCOL.md, "Requests" and "Answers").
import { randomBytes } from "node:crypto";
import { request } from "node:http";

export const newId = () => randomBytes(8).toString("hex");

/** Sends one client attempt on a new connection. Resolves with what the client has got; never rejects. */
export function send({ host = "127.0.0.1", port }, { method = "POST", path, id = newId(), headers = {}, body, deadlineMs = 3_000 }) {
    return new Promise(resolve => {
        const chunks = [];
        const ended = extra => {
            clearTimeout(timer);
            resolve({ id, status: 0, headers: {}, complete: false, ...extra, body: Buffer.concat(chunks) });
        };
        const outgoing = request({ host, port, method, path, agent: false,
            headers: { host: "app.example", "x-request-id": id, "x-deadline-ms": String(deadlineMs), ...headers,
                ...body === undefined ? {} : { "content-length": Buffer.byteLength(body) } } }, response => {
            const got = () => ({ status: response.statusCode, headers: response.headers, complete: response.complete });
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => ended(got()));
            response.on("error", () => ended(got()));
        });
        const timer = setTimeout(() => outgoing.destroy(new Error("deadline")), deadlineMs + 500);
        outgoing.on("error", error => ended({ error: error.message }));
        outgoing.end(body);
    });
}
