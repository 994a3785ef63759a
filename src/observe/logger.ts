/** The structured log, by bunyan: one JSON object a line, bounded in rate by part and event. */
import bunyan from "bunyan";
import type { Clock } from "../model/time.js";
import type { Log, LogFactory, LogFields } from "./log.js";
import type { LogWriter } from "./logWriter.js";

/** Lines of one event that are written in a second; the rest is counted and named in a line of its own. */
const maxLinesPerSecond = 60;
const windowMs = 1_000;

/** Settings of the log. */
export interface LoggerSettings {
    program: string;
    host: string;
    level: bunyan.LogLevelString;
}

interface Rate {
    windowStartMs: number;
    lines: number;
    leftOut: number;
}

type Level = "info" | "warn" | "error";

/**
 * Creates the log.
 * @param settings names and least level
 * @param writer takes the lines
 * @param clock clocks of this process
 */
export function createLogger(settings: LoggerSettings, writer: LogWriter, clock: Clock): LogFactory {
    const logger = bunyan.createLogger({
        name: settings.program,
        hostname: settings.host,
        streams: [{ level: settings.level, stream: { write: (line: string) => {
            writer.write(line);
        } } as unknown as NodeJS.WritableStream }],
    });
    const rates = new Map<string, Rate>();

    const admit = (part: string, event: string): boolean => {
        const nowMs = clock.now().monoMs;
        const name = `${part}: ${event}`;
        const rate = rates.get(name) ?? { windowStartMs: nowMs, lines: 0, leftOut: 0 };
        rates.set(name, rate);
        if (nowMs - rate.windowStartMs >= windowMs) {
            if (rate.leftOut > 0) {
                logger.warn({ leftOut: rate.leftOut }, `${name}: lines left out`);
            }
            Object.assign(rate, { windowStartMs: nowMs, lines: 0, leftOut: 0 });
        }
        rate.lines += 1;
        rate.leftOut += rate.lines > maxLinesPerSecond ? 1 : 0;
        return rate.lines <= maxLinesPerSecond;
    };

    return (part): Log => {
        const line = (level: Level) => (event: string, fields: LogFields = {}) => {
            if (admit(part, event)) {
                logger[level](fields, `${part}: ${event}`);
            }
        };
        return { info: line("info"), warn: line("warn"), error: line("error") };
    };
}
