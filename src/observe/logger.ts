/** Structured log on top of bunyan: one JSON object per line, rate-limited per component and event text. */
import bunyan from "bunyan";
import type { Clock } from "../model/time.js";
import type { Log, LogFactory, LogFields } from "./log.js";
import type { LogWriter } from "./logWriter.js";

/**
 * Lines of one event that are written per second. Further lines are counted, and the count is logged in a line of its own when the
 * event occurs after that second.
 */
const maxLinesPerSecond = 60;
const windowMs = 1_000;

/** Program name, host and lowest level of the log. */
export interface LoggerSettings {
    program: string;
    host: string;
    level: bunyan.LogLevelString;
}

interface RateWindow {
    windowStartMs: number;
    lineCount: number;
    suppressedCount: number;
}

type Level = "info" | "warn" | "error";

/**
 * Creates the factory for the logs of the components.
 * @param settings program name, host and lowest level
 * @param writer writes the lines
 * @param clock clock for rate limiting
 */
export function createLogger(settings: LoggerSettings, writer: LogWriter, clock: Clock): LogFactory {
    const logger = bunyan.createLogger({
        name: settings.program,
        hostname: settings.host,
        streams: [{ level: settings.level, stream: { write: (line: string) => {
            writer.write(line);
        } } as unknown as NodeJS.WritableStream }],
    });
    const windows = new Map<string, RateWindow>();

    const allowLine = (component: string, event: string): boolean => {
        const nowMs = clock.now().monoMs;
        const prefixedEvent = `${component}: ${event}`;
        const window = windows.get(prefixedEvent) ?? { windowStartMs: nowMs, lineCount: 0, suppressedCount: 0 };
        windows.set(prefixedEvent, window);
        if (nowMs - window.windowStartMs >= windowMs) {
            if (window.suppressedCount > 0) {
                logger.warn({ leftOut: window.suppressedCount }, `${prefixedEvent}: lines suppressed by the rate limit`);
            }
            Object.assign(window, { windowStartMs: nowMs, lineCount: 0, suppressedCount: 0 });
        }
        window.lineCount += 1;
        window.suppressedCount += window.lineCount > maxLinesPerSecond ? 1 : 0;
        return window.lineCount <= maxLinesPerSecond;
    };

    return (component): Log => {
        const logAt = (level: Level) => (event: string, fields: LogFields = {}) => {
            if (allowLine(component, event)) {
                logger[level](fields, `${component}: ${event}`);
            }
        };
        return { info: logAt("info"), warn: logAt("warn"), error: logAt("error") };
    };
}
