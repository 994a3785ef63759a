import { expect, use } from "chai";
import fc from "fast-check";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { platformDecoders } from "../../platform/decoders.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import type { TargetEntry } from "../../src/model/target.js";
import { buildRoutingConfig } from "../fleet/fleet.js";
import { anyOddValue, deepJson, mutate } from "../support/oddValues.js";

use(jestSnapshotPlugin());

/** Seed of the property tests, so that a failure comes again; without shrinking, which takes minutes for whole configurations. */
const seed = 40;
const runCount = 2_000;

const entry = {
    service: "leases", address: "10.0.0.9:8080", zone: "a", version: "v1", max_concurrency: 3, state: "ready", warmup_left_ms: 0, sequence: 4,
    born: 1_700_000_000_000,
};

const config = buildRoutingConfig(7) as { routes: { columns: string[]; rows: unknown[][] }; limits: object };

/** Returns the configuration with a field of its first route replaced. */
function withRouteField(column: string, value: unknown): object {
    const index = config.routes.columns.indexOf(column);
    const [first, ...rest] = config.routes.rows as [unknown[], ...unknown[][]];
    return { ...config, routes: { ...config.routes, rows: [first.map((old, at) => at === index ? value : old), ...rest] } };
}

function text(value: unknown): string {
    return typeof value === "string" ? value : JSON.stringify(value);
}

function describeTarget(key: string, value: string): string {
    return platformDecoders.target(key, Buffer.from(value)).match(
        ({ address, slots, sequence }) => `taken: ${JSON.stringify([address, slots, sequence])}`, ({ message }) => `odd: ${message}`);
}

function describeConfig(value: string): string {
    return platformDecoders.configuration("config", Buffer.from(value)).match((taken) => `taken: r${String(taken?.version)}`, ({ message }) => `odd: ${message}`);
}

const addresses = [
    "10.0.0.9:65535", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:0", "10.0.0.9:080", "10.0.0.9:1e3", "10.0.0.9:-1", "10.0.0.9", "10.0.0.9:",
    "10.0.0.256:80", "10.0.0.09:80", "10.0.0:80", "10.0.0.0.9:80", "...:80", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "127.0.0.1:80",
    "somewhere:80", "[::1]:80", "10.0.0.9:80\r\nX: 1", " 10.0.0.9:80", "10.0.0.9:80:81", "",
];

const oddEntries: Record<string, string> = {
    ...Object.fromEntries(addresses.map((address) => [`address ${JSON.stringify(address)}`, text({ ...entry, address })])),
    ...Object.fromEntries([0, 1, 100_000, 100_001, 4_294_967_296, 1.5, -1, "3"].map((slots) => [
        `max_concurrency ${JSON.stringify(slots)}`, text({ ...entry, max_concurrency: slots })])),
    "max_concurrency 1e999": text(entry).replace("\"max_concurrency\":3", "\"max_concurrency\":1e999"),
    ...Object.fromEntries(["1e999", "9007199254740993", "1000000000001", "1000000000000", "-1", "0.5", "null", "[4]"].map((sequence) => [
        `sequence ${sequence}`, text(entry).replace("\"sequence\":4", `"sequence":${sequence}`)])),
    ...Object.fromEntries(["1e999", "1e15", "4102444800000", "4102444800001", "-1", "null", "\"1\""].map((born) => [
        `born ${born}`, text(entry).replace("\"born\":1700000000000", `"born":${born}`)])),
    ...Object.fromEntries(["1e999", "1e10", "1e9", "-1", "\"soon\""].map((left) => [
        `warmup_left_ms ${left}`, text(entry).replace("\"warmup_left_ms\":0", `"warmup_left_ms":${left}`)])),
    "a service with a line break": text({ ...entry, service: "a\r\nb" }),
    "a service of 129 characters": text({ ...entry, service: "s".repeat(129) }),
    "an empty zone": text({ ...entry, zone: "" }),
    "an unknown field nested 8 deep": `${text(entry).slice(0, -1)},"later":${deepJson(8)}}`,
    "an unknown field nested 100000 deep": `${text(entry).slice(0, -1)},"later":${deepJson(100_000)}}`,
    "an unknown field nested 20000 deep": `${text(entry).slice(0, -1)},"later":${deepJson(20_000)}}`,
    "brackets in a string": text({ ...entry, later: "\\\"[[[[[[[[[[[[[[[[[[[[[[" }),
    "65537 bytes": text({ ...entry, later: "x".repeat(65_537 - text({ ...entry, later: "" }).length) }),
    "a field __proto__": `${text(entry).slice(0, -1)},"__proto__":{"address":"10.0.0.9:99999","slots":-1}}`,
    "the address twice, the last one out of range": `${text(entry).slice(0, -1)},"address":"10.0.0.9:99999"}`,
    "the address twice, the first one out of range": `{"address":"10.0.0.9:99999",${text(entry).slice(1)}`,
    "a byte order mark": `\ufeff${text(entry)}`,
    "null": "null",
    "a number": "7",
    "no bytes": "",
};

