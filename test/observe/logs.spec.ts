import { closeSync, mkdtempSync, openSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { spawn } from "node:child_process";
import { expect } from "chai";
import { createLogger } from "../../src/observe/logger.js";
import { createLogWriter } from "../../src/observe/logWriter.js";
import { createMetrics } from "../../src/observe/metrics.js";
import { VirtualClock } from "../support/virtualTime.js";

describe("log", () => {
    it("writes one JSON object per line, with the component's name as prefix and the host", () => {
        const lines: string[] = [];
        const writer = { write: (line: string) => lines.push(line), flush: () => Promise.resolve(), dropped: 0 };
        const log = createLogger({ program: "hornbeam-host", host: "h1", level: "info" }, writer, new VirtualClock())("store");
        log.warn("append failed", { end: 4 });
        expect(JSON.parse(lines[0] ?? "")).to.include({ name: "hornbeam-host", hostname: "h1", msg: "store: append failed", end: 4 });
    });

    it("limits the lines per second of one event and logs the number of suppressed lines", async () => {
        const lines: string[] = [];
        const writer = { write: (line: string) => lines.push(line), flush: () => Promise.resolve(), dropped: 0 };
        const clock = new VirtualClock();
        const log = createLogger({ program: "p", host: "h", level: "info" }, writer, clock)("request");
        for (let count = 0; count < 1_000; count++) {
            log.info("answered");
        }
        log.info("refused");
        expect(lines).to.have.length.within(50, 201);
        expect(lines.at(-1)).to.include("request: refused");
        await clock.advance(1_000);
        log.info("answered");
        expect(lines.some((line) => line.includes("lines suppressed by the rate limit") && /"leftOut":[0-9]{3}/.test(line))).to.equal(true);
    });

    it("writes all lines to a file in order", async () => {
        const path = join(mkdtempSync(join(tmpdir(), "hornbeam-log-")), "log");
        const file = openSync(path, "a");
        const writer = createLogWriter(file);
        for (let count = 0; count < 500; count++) {
            writer.write(`${String(count)}\n`);
        }
        await writer.flush();
        closeSync(file);
        expect(readFileSync(path, "utf8").trim().split("\n")).to.deep.equal(Array.from({ length: 500 }, (_, index) => String(index)));
    });

    it("drops and counts lines instead of blocking when the reader has stopped", async () => {
        const script = `import { createLogWriter } from "./src/observe/logWriter.ts";
            const writer = createLogWriter(1); const startedMs = performance.now(); let longestMs = 0;
            const tick = setInterval(() => {
                const nowMs = performance.now(); longestMs = Math.max(longestMs, nowMs - last); last = nowMs;
                for (let count = 0; count < 200; count++) { writer.write("x".repeat(1000) + "\\n"); }
                if (nowMs - startedMs > 1500) { clearInterval(tick); process.stderr.write(JSON.stringify({ longestMs, dropped: writer.dropped })); process.exit(0); }
            }, 10); let last = startedMs;`;
        const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", script], { stdio: ["ignore", "pipe", "pipe"] });
        child.stdout.pause();
        const text = await new Promise<string>((resolve) => {
            let received = "";
            child.stderr.on("data", (chunk: Buffer) => {
                received += chunk.toString();
            });
            child.on("exit", () => {
                resolve(received);
            });
        });
        const { longestMs, dropped } = JSON.parse(text) as { longestMs: number; dropped: number };
        expect(dropped).to.be.above(100);
        expect(longestMs).to.be.below(500);
    });
});

describe("metrics", () => {
    it("are rendered as text, including gauges that are computed on demand", async () => {
        const metrics = createMetrics();
        metrics.requests.inc({ route: "r", outcome: "refused", reason: "overloaded" });
        metrics.answerMs.observe({ route: "r" }, 120);
        metrics.gauge("hornbeam_term", "Term in force.", () => 4);
        const text = await metrics.text();
        expect(text).to.include("hornbeam_requests_total{route=\"r\",outcome=\"refused\",reason=\"overloaded\"} 1");
        expect(text).to.include("hornbeam_answer_ms_bucket{le=\"200\",route=\"r\"} 1");
        expect(text).to.include("hornbeam_term 4");
    });
});
