/** Counters, gauges and histograms, exported in the text format of Prometheus. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const latencyBucketsMs = [5, 10, 25, 50, 100, 200, 300, 400, 600, 1_000, 1_500, 2_500, 5_000, 10_000];

/** A prediction within a third is between 0.75 and 1.33. */
const ratioBuckets = [0.1, 0.25, 0.5, 0.75, 1, 1.33, 2, 4, 8, 16];

/** The metrics of a host. */
export interface Metrics {
    readonly requests: Counter<"route" | "outcome" | "reason">;
    readonly refusals: Counter<"status" | "reason">;
    readonly refusalsByPriority: Counter<"priority" | "reason">;
    readonly answerMs: Histogram<"route">;
    readonly attempts: Counter<"target" | "end">;
    readonly retries: Counter<"route" | "end">;
    readonly unprovenResponses: Counter<"target" | "status">;
    readonly skippedResponses: Counter<"target">;
    readonly moves: Counter<"reason" | "outcome">;
    readonly storeCalls: Counter<"path" | "outcome">;
    readonly connections: Counter<"kind">;
    readonly relayedConnections: Counter<"side">;
    readonly leaseCalls: Counter<"target" | "call">;
    readonly lostAttempts: Counter<"target" | "process">;
    readonly clientLimits: Counter<"limit">;
    readonly eventLoopDelayMs: Histogram;
    readonly acceptWaitMs: Histogram<"listener">;
    readonly acceptErrors: Counter<"code">;
    readonly readinessAnswers: Counter<"answer">;
    readonly invalidLoadReports: Counter<"target">;
    readonly workTimeRatio: Histogram;
    /** Adds a gauge whose value is read when the metrics are exported. */
    gauge(name: string, help: string, read: () => number): void;
    /** All metrics in the text format of Prometheus. The histograms, which are long, come last: readers may cut the text off. */
    text(): Promise<string>;
}

/** Creates the metrics. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const registers = [registry];
    const histogramRegistry = new Registry();
    const histogramRegisters = [histogramRegistry];
    return {
        requests: new Counter({
            name: "hornbeam_requests_total", help: "Requests from clients, by route and outcome.",
            labelNames: ["route", "outcome", "reason"], registers,
        }),
        refusals: new Counter({
            name: "hornbeam_refusals_total", help: "Answers of this host in place of a target, by status and reason.",
            labelNames: ["status", "reason"], registers,
        }),
        refusalsByPriority: new Counter({
            name: "hornbeam_refusals_by_priority_total", help: "Refused requests that have a route, by the route's priority and reason.",
            labelNames: ["priority", "reason"], registers,
        }),
        answerMs: new Histogram({
            name: "hornbeam_answer_ms", help: "Time from the arrival of a request to its response, in milliseconds.",
            labelNames: ["route"], buckets: latencyBucketsMs, registers: histogramRegisters,
        }),
        attempts: new Counter({
            name: "hornbeam_attempts_total", help: "Requests sent to targets, by how the attempt ended.",
            labelNames: ["target", "end"], registers,
        }),
        retries: new Counter({
            name: "hornbeam_retries_total", help: "Requests sent again, by how the previous attempt ended.",
            labelNames: ["route", "end"], registers,
        }),
        unprovenResponses: new Counter({
            name: "hornbeam_unproven_responses_total",
            help: "Responses that prove neither that their target ran the request nor that it didn't, by target and status.",
            labelNames: ["target", "status"], registers,
        }),
        skippedResponses: new Counter({
            name: "hornbeam_skipped_responses_total",
            help: "Responses that arrived on a connection in place of the response to the request that was sent last, by target.",
            labelNames: ["target"], registers,
        }),
        moves: new Counter({
            name: "hornbeam_moves_total", help: "Moves of key ranges, by reason and outcome.",
            labelNames: ["reason", "outcome"], registers,
        }),
        storeCalls: new Counter({
            name: "hornbeam_store_calls_total", help: "Calls to the store, by path and outcome.",
            labelNames: ["path", "outcome"], registers,
        }),
        connections: new Counter({
            name: "hornbeam_connections_total", help: "Connections opened to targets, by their use.",
            labelNames: ["kind"], registers,
        }),
        relayedConnections: new Counter({
            name: "hornbeam_relayed_connections_total",
            help: "Connections to targets that pass through another host, by side: asked for by this host, or given to another one.",
            labelNames: ["side"], registers,
        }),
        leaseCalls: new Counter({
            name: "hornbeam_lease_calls_total", help: "Calls that grant, renew or release leases, by target.",
            labelNames: ["target", "call"], registers,
        }),
        lostAttempts: new Counter({
            name: "hornbeam_lost_attempts_total",
            help: "Attempts whose connection ended before the response was complete, by target and whether its process still listened then.",
            labelNames: ["target", "process"], registers,
        }),
        clientLimits: new Counter({
            name: "hornbeam_client_limits_total",
            help: "Requests refused and connections closed because of what this host held for clients, by limit.",
            labelNames: ["limit"], registers,
        }),
        eventLoopDelayMs: new Histogram({
            name: "hornbeam_event_loop_delay_ms", help: "Time that the event loop kept a due timer waiting, in milliseconds.",
            buckets: latencyBucketsMs, registers: histogramRegisters,
        }),
        acceptWaitMs: new Histogram({
            name: "hornbeam_accept_wait_ms",
            help: "Bound on the time that connections waited to be accepted, for each series of turns that accepted one, by listener, in milliseconds.",
            labelNames: ["listener"],
            buckets: latencyBucketsMs, registers: histogramRegisters,
        }),
        acceptErrors: new Counter({
            name: "hornbeam_accept_errors_total", help: "Connections that could not be accepted, by error.",
            labelNames: ["code"], registers,
        }),
        readinessAnswers: new Counter({
            name: "hornbeam_readiness_answers_total", help: "Answers to readiness checks: ready, or why not.",
            labelNames: ["answer"], registers,
        }),
        invalidLoadReports: new Counter({
            name: "hornbeam_invalid_load_reports_total", help: "Load reports of targets that are not valid and were ignored, by target.",
            labelNames: ["target"], registers,
        }),
        workTimeRatio: new Histogram({
            name: "hornbeam_work_time_ratio",
            help: "Time that a target took for a request, divided by the time predicted when its slot was granted.",
            buckets: ratioBuckets, registers: histogramRegisters,
        }),
        gauge: (name, help, read) => {
            new Gauge({ name, help, registers, collect() {
                this.set(read());
            } });
        },
        text: async () => `${await registry.metrics()}\n${await histogramRegistry.metrics()}`,
    };
}
