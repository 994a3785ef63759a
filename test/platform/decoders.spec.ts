import { expect, use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";
import { platformDecoders } from "../../platform/decoders.js";
import { platformClientDialect, platformTargetDialect } from "../../platform/dialect.js";
import { decodeSettings } from "../../platform/settingsFile.js";
import type { RequestId, TargetId } from "../../src/model/names.js";
import { buildRoutingConfig } from "../fleet/fleet.js";

use(jestSnapshotPlugin());

const entry = {
    service: "leases", address: "10.0.0.9:8080", zone: "a", version: "v1", max_concurrency: 3, state: "ready", warmup_left_ms: 0, sequence: 4,
    born: 1_700_000_000_000,
};

function decodeTarget(value: unknown) {
    return platformDecoders.target("t-1", Buffer.from(typeof value === "string" ? value : JSON.stringify(value)));
}

describe("decoder of the platform's service directory", () => {
    it("decodes an entry into the router's model", () => {
        expect(decodeTarget({ ...entry, warmup_left_ms: 900, later: "unknown fields are ignored" })._unsafeUnwrap()).to.deep.equal({
            targetId: "t-1", serviceId: "leases", address: "10.0.0.9:8080", dataCentreId: "a", slots: 3, state: "ready",
            bornWallMs: 1_700_000_000_000, sequence: 4, warmingUp: true,
        });
    });

    const invalidEntries: Record<string, unknown> = {
        "no service": { ...entry, service: undefined },
        "an invalid address": { ...entry, address: "here" },
        "a string for the slots": { ...entry, max_concurrency: "3" },
        "an unknown state": { ...entry, state: "sleeping" },
        "a start time that is not an integer": { ...entry, born: 1.5 },
        "a value that is not JSON": "\u0000\u0001",
        "an array as the value": [],
    };
    for (const [description, value] of Object.entries(invalidEntries)) {
        it(`rejects an entry with ${description}, with an error that names the target`, () => {
            const decoded = decodeTarget(value);
            expect(decoded.isErr()).to.equal(true);
            expect(decoded._unsafeUnwrapErr().peer).to.equal("t-1");
            expect(decoded._unsafeUnwrapErr().message).not.to.equal("");
        });
    }
});

describe("decoder of the operators' routing configuration", () => {
    it("decodes tables of columns and rows", () => {
        const config = platformDecoders.configuration("config", Buffer.from(JSON.stringify(buildRoutingConfig(12))))._unsafeUnwrap();
        expect(config?.version).to.equal(12);
        expect(config?.routes[1]).to.deep.equal({
            routeId: "r-order", hostName: "fleet.example", pathPrefix: "/order/", idempotent: false, timeoutMs: 3_000, targetLatencyMs: 500,
            priority: 1, maxAttempts: 2, backends: [{ serviceId: "leases", weight: 1 }],
        });
        expect(config?.services.map(({ sharded }) => sharded)).to.deep.equal([true, false]);
    });

    for (const routeType of ["unsafe", "keyed", "upload", "a-later-type"]) {
        it(`runs requests of type ${routeType} at most once, and keeps the other routes`, () => {
            const text = JSON.stringify(buildRoutingConfig(1)).replace('"safe"', `"${routeType}"`);
            const config = platformDecoders.configuration("config", Buffer.from(text))._unsafeUnwrap();
            expect(config?.routes.map(({ idempotent }) => idempotent)).to.deep.equal([false, false, true]);
            expect(config?.loadManagement).to.equal(routeType === "upload" ? true : undefined);
        });
    }

    it("ignores other keys and rejects a truncated configuration", () => {
        expect(platformDecoders.configuration("other", Buffer.from("x"))._unsafeUnwrap()).to.equal(undefined);
        expect(platformDecoders.configuration("config", Buffer.from(JSON.stringify(buildRoutingConfig(1)).slice(0, 90))).isErr()).to.equal(true);
    });
});

describe("platform headers", () => {
    const head = (...rawHeaders: string[]) => ({ status: 200, reasonPhrase: "", rawHeaders, persistent: true });

    it("distinguish an answer, a request that was not run, and a response that proves neither", () => {
        expect(platformTargetDialect.classify(head("response-signature", "x"))).to.equal("answer");
        expect(platformTargetDialect.classify(head("Not-Executed", "1"))).to.equal("not-run");
        expect(platformTargetDialect.classify(head())).to.equal("unproven");
    });

    it("announce that a target is leaving or asks for a pause, and malformed or unrelated values are ignored", () => {
        const noticeOf = (status: number, ...rawHeaders: string[]) =>
            platformTargetDialect.noticeOf({ status, reasonPhrase: "", rawHeaders, persistent: true });
        expect(noticeOf(200, "Server-Leaving", "1")).to.deep.equal({ isLeaving: true, pauseMs: undefined, rateLimit: { kind: "none" } });
        expect(noticeOf(503, "Server-Leaving", "1", "Retry-After", "2")).to.deep.equal({ isLeaving: true, pauseMs: 2_000, rateLimit: { kind: "none" } });
        expect(noticeOf(503, "Retry-After", "0.25")).to.deep.equal({ isLeaving: false, pauseMs: 250, rateLimit: { kind: "none" } });
        expect(noticeOf(503, "Retry-After", "999999999").pauseMs).to.equal(600_000);
        const ignored = ["-1", "1e3", "", "soon", "Wed, 21 Oct 2015 07:28:00 GMT", "1.", "9999999999"];
        expect(ignored.map((text) => noticeOf(503, "Retry-After", text).pauseMs)).to.deep.equal(ignored.map(() => undefined));
        expect(noticeOf(429, "Retry-After", "2").pauseMs).to.equal(undefined);
        expect(noticeOf(200, "Server-Leaving", "0").isLeaving).to.equal(false);
    });

    it("state a rate limit as a decimal number, and anything else is kept apart from the end of a limit", () => {
        const rateLimitOf = (...rawHeaders: string[]) => platformTargetDialect.noticeOf(head(...rawHeaders)).rateLimit;
        expect(rateLimitOf("Server-Limit", "3.4")).to.deep.equal({ kind: "stated", requestsPerSecond: 3.4 });
        expect(rateLimitOf("server-limit", "2.3000000000000003")).to.deep.equal({ kind: "stated", requestsPerSecond: 2.3000000000000003 });
        expect(rateLimitOf("Server-Limit", "0")).to.deep.equal({ kind: "stated", requestsPerSecond: 0 });
        expect(rateLimitOf()).to.deep.equal({ kind: "none" });
        for (const text of ["-1", "1e3", "", "NaN", "Infinity", "3,4", "3.4/s", ".5", "5."]) {
            expect(rateLimitOf("Server-Limit", text)).to.deep.equal({ kind: "unreadable", text });
        }
        expect(rateLimitOf("Server-Limit", "x".repeat(5_000))).to.deep.equal({ kind: "unreadable", text: "x".repeat(40) });
    });

    it("match an answer to its request by id; an answer without an id is accepted only if it says that the request was not run", () => {
        const id = "r1" as RequestId;
        expect(platformTargetDialect.matchOf(head("Request-Id", "r1"), id)).to.equal("named");
        expect(platformTargetDialect.matchOf(head("Request-Id", "r0"), id)).to.equal("other");
        expect(platformTargetDialect.matchOf(head("Not-Executed", "1"), id)).to.equal("unnamed-rejection");
        expect(platformTargetDialect.matchOf(head("Response-Signature", "x"), id)).to.equal("other");
    });

    it("pass the request's terms to the target and replace headers of the same names from the client", () => {
        const terms = { requestId: "r1" as RequestId, key: undefined, targetId: "t1" as TargetId, budgetMs: 99.9 };
        expect(platformTargetDialect.headersFor(terms)).to.deep.equal(["Request-Id", "r1", "Deadline-Ms", "99", "Target-Instance", "t1"]);
        expect([...platformTargetDialect.reservedHeaders]).to.include.members(["request-id", "shard-key", "deadline-ms", "target-instance"]);
    });

    it("yield the terms of a client's request, without malformed values", () => {
        expect(platformClientDialect.termsOf("/", { "request-id": "r", "deadline-ms": "250", "shard-key": "65535" }))
            .to.deep.equal({ requestId: "r", budgetMs: 250, key: 65_535 });
        expect(platformClientDialect.termsOf("/", { "deadline-ms": "1e3", "shard-key": "65536" }))
            .to.deep.equal({ requestId: undefined, budgetMs: undefined, key: undefined });
    });

    it("tell a client in fractional seconds when to retry", () => {
        expect(platformClientDialect.headersOfRefusal("r" as RequestId, { reason: "overloaded", retryAfterMs: 250 }))
            .to.deep.equal(["Request-Id", "r", "Retry-After", "0.250"]);
    });
});

describe("platform settings file", () => {
    const text = `node_name = "front-a-1"\nip = "10.1.0.10"\nzone = "a"\ninternal_port_range = [7720,7735]\nheartbeat_ms = 870
bounds = ["drain_ms=2000","grace_s=6","retry_budget_ratio=0.2","budget_extra_retries=56","hold_max_ms=10000","new_one=true"]
[listen]\nfront = "10.1.0.10:8161"\nready = "10.1.0.10:8167"
[limits]\ncpu_share = 0.54\nmemory_mb = 350\nmax_fds = 4100
[platform]\naddress = "10.200.1.7:8169"\nform = "log"\n`;

    it("is decoded into the host's settings", () => {
        expect(decodeSettings(text, "local.toml")._unsafeUnwrap()).toMatchSnapshot();
    });

    const featuresByContracts: Record<string, object> = {
        'contracts = ["base","own"]': { loadManagement: false, sharesScarceCapacity: false },
        'contracts = ["base","places"]': { loadManagement: false, sharesScarceCapacity: false },
        'contracts = ["pressure"]': { loadManagement: true, sharesScarceCapacity: true },
    };
    for (const [contracts, expected] of Object.entries(featuresByContracts)) {
        it(`enables nothing that the deployment does not ask for: ${contracts}`, () => {
            expect(decodeSettings(`${contracts}\n${text}`, "local.toml")._unsafeUnwrap()).to.include(expected);
        });
    }

    it("is rejected with every invalid field, its value and the expected form", () => {
        const broken = text.replace("zone = \"a\"\n", "").replace("10.1.0.10:8167", "nowhere").replace("cpu_share = 0.54", "cpu_share = 0");
        expect(decodeSettings(broken, "local.toml")._unsafeUnwrapErr().message).toMatchSnapshot();
    });

    it("is rejected when a bound is not a number, or when the file is not TOML", () => {
        expect(decodeSettings(text.replace("grace_s=6", "grace_s=soon"), "local.toml")._unsafeUnwrapErr().message).toMatchSnapshot();
        expect(decodeSettings("= 1", "local.toml")._unsafeUnwrapErr().message).to.match(/^is not TOML/);
    });
});
