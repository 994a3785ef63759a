/** One host with a scripted target on a route whose requests must not run twice, for tests of what clients get from faulty targets. */
import { topics } from "../../platform/names.js";
import type { FleetHost } from "./fleet.js";
import { buildRoutingConfig, Fleet, plainService, send } from "./fleet.js";
import type { ScriptedTarget } from "./scriptedTarget.js";
import { startScriptedTarget } from "./scriptedTarget.js";

/** Path prefix of the route to the service without keys whose requests must not run twice. */
export const writePath = "/write/";

/** A running host and its scripted target, which is registered as `scripted`. */
export interface ScriptedFleet {
    fleet: Fleet;
    target: ScriptedTarget;
    host: FleetHost;
}

function buildConfig(): object {
    const config = buildRoutingConfig(1) as { routes: { rows: unknown[][] } };
    config.routes.rows.push(["r-write", "fleet.example", writePath, "unsafe", 3_000, 500, 1, plainService, 1, undefined]);
    return config;
}

/**
 * Starts a host and a scripted target before the tests of a suite, and stops them after these.
 * @param onStarted called once the host uses the target
 */
export function useScriptedFleet(onStarted: (started: ScriptedFleet) => void): void {
    let fleet: Fleet;
    let target: ScriptedTarget;

    before(async () => {
        fleet = await Fleet.start(1, 1, 0);
        fleet.store.put(topics.configuration, "config", buildConfig());
        target = await startScriptedTarget(fleet.store, "scripted", plainService);
        const [host] = fleet.hosts as [FleetHost];
        await fleet.waitUntil("the scripted target is used", async () =>
            (await send(host, { id: `first-${String(performance.now())}`, path: `${writePath}x`, method: "POST" })).status === 200);
        onStarted({ fleet, target, host });
    });

    after(async () => {
        target.stop();
        await fleet.stop();
    });
}
