import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { findConfigurationProblems } from "../../platform/configurationProblems.js";
import { platformDecoders } from "../../platform/decoders.js";
import type { CheckContext } from "../../src/control/configCheck.js";
import { findContradictions, reportCheck, reportProblems } from "../../src/control/configCheck.js";
import { exitCodes, render } from "../../src/control/output.js";
import type { ServiceId } from "../../src/model/names.js";
import type { RoutingConfig } from "../../src/model/routing.js";
import { buildRoutingConfig } from "../fleet/fleet.js";

use(jestSnapshotPlugin());

interface ConfigJson {
    version: string;
    routes: { columns: string[]; rows: unknown[][] };
    services: { columns: string[]; rows: unknown[][] };
    limits: Record<string, number>;
}

const context: CheckContext = { inForce: undefined, servicesWithTargets: undefined, memoryMb: 210, extraRetries: 20 };

/** Returns a configuration in the platform's format, after a change. */
function textOf(change: (config: ConfigJson) => void = () => undefined, version = 1): string {
    const config = buildRoutingConfig(version) as ConfigJson;
    change(config);
    return JSON.stringify(config, undefined, 1);
}

function decode(text: string): RoutingConfig {
    return platformDecoders.configuration("config", Buffer.from(text))._unsafeUnwrap() as RoutingConfig;
}

const contradictionsIn = (change: (config: ConfigJson) => void, changed: Partial<CheckContext> = {}) =>
    findContradictions(decode(textOf(change)), { ...context, ...changed }).map(({ subject, message }) => `${subject}: ${message}`);

describe("check of a routing configuration", () => {
    it("finds every row that hosts cannot decode, with its line and field", () => {
        const text = textOf(({ routes, services }) => {
            (routes.rows[1] as unknown[])[4] = -5;
            (routes.rows[2] as unknown[])[2] = "no-slash";
            (services.rows[0] as unknown[])[2] = "many";
        });
        const problems = findConfigurationProblems(text);
        expect(problems.map(({ field }) => field)).to.deep.equal(["routes row 1", "routes row 2", "services row 0"]);
        const lines = text.split("\n");
        expect(problems.map(({ line }) => lines[(line ?? 0) - 1]?.trim())).to.deep.equal(["-5,", "\"no-slash\",", "\"many\","]);
        expect(render(reportProblems(problems), false)).toMatchSnapshot();
        expect(reportProblems(problems).exitCode).to.equal(exitCodes.badInput);
    });

    it("finds what hosts reject as a whole: text that is no JSON, a wrong version, a missing limit", () => {
        expect(findConfigurationProblems("{ \"version\": ")).to.have.length(1);
        expect(findConfigurationProblems(textOf((config) => {
            config.version = "1";
        }))[0]).to.include({ field: "version", line: 2 });
        expect(findConfigurationProblems(textOf(({ routes }) => {
            routes.columns.push("name");
        }))[0]?.field).to.equal("routes.columns");
        expect(findConfigurationProblems(textOf(({ limits }) => {
            limits["max_body_bytes"] = -1;
        }))[0]?.field).to.equal("limits.max_body_bytes");
    });

    it("accepts what hosts can decode, as the decoder does", () => {
        expect(findConfigurationProblems(textOf())).to.deep.equal([]);
        expect(contradictionsIn(() => undefined)).to.deep.equal([]);
    });

    it("finds a route that can never match, but not one of another host name, prefix or order", () => {
        const add = (host: string, prefix: string) => contradictionsIn(({ routes }) => {
            routes.rows.push(["r-later", host, prefix, "safe", 900, 500, 2, "lists", 1, undefined]);
        });
        expect(add("FLEET.example.", "/read/")).to.deep.equal(["route r-later: it can never match: route r-read stands before it and matches all of its requests"]);
        expect([...add("*", "/read/"), ...add("fleet.example", "/read/more/"), ...add("fleet.example", "/")]).to.deep.equal([]);
    });

    it("finds limits that contradict each other, and services without routes, targets or a configuration", () => {
        const found = contradictionsIn(({ routes, services, limits }) => {
            routes.rows.push(["r-slow", "fleet.example", "/slow/", "safe", 500, 900, 2, "unknown", 30, undefined]);
            services.rows.push(["unused", "/health", 10, "h1", false, undefined, undefined, undefined]);
            limits["max_body_bytes"] = 300_000_000;
        }, { servicesWithTargets: new Set(["leases", "unused"] as ServiceId[]) });
        expect(found).toMatchSnapshot();
    });

    it("compares route by route with the version in force, whose number has to be lower", () => {
        const inForce = decode(textOf());
        const changed = decode(textOf(({ routes }) => {
            (routes.rows[0] as unknown[])[4] = 2_500;
            routes.rows.splice(1, 1);
            routes.rows.push(["r-new", "fleet.example", "/new/", "safe", 900, 500, 2, "lists", 1, undefined]);
        }, 2));
        expect(render(reportCheck(changed, { ...context, inForce }), false)).toMatchSnapshot();
        expect(reportCheck(changed, { ...context, inForce }).exitCode).to.equal(exitCodes.done);
        expect(reportCheck(inForce, { ...context, inForce: changed }).exitCode).to.equal(exitCodes.badInput);
    });
});
