// One of eight servers fails a few reads, writes a few of these answers a second time, late, and sheds a few requests. Orders run twice.
import net from "node:net";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { configuration, nowMs, runCase, send, Server, sleep, Store } from "../common-3/harness.mjs";

const folder = path.dirname(fileURLToPath(import.meta.url));
const serverCount = 8;
const key = 7;
const windowCount = 4;
/** Length of a window with the disruptions, and of the calm before it. The site file has 5 s for `garble` with `extra late`. */
const windowMs = 5_000;
const calmMs = 4_000;
const playMs = windowCount * (calmMs + windowMs);
const orderEachMs = 10;
const readEachMs = 500;
const workMs = 10;
/** Time for which a request that is shed has been in the server's queue. */
const queueMs = 40;

/** A server that holds keys, and answers one request at a time on a connection, in order. */
class ScriptedServer extends Server {
    /** Ids of the reads that it fails, by the number of their arrivals so far; empty at a sound server. */
    failing = new Map();
    counts = { answers: 0, failed: 0, repeated: 0, shed: 0 };
    /** True within a window with the disruptions. */
    isFaulty = false;

    constructor(options, record) {
        super(options);
        this.record = record;
    }

    async start() {
        this.born = Date.now();
        this.sockets = new Set();
        this.server = net.createServer((socket) => this.serve(socket));
        await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.isUp = true;
        this.sequence = 0;
        this.beat();
        this.timer = setInterval(() => this.beat(), 500);
        return this;
    }

    crash() {
        this.isUp = false;
        clearInterval(this.timer);
        this.server.close();
        this.sockets.forEach((socket) => socket.destroy());
    }

    serve(socket) {
        this.sockets.add(socket);
        this.connectionCount = (this.connectionCount ?? 0) + 1;
        const connection = { socket, number: this.connectionCount, lastFailure: undefined };
        let input = Buffer.alloc(0);
        let isBusy = false;
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        const next = async () => {
            const headEnd = input.indexOf("\r\n\r\n");
            const head = input.toString("latin1", 0, Math.max(0, headEnd));
            const bodyBytes = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
            if (isBusy || headEnd < 0 || input.length < headEnd + 4 + bodyBytes) {
                return;
            }
            isBusy = true;
            const body = input.toString("latin1", headEnd + 4, headEnd + 4 + bodyBytes);
            input = input.subarray(headEnd + 4 + bodyBytes);
            await this.answer(connection, head, body);
            isBusy = false;
            void next();
        };
        socket.on("data", (bytes) => {
            input = Buffer.concat([input, bytes]);
            void next();
        });
    }

