/** Checks a routing configuration of the platform before operators send it, and compares it with the one in force. */
import diff from "microdiff";
import type { RouteId, ServiceId } from "../model/names.js";
import type { Route, RoutingConfig } from "../model/routing.js";
import { isServedByEarlier } from "../routing/routeTable.js";
import type { CommandResult } from "./output.js";
import { exitCodes } from "./output.js";

/** A body may take at most this share of a host's memory, since the host holds other requests, too. */
const maxBodyShareOfMemory = 0.5;
const bytesPerMb = 1_048_576;

/** A problem of the file, found while it was decoded. */
export interface FileProblem {
    /** Line in the file, from 1; undefined if it cannot be told. */
    line: number | undefined;
    field: string;
    message: string;
}

/** What a configuration is checked against. */
export interface CheckContext {
    /** The configuration in force; undefined if there is none. */
    inForce: RoutingConfig | undefined;
    /** Services that have targets; undefined if that is not known. */
    servicesWithTargets: ReadonlySet<ServiceId> | undefined;
    /** Memory of the smallest host. */
    memoryMb: number;
    /** Retries that the retry budget allows in a window beside its ratio, over all hosts together. */
    extraRetries: number;
}

/** A contradiction in a configuration that can be decoded. */
export interface Finding {
    subject: string;
    message: string;
}

/** A route that differs from the configuration in force. */
export interface RouteDifference {
    route: RouteId;
    change: "added" | "removed" | "changed";
    /** Changed fields, each with both values. */
    fields: string[];
}

/** Lists what is wrong in a configuration, in the order of its routes and services. */
export function findContradictions(config: RoutingConfig, { servicesWithTargets, memoryMb, extraRetries }: CheckContext): Finding[] {
    const maxBodyBytes = memoryMb * bytesPerMb * maxBodyShareOfMemory;
    const used = new Set(config.routes.flatMap(({ backends }) => backends.map(({ serviceId }) => serviceId)));
    const known = new Set(config.services.map(({ serviceId }) => serviceId));
    return [
        ...config.routes.flatMap((route, index) => contradictionsOf(route, config.routes.slice(0, index), known, extraRetries)
            .map((message) => ({ subject: `route ${route.routeId}`, message }))),
        ...config.services.flatMap(({ serviceId }) => [
            ...used.has(serviceId) ? [] : ["no route uses it"],
            ...servicesWithTargets === undefined || servicesWithTargets.has(serviceId) ? [] : ["it has no targets"],
        ].map((message) => ({ subject: `service ${serviceId}`, message }))),
        ...config.limits.maxBodyBytes <= maxBodyBytes ? [] : [{
            subject: "limits",
            message: `a body of ${String(config.limits.maxBodyBytes)} bytes is more than a host with ${String(memoryMb)} MB can hold beside other requests`,
        }],
    ];
}

function contradictionsOf(route: Route, earlier: readonly Route[], known: ReadonlySet<ServiceId>, extraRetries: number): string[] {
    const { timeoutMs, targetLatencyMs, maxAttempts, backends } = route;
    const covering = earlier.find((one) => isServedByEarlier(route, one));
    return [
        ...covering === undefined ? [] : [`it can never match: route ${covering.routeId} stands before it and matches all of its requests`],
        ...targetLatencyMs <= timeoutMs ? [] : [`its target latency of ${String(targetLatencyMs)} ms is above its timeout of ${String(timeoutMs)} ms`],
        ...maxAttempts - 1 <= extraRetries ? [] : [
            `the retry budget cannot cover its ${String(maxAttempts)} attempts: it allows ${String(extraRetries)} retries in a window`,
        ],
        ...backends.filter(({ serviceId }) => !known.has(serviceId)).map(({ serviceId }) => `its service ${serviceId} is not configured`),
    ];
}

/** Compares two configurations route by route, by the routes' names. */
export function compareRoutes(inForce: RoutingConfig, config: RoutingConfig): RouteDifference[] {
    const before = new Map(inForce.routes.map((route) => [route.routeId, route]));
    const after = new Map(config.routes.map((route) => [route.routeId, route]));
    return [
        ...[...after].flatMap(([route, value]): RouteDifference[] => {
            const previous = before.get(route);
            if (previous === undefined) {
                return [{ route, change: "added", fields: [] }];
            }
            const fields = diff(previous, value).map((one) => `${one.path.join(".")}: ${describe("oldValue" in one ? one.oldValue : undefined)} -> `
                + describe("value" in one ? one.value : undefined));
            return fields.length === 0 ? [] : [{ route, change: "changed", fields }];
        }),
        ...[...before.keys()].filter((route) => !after.has(route)).map((route): RouteDifference => ({ route, change: "removed", fields: [] })),
    ];
}

function describe(value: unknown): string {
    return value === undefined ? "(none)" : JSON.stringify(value);
}

/** Reports a file that cannot be decoded. */
export function reportProblems(problems: readonly FileProblem[]): CommandResult {
    return {
        exitCode: exitCodes.badInput,
        lines: [`${String(problems.length)} problem(s); hosts would ignore this configuration.`],
        table: { head: ["line", "field", "problem"], rows: problems.map(({ line, field, message }) => [line ?? "-", field, message]) },
        json: { problems },
    };
}

/** Reports the contradictions of a configuration, and what it would change. */
export function reportCheck(config: RoutingConfig, context: CheckContext): CommandResult {
    const { inForce } = context;
    const findings = findContradictions(config, context);
    const differences = inForce === undefined ? [] : compareRoutes(inForce, config);
    const versionLines = inForce === undefined
        ? ["No configuration is in force to compare it with."]
        : [
            ...config.version > inForce.version ? [] : [`Version r${String(config.version)} is not above r${String(inForce.version)}, which is in force.`],
            differences.length === 0 ? "No route differs from the version in force." : `${String(differences.length)} route(s) differ from the version in force.`,
        ];
    const isOutdated = inForce !== undefined && config.version <= inForce.version;
    return {
        exitCode: findings.length > 0 || isOutdated ? exitCodes.badInput : exitCodes.done,
        lines: [
            ...findings.map(({ subject, message }) => `${subject}: ${message}.`),
            ...findings.length === 0 ? ["No contradiction was found."] : [], ...versionLines,
        ],
        ...differences.length === 0 ? {} : { table: {
            head: ["route", "change", "fields"], rows: differences.map(({ route, change, fields }) => [route, change, fields.join("\n")]),
        } },
        json: { findings, differences },
    };
}
