import { expect } from "chai";
import fc from "fast-check";
import type { RouteId, ServiceId } from "../../src/model/names.js";
import type { Route, RoutingConfig } from "../../src/model/routing.js";
import { anyHost, createRouteTable } from "../../src/routing/routeTable.js";
import { Splitter } from "../../src/routing/splitter.js";
import { SeededRandom } from "../support/seededRandom.js";

function route(name: string, pathPrefix: string, weights: Record<string, number> = { main: 1 }): Route {
    return {
        routeId: name as RouteId, hostName: "one.example", pathPrefix, idempotent: true, timeoutMs: 1_000, targetLatencyMs: 300,
        priority: 2, maxAttempts: 2,
        backends: Object.entries(weights).map(([serviceId, weight]) => ({ serviceId: serviceId as ServiceId, weight })),
    };
}

function tableOf(...routes: Route[]) {
    return createRouteTable({ routes } as unknown as RoutingConfig);
}

describe("route table", () => {
    const table = tableOf(route("root", "/"), route("a", "/a/"), route("ab", "/a/b/"));

    const cases: [path: string, expected: string][] = [
        ["/a/b/c", "ab"], ["/a/b/", "ab"], ["/a/b", "a"], ["/a/bc/d", "a"], ["/a", "root"], ["/x?y=/a/b/", "root"], ["/a/?y=/b/", "a"],
    ];
    for (const [path, expected] of cases) {
        it(`finds the route with the longest prefix of ${path}`, () => {
            expect(table.find("one.example", path, "GET")?.routeId).to.equal(expected);
        });
    }

    // Guards against one client that keeps a host busy: a path of 15,000 slashes, each prefix of which was looked up (FINDINGS 3).
    it("looks at no more of a path than the longest prefix has", () => {
        const startedMs = performance.now();
        for (let count = 0; count < 20; count++) {
            expect(table.find("one.example", `/a/${"/".repeat(15_000)}`, "GET")?.routeId).to.equal("a");
            expect(table.find("one.example", "/".repeat(15_000), "GET")?.routeId).to.equal("root");
        }
        expect(performance.now() - startedMs).to.be.below(200);
    });

    it("finds the route with the longest of all prefixes that match, whatever the path", () => {
        const prefixes = ["/", "/a/", "//", "/a/b/", "/b//a/", "/a/b/a/b/"];
        const routes = tableOf(...prefixes.map((prefix) => route(prefix, prefix)));
        fc.assert(fc.property(fc.array(fc.constantFrom("/", "a", "b", "?"), { maxLength: 14 }), (characters) => {
            const path = `/${characters.join("")}`;
            const matching = prefixes.filter((prefix) => (path.split("?", 1)[0] ?? "").startsWith(prefix));
            const longest = matching.reduce((left, right) => right.length > left.length ? right : left);
            expect(routes.find("one.example", path, "GET")?.routeId).to.equal(longest);
        }));
    });

    it("matches the exact host name, ignoring case and port", () => {
        expect(table.find("ONE.example:8080", "/a/x", "GET")?.routeId).to.equal("a");
        expect(table.find("two.example", "/a/x", "GET")).to.equal(undefined);
    });

    it("falls back to routes of any host name, and distinguishes methods", () => {
        const routes = tableOf(
            route("named", "/a/"),
            { ...route("read", "/v1/"), hostName: anyHost, method: "GET" },
            { ...route("order", "/v1/"), hostName: anyHost, method: "POST" },
        );
        expect(routes.find("one.example", "/v1/x", "POST")?.routeId).to.equal("order");
        expect(routes.find("two.example", "/v1/x", "GET")?.routeId).to.equal("read");
        expect(routes.find("two.example", "/v1/x", "DELETE")).to.equal(undefined);
    });

    it("finds no route when no prefix matches", () => {
        expect(tableOf(route("a", "/a/")).find("one.example", "/b/", "GET")).to.equal(undefined);
    });
});

describe("splitter", () => {
    it("keeps to the weights in any sequence of requests, with a deviation of at most one request per backend", () => {
        fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 2, maxLength: 4 }), fc.integer({ min: 1, max: 300 }),
            fc.double({ min: 0, max: 0.999, noNaN: true }), (weights, requests, randomValue) => {
                const splitter = new Splitter(() => randomValue);
                const split = route("split", "/", Object.fromEntries(weights.map((weight, index) => [`s${String(index)}`, weight])));
                const counts = new Map<string, number>();
                for (let sent = 0; sent < requests; sent++) {
                    const chosen = splitter.choose(split) ?? "";
                    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
                }
                const total = weights.reduce((sum, weight) => sum + weight, 0);
                weights.forEach((weight, index) => {
                    expect(counts.get(`s${String(index)}`) ?? 0).to.be.closeTo(requests * weight / total, weights.length);
                });
            }));
    });

    it("applies changed weights", () => {
        const splitter = new Splitter(() => 0);
        splitter.choose(route("split", "/", { old: 9, young: 1 }));
        const chosen = Array.from({ length: 20 }, () => splitter.choose(route("split", "/", { old: 0, young: 1 })));
        expect(new Set(chosen)).to.deep.equal(new Set(["young"]));
    });

    it("chooses no service when all weights are 0", () => {
        expect(new Splitter(() => 0).choose(route("split", "/", { old: 0, young: 0 }))).to.equal(undefined);
    });

    for (const hosts of [11, 70, 195]) {
        it(`keeps to the weights across ${String(hosts)} hosts with three requests each`, () => {
            const random = new SeededRandom(hosts);
            const split = route("split", "/", { old: 70, young: 30 });
            const splitters = Array.from({ length: hosts }, () => new Splitter(() => random.uniform()));
            const chosen = [0, 1, 2].flatMap(() => splitters.map((splitter) => splitter.choose(split)));
            const share = chosen.filter((serviceId) => serviceId === "old").length / chosen.length;
            expect(share).to.be.closeTo(0.7, 0.1);
        });
    }
});
