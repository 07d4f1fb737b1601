// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"): rows, conditions, feeds. In memory.
import { createServer } from "node:http";

const maxRows = 500;
const maxCallBytes = 1_048_576;
const maxEntries = 100;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** `txMs` is how long each call takes. */
export function createStore({ txMs = 4 } = {}) {
    const rows = new Map();
    let history = [];
    let ver = 1;
    let compactedVer = 0;
    const wakers = new Set();
    const servers = [];
    const startedAt = performance.now();
    const nowMs = () => Math.round(performance.now() - startedAt);
    const idOf = ({ table, part = "", key }) => `${table}\n${part}\n${key}`;

    function apply({ expectedRevision = [], put = [], remove = [] }) {
        if (expectedRevision.some(row => (rows.get(idOf(row))?.ver ?? 0) !== row.ver)) {
            return { status: 412, body: { rows: expectedRevision.flatMap(row => rows.get(idOf(row)) ?? []), ver, nowMs: nowMs() } };
        }
        ver += 1;
        for (const { table, part = "", key, value } of put) {
            record({ table, part, key, value, ver });
        }
        for (const { table, part = "", key } of remove) {
            record({ table, part, key, value: "", ver, tombstone: true });
        }
        wakers.forEach(wake => wake());
        return { status: 200, body: { ver, nowMs: nowMs() } };
    }

    function record(row) {
        history.push(row);
        if (row.tombstone) {
            rows.delete(idOf(row));
        }
        else {
            rows.set(idOf(row), row);
        }
    }

    function get(query) {
        const [from, to] = [query.get("from") ?? "", query.get("to")];
        const limit = Math.min(maxRows, Number(query.get("limit") ?? maxRows));
        const found = [...rows.values()]
            .filter(({ table, part, key }) => table === query.get("table") && part === (query.get("part") ?? "") &&
                Buffer.compare(Buffer.from(key), Buffer.from(from)) >= 0 &&
                (to === null || Buffer.compare(Buffer.from(key), Buffer.from(to)) < 0))
            .sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
        const page = [];
        let bytes = 0;
        for (const row of found.slice(0, limit)) {
            bytes += row.value.length;
            if (bytes > maxCallBytes && page.length > 0) {
                break;
            }
            page.push(row);
        }
        return { rows: page, hasMore: page.length < found.length, ver, nowMs: nowMs() };
    }

    async function feed(query) {
        const after = Number(query.get("after"));
        const deadline = nowMs() + Math.min(30_000, Number(query.get("waitMs") ?? 0));
        const changes = () => history.filter(row => row.table === query.get("table") && row.ver > after);
        while (after >= compactedVer && changes().length === 0 && nowMs() < deadline) {
            await new Promise(resolve => {
                const timer = setTimeout(wake, deadline - nowMs());
                function wake() {
                    clearTimeout(timer);
                    wakers.delete(wake);
                    resolve();
                }
                wakers.add(wake);
            });
        }
        return after < compactedVer ? { status: 410, body: {} } : { status: 200, body: { rows: changes(), ver, nowMs: nowMs() } };
    }

    async function answer(method, url, body, translate) {
        const { pathname, searchParams } = new URL(url, "http://store");
        const shown = page => page.rows === undefined ? page : { ...page, rows: page.rows.map(translate) };
        switch (`${method} ${pathname}`) {
            case "GET /tamarackgauge/rows-get":
                await sleep(txMs);
                return { status: 200, body: shown(get(searchParams)) };
            case "GET /tamarackgauge/rows-feed": {
                const result = await feed(searchParams);
                return { ...result, body: shown(result.body) };
            }
            case "POST /tamarackgauge/rows-tx": {
                const change = JSON.parse(body.toString());
                const entries = (change.put ?? []).length + (change.remove ?? []).length + (change.expectedRevision ?? []).length;
                if (body.length > maxCallBytes || entries > maxEntries) {
                    return { status: 413, body: {} };
                }
                const tooLong = [...change.put ?? [], ...change.expectedRevision ?? []]
                    .some(({ table, part = "", key }) => [table, part, key].some(text => Buffer.byteLength(text) > 200));
                if (tooLong) {
                    return { status: 400, body: {} };
                }
                await sleep(txMs);
                return apply(change);
            }
        }
        return { status: 404, body: {} };
    }

    /**
     * Opens a listener. `translate` changes the rows that its callers see: an engine may have another address for one machine
     * than for another, as behind a port mapping. `fault` may return "drop" (no effect, connection closed), "lost" (done, not
     * answered), "silent" or { lateMs }, by the call.
     */
    async function listen({ host = "127.0.0.1", port = 0, translate = row => row, fault = () => undefined } = {}) {
        const server = createServer((request, response) => {
            const chunks = [];
            request.on("error", () => undefined);
            response.on("error", () => undefined);
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", async () => {
                const body = Buffer.concat(chunks);
                const mode = fault({ method: request.method, url: request.url, body });
                if (mode === "drop") {
                    request.socket.destroy();
                    return;
                }
                if (mode === "silent") {
                    return;
                }
                const result = await answer(request.method, request.url, body, translate);
                if (mode === "lost") {
                    request.socket.destroy();
                    return;
                }
                const text = JSON.stringify(result.body);
                response.writeHead(result.status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
                response.end(text);
            });
        });
        server.keepAliveTimeout = 60_000;
        await new Promise(resolve => server.listen(port, host, resolve));
        servers.push(server);
        return { address: `${host}:${server.address().port}`, server };
    }

    return {
        listen,
        put: (table, key, value) => apply({ put: [{ table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64") }] }),
        remove: (table, key) => apply({ remove: [{ table, part: "", key }] }),
        rows: table => [...rows.values()].filter(row => row.table === table),
        close: () => servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        }),
    };
}
