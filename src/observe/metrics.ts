/** Counters, gauges and histograms, served as text. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const latencyBucketsMs = [5, 10, 25, 50, 100, 200, 300, 400, 600, 1_000, 1_500, 2_500, 5_000, 10_000];

/** The metrics of a host. */
export interface Metrics {
    readonly requests: Counter<"route" | "outcome" | "reason">;
    readonly answerMs: Histogram<"route">;
    readonly attempts: Counter<"target" | "end">;
    readonly retries: Counter<"route" | "end">;
    readonly moves: Counter<"reason" | "outcome">;
    readonly storeCalls: Counter<"path" | "outcome">;
    readonly connections: Counter<"kind">;
    /** Adds a gauge that is computed when it is asked for. */
    gauge(name: string, help: string, read: () => number): void;
    text(): Promise<string>;
}

/** Creates the metrics. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const registers = [registry];
    return {
        requests: new Counter({
            name: "hornbeam_requests_total", help: "Requests by route and how they ended.", labelNames: ["route", "outcome", "reason"], registers,
        }),
        answerMs: new Histogram({
            name: "hornbeam_answer_ms", help: "Time from a request's arrival to its answer.", labelNames: ["route"], buckets: latencyBucketsMs, registers,
        }),
        attempts: new Counter({
            name: "hornbeam_attempts_total", help: "Requests sent to targets and how that ended.", labelNames: ["target", "end"], registers,
        }),
        retries: new Counter({ name: "hornbeam_retries_total", help: "Requests sent again.", labelNames: ["route", "end"], registers }),
        moves: new Counter({ name: "hornbeam_moves_total", help: "Moves of keys.", labelNames: ["reason", "outcome"], registers }),
        storeCalls: new Counter({ name: "hornbeam_store_calls_total", help: "Calls to the store.", labelNames: ["path", "outcome"], registers }),
        connections: new Counter({ name: "hornbeam_connections_total", help: "Connections opened to targets.", labelNames: ["kind"], registers }),
        gauge: (name, help, read) => {
            new Gauge({ name, help, registers, collect() {
                this.set(read());
            } });
        },
        text: () => registry.metrics(),
    };
}
