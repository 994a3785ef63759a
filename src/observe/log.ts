/** Port to the structured log. */

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The log of one component of the program; every event text is prefixed with the component's name. */
export interface Log {
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
}

/** Creates the log of a component. */
export type LogFactory = (component: string) => Log;
