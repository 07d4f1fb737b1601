import assert from "node:assert/strict";
import { request } from "node:http";
import { test } from "node:test";
import { openCallerServer } from "../src/callerServer.ts";
import { createProcessLog } from "../src/processLog.ts";
import { freeAddress } from "./harness.ts";

test("requests that arrive before they can be handled are answered later (guards against callers refused while a process loads)", async () => {
    const address = await freeAddress();
    const callerServer = await openCallerServer(() => address, createProcessLog());
    const { server } = callerServer;
    const statuses = Array.from({ length: 3 }, () =>
        new Promise(resolve => {
            request({ ...address, agent: false }, response => {
                response.resume();
                resolve(response.statusCode);
            }).end();
        }));
    await new Promise(resolve => server.once("request", resolve));
    callerServer.setListener((_, response) => response.writeHead(204).end());
    assert.deepEqual(await Promise.all(statuses), [204, 204, 204]);
    server.closeAllConnections();
    server.close();
});