    async answer(connection, head, body) {
        const { socket } = connection;
        const [method, target] = head.split(" ", 2);
        const fieldOf = (name) => new RegExp(`^${name}: (.*)$`, "im").exec(head)?.[1];
        const id = fieldOf("request-id");
        if (target === "/hornbeamswitch/grant") {
            socket.write(`HTTP/1.1 ${this.grant(JSON.parse(body), nowMs())} Grant\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        if (target === "/hornbeamswitch/release") {
            const { start_from: from, to } = JSON.parse(body);
            this.heldUntilMs.fill(0, from, to + 1);
            await this.idleOn(from, to);
            socket.write(`HTTP/1.1 200 OK\r\nHandover: h${from}-${to}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        if (target === "/health") {
            socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        if (fieldOf("target-instance") !== this.id || !this.holds(Number(fieldOf("shard-key")))) {
            socket.write(`HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        this.counts.answers += this.isFaulty ? 1 : 0;
        const arrivals = this.isFaulty ? this.failing.get(id) : undefined;
        if (arrivals !== undefined) {
            this.failing.set(id, arrivals + 1);
            if (arrivals === 0) {
                this.failRead(connection, id);
                return;
            }
            if (arrivals === 1) {
                await this.repeatAndShed(connection, id);
                return;
            }
        }
        const run = { id, key, method, startedMs: nowMs(), connection: connection.number };
        this.runs.push(run);
        this.running.add(run);
        await sleep(workMs);
        this.running.delete(run);
        this.releases.splice(0).forEach((check) => check());
        const content = `answer to ${id}`;
        socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: s.${id}\r\nContent-Length: ${content.length}\r\n\r\n${content}`);
    }

    /** The first arrival of a read fails: it has run, and its answer is the server's own 500. */
    failRead(connection, id) {
        this.counts.failed += 1;
        this.runs.push({ id, key, method: "GET", startedMs: nowMs(), connection: connection.number });
        connection.lastFailure = `HTTP/1.1 500 Failed\r\nRequest-Id: ${id}\r\nResponse-Signature: s.${id}\r\nContent-Length: 6\r\n\r\nfailed`;
        connection.socket.write(connection.lastFailure);
        this.record.line(`connection ${connection.number}: read ${id} answered 500`);
    }

    /** At the second arrival the earlier answer is written once more, late; the request itself waits in the queue, and is shed. */
    async repeatAndShed(connection, id) {
        if (connection.lastFailure?.includes(`Request-Id: ${id}\r\n`) === true) {
            this.counts.repeated += 1;
            connection.socket.write(connection.lastFailure);
            this.record.line(`connection ${connection.number}: read ${id} is here again; the 500 is written once more, late`);
        }
        this.counts.shed += 1;
        await sleep(queueMs);
        connection.socket.write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        this.record.line(`connection ${connection.number}: read ${id} is shed: 503, Not-Executed`);
    }
}

await runCase(folder, async (scene) => {
    const { record, hasTrouble } = scene;
    const store = scene.store = await new Store().start();
    store.put("keyed.op", "config", configuration(1));
    for (let index = 0; index < serverCount; index += 1) {
        scene.servers.push(await new ScriptedServer({ id: `s${index}`, service: "keyed", store, slots: 3 }, record).start());
    }
    const host = scene.host("h0", store.address).start();
    await scene.waitUntil("the host is ready", () => host.isReady());
    const holder = () => scene.servers.find((server) => server.holds(key));
    await scene.waitUntil("the key has an owner", () => holder() !== undefined);
    const faulty = holder();
    record.line(`${faulty.id} holds key ${key}; it is the one that ${hasTrouble ? "fails" : "would fail"}`);

    const orders = [];
    const reads = [];
    let count = 0;
    const startMs = nowMs();
    const untilMs = startMs + playMs;
    const isInWindow = () => (nowMs() - startMs) % (calmMs + windowMs) >= calmMs;
    const sendReads = async () => {
        while (nowMs() < untilMs) {
            const id = `read-${count += 1}`;
            if (hasTrouble && faulty.isFaulty) {
                faulty.failing.set(id, 0);
            }
            reads.push(send(host, { path: "/read/a", key, id }));
            await sleep(readEachMs);
        }
    };
    const sendOrders = async () => {
        while (nowMs() < untilMs) {
            orders.push(send(host, { method: "POST", path: "/order/a", key, id: `order-${count += 1}`, body: "{}" }));
            await sleep(orderEachMs);
        }
    };
    const playWindows = async () => {
        while (nowMs() < untilMs) {
            const isFaulty = hasTrouble && isInWindow();
            if (isFaulty !== faulty.isFaulty) {
                faulty.isFaulty = isFaulty;
                record.line(isFaulty ? "a window with the disruptions begins" : "the window ends");
            }
            await sleep(5);
        }
        faulty.isFaulty = false;
    };
    await Promise.all([sendReads(), sendOrders(), playWindows()]);
    const answers = await Promise.all(orders);
    const readAnswers = await Promise.all(reads);
    await sleep(500);

    const allRuns = scene.servers.flatMap((server) => server.runs.map((run) => ({ ...run, server: server.id })));
    const runsOf = (id) => allRuns.filter((run) => run.id === id);
    const describe = (id) => runsOf(id).map((run) => `${run.server} by connection ${run.connection}`).join(" and ");
    const twice = answers.filter(({ id }) => runsOf(id).length > 1);
    const untrue = answers.filter(({ id, status }) => [408, 421, 429, 503].includes(status) && runsOf(id).length > 0);
    [...readAnswers, ...answers].forEach(({ id, sentMs, status }) => {
        record.line(`${id}: sent at ${((sentMs - record.startMs) / 1_000).toFixed(3)}, answered ${status}, run: ${describe(id) || "not"}`);
    });
    twice.forEach(({ id, status }) => record.line(`TWICE: ${id} has run on ${describe(id)}; answered ${status}`));
    untrue.forEach(({ id, status }) => record.line(`REFUSED: ${id} has run on ${describe(id)}; answered ${status}`));
    const countByStatus = {};
    answers.forEach(({ status }) => {
        countByStatus[status] = (countByStatus[status] ?? 0) + 1;
    });
    record.line(`${faulty.id} in the windows: ${JSON.stringify(faulty.counts)}`);
    record.line(`orders by status: ${JSON.stringify(countByStatus)}; run twice: ${twice.length}; refused and run: ${untrue.length}`);
    return twice.length + untrue.length > 0;
});