const oddIds = ["", "a b", "t-1\r\nX: 1", "t-1\u0000", "t\u00e4", "\ufffd", "i".repeat(128), "i".repeat(129), "__proto__", "a/b"];

const oddConfigs: Record<string, string> = {
    "nothing odd": text(config),
    ...Object.fromEntries(["timeout_ms", "target_latency_ms"].flatMap((column) => [0.5, 1e9, 1e9 + 1, 2 ** 31, -1, 0, "9", undefined].map((value) =>
        [`${column} ${JSON.stringify(value)}`, text(withRouteField(column, value))]))),
    ...Object.fromEntries([0, 1e6, 1e6 + 1, 2 ** 53, 1.5].map((value) => [`priority ${String(value)}`, text(withRouteField("priority", value))])),
    ...Object.fromEntries([0, 1, 1e6 + 1].map((value) => [`max_attempts ${String(value)}`, text(withRouteField("max_attempts", value))])),
    "weights that are all 0": text(withRouteField("backends", [{ service: "leases", weight: 0 }, { service: "lists", weight: 0 }])),
    "an infinite weight": text(withRouteField("backends", [{ service: "leases", weight: 0.25 }])).replace("0.25", "1e999"),
    "a weight of 1e300": text(withRouteField("backends", [{ service: "leases", weight: 1e300 }])),
    "no backends": text(withRouteField("backends", [])),
    "a service that does not exist": text(withRouteField("service", "nobody")),
    "a service with a line break": text(withRouteField("service", "a\r\nX: 1")),
    "a route name of 200 characters": text(withRouteField("name", "n".repeat(200))),
    "a path prefix of 5000 characters": text(withRouteField("path_prefix", `/${"p".repeat(5_000)}/`)),
    "the same route twice": text({ ...config, routes: { ...config.routes, rows: [...config.routes.rows, config.routes.rows[0]] } }),
    "a column twice": text({ ...config, routes: { ...config.routes, columns: [...config.routes.columns, "timeout_ms"] } }),
    "a column __proto__": text({ ...config, routes: { ...config.routes, columns: [...config.routes.columns, "__proto__"] } }),
    ...Object.fromEntries(["r1e3", "r999999999999999", "r9999999999999999", "r", "7"].map((version) => [
        `version ${version}`, text({ ...config, version })])),
    ...Object.fromEntries(["max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"].flatMap((name) =>
        [0, 1, 2 ** 31, 2 ** 53, -1].map((value) => [`${name} ${String(value)}`, text({ ...config, limits: { ...config.limits, [name]: value } })]))),
    "an unknown field nested 100000 deep": `${text(config).slice(0, -1)},"later":${deepJson(100_000)}}`,
    "more than 4 MiB": text({ ...config, later: "x".repeat(4_194_305) }),
};

function isBelievable({ targetId, address, slots, sequence, bornWallMs, serviceId, dataCentreId }: TargetEntry): boolean {
    const [host, port] = address.split(":") as [string, string];
    return host.split(".").every((octet) => String(Number(octet)) === octet && Number(octet) < 256) && host.split(".").length === 4
        && String(Number(port)) === port && Number(port) >= 1 && Number(port) <= 65_535
        && Number.isInteger(slots) && slots >= 1 && slots <= 100_000
        && Number.isInteger(sequence) && sequence >= 0 && sequence <= 1e12
        && Number.isInteger(bornWallMs) && bornWallMs >= 0 && bornWallMs <= 4_102_444_800_000
        && /^[!-~]{1,128}$/.test(targetId) && [serviceId, dataCentreId].every((name) => name.length >= 1 && name.length <= 128);
}

