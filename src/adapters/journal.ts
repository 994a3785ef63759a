/** Logs by bunyan and metrics by hot-shots. */
import bunyan from "bunyan";
import { StatsD } from "hot-shots";
import type { Journal } from "../platform/journal.js";

/** Where logs and metrics go. */
export interface JournalSettings {
    program: string;
    host: string;
    logLevel: "trace" | "debug" | "info" | "warn" | "error" | "fatal";
    /** IP number and port of a StatsD server; without one, metrics go nowhere. */
    metricsAddress?: string;
}

/**
 * Creates the journal of a process.
 * @param settings where logs and metrics go
 * @returns the journal
 */
export function createJournal(settings: JournalSettings): Journal {
    const logger = bunyan.createLogger({ name: settings.program, host: settings.host, level: settings.logLevel });
    const metrics = settings.metricsAddress === undefined ? undefined : createMetrics(settings.metricsAddress, settings);
    return {
        info: (prefix, sentence) => {
            logger.info(`${prefix}: ${sentence}`);
        },
        warn: (prefix, sentence) => {
            logger.warn(`${prefix}: ${sentence}`);
        },
        count: (metric, by, tags) => {
            metrics?.increment(metric, by, tags);
        },
        timing: (metric, durationMs, tags) => {
            metrics?.timing(metric, durationMs, tags);
        },
    };
}

function createMetrics(address: string, settings: JournalSettings): StatsD {
    const [host, port] = address.split(":");
    return new StatsD({
        host,
        port: Number(port),
        prefix: "hornbeam.",
        globalTags: { program: settings.program, host: settings.host },
        errorHandler: () => undefined,
    });
}
