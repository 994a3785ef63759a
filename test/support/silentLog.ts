/** A log that drops its lines. */
import type { Log } from "../../src/observe/log.js";

/** Drops every line. */
export const silentLog: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