function isBelievableConfig({ version, routes, services, limits }: RoutingConfig): boolean {
    const isDuration = (ms: number) => ms >= 0 && ms <= 1e9;
    return Number.isSafeInteger(version)
        && routes.every(({ timeoutMs, targetLatencyMs, priority, maxAttempts, backends }) =>
            [timeoutMs, targetLatencyMs].every((ms) => ms > 0 && isDuration(ms)) && priority >= 0 && priority <= 1e6
            && maxAttempts >= 1 && maxAttempts <= 1e6 && backends.every(({ weight }) => weight >= 0 && weight <= 1e9))
        && services.every(({ warmUpMs, maxConnections, warmUpRequestsPerSecond }) =>
            isDuration(warmUpMs) && maxConnections >= 1 && maxConnections <= 1e6 && (warmUpRequestsPerSecond ?? 1) <= 1e6)
        && [limits.headerTimeoutMs, limits.idleTimeoutMs].every((ms) => ms > 0 && isDuration(ms))
        && [limits.maxBodyBytes, limits.maxHeaderBytes].every((bytes) => bytes >= 1 && bytes <= 2 ** 30);
}

describe("odd values that other programs write", () => {
    it("in an entry of a target: only what can be meant is taken, and the rest is named with a reason", () => {
        expect(Object.fromEntries(Object.entries(oddEntries).map(([name, value]) => [name, describeTarget("t-1", value)]))).toMatchSnapshot();
    });

    it("as the id of a target: only what can stand in a header is taken", () => {
        expect(Object.fromEntries(oddIds.map((id) => [JSON.stringify(id), describeTarget(id, text(entry))]))).toMatchSnapshot();
    });

    it("in a configuration: only what can be meant is taken, and the rest is named with a reason", () => {
        expect(Object.fromEntries(Object.entries(oddConfigs).map(([name, value]) => [name, describeConfig(value)]))).toMatchSnapshot();
    });

    it("in mutated entries: the decoder never throws, and passes on nothing outside the ranges", () => {
        let takenCount = 0;
        fc.assert(fc.property(fc.gen(), fc.oneof(fc.constant("t-1"), fc.string({ maxLength: 140 })), (random, key) => {
            const decoded = platformDecoders.target(key, Buffer.from(mutate(entry, random)));
            takenCount += decoded.isOk() ? 1 : 0;
            expect(decoded.isErr() || isBelievable(decoded.value), JSON.stringify(decoded)).to.equal(true);
            expect(decoded.isErr() ? decoded.error.message.length : 1).to.be.within(1, 1_200);
        }), { seed, numRuns: runCount, endOnFailure: true });
        expect(takenCount).to.be.above(runCount / 20);
    });

    it("in mutated configurations: the decoder never throws, and passes on nothing outside the ranges", () => {
        fc.assert(fc.property(fc.gen(), (random) => {
            const decoded = platformDecoders.configuration("config", Buffer.from(mutate(config, random)));
            const isBounded = decoded.isErr() || decoded.value === undefined || isBelievableConfig(decoded.value);
            expect(isBounded, JSON.stringify(decoded)).to.equal(true);
        }), { seed, numRuns: runCount, endOnFailure: true });
    });

    it("in single fields of entries: the decoder never throws, and passes on nothing outside the ranges", () => {
        fc.assert(fc.property(fc.constantFrom(...Object.keys(entry)), anyOddValue, (field, value) => {
            const decoded = platformDecoders.target("t-1", Buffer.from(JSON.stringify({ ...entry, [field]: value })));
            expect(decoded.isErr() || isBelievable(decoded.value), JSON.stringify(decoded)).to.equal(true);
        }), { seed, numRuns: runCount, endOnFailure: true });
    });
});
