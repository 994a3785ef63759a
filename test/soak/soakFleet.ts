/** The fleet of a soak run: hosts and servers, each behind a proxy that faults can be injected into. */
import http from "node:http";
import type { ServerStandIn } from "../../platform/standins/serverStandIn.js";
import type { Fleet, FleetHost } from "../fleet/fleet.js";
import { keyedService } from "../fleet/fleet.js";
import { FaultProxy } from "./faultProxy.js";

/** Data centre of every other server, which is evacuated now and then; the hosts and the other servers are in `here`. */
export const evacuatedZone = "there";

/** A fleet behind proxies. */
export class SoakFleet {
    readonly logFiles = new Set<string>();
    /** Proxies for the store connections of the hosts, and for the connections to the servers, by name. */
    readonly storeProxies = new Map<string, FaultProxy>();
    readonly serverProxies = new Map<string, FaultProxy>();
    /** Keep the clients' connections to a host open until its process ends. */
    readonly agents = new Map<FleetHost, http.Agent>();
    /** Servers that have ended; the requests that they ran still count in the checks. */
    readonly endedServers: ServerStandIn[] = [];
    private lastServerNumber = 0;

    constructor(readonly fleet: Fleet) {}

    async addHost(name: string): Promise<FleetHost> {
        const proxy = this.storeProxies.get(name) ?? await FaultProxy.start();
        proxy.upstreamAddress = this.fleet.store.address;
        this.storeProxies.set(name, proxy);
        const host = await this.fleet.startHost(name, proxy.address, { isCuttable: true });
        this.agents.set(host, new http.Agent({ keepAlive: true, maxSockets: 20 }));
        this.logFiles.add(host.logFile);
        return host;
    }

    async addServer(service: string): Promise<ServerStandIn> {
        this.lastServerNumber += 1;
        const id = `${service}-${String(this.lastServerNumber)}`;
        const proxy = await FaultProxy.start();
        this.serverProxies.set(id, proxy);
        const server = await this.fleet.addServer({
            id, service, sharded: service === keyedService, zone: this.lastServerNumber % 2 === 0 ? evacuatedZone : "here",
            directory: {
                put: (topic, key, value) => {
                    this.fleet.store.put(topic, key, value === undefined ? undefined : { ...value, address: proxy.address });
                },
            },
        });
        proxy.upstreamAddress = server.address;
        return server;
    }

    /** Ends a server without notice. */
    async endServer(server: ServerStandIn): Promise<void> {
        this.fleet.servers.splice(this.fleet.servers.indexOf(server), 1);
        this.endedServers.push(server);
        await server.crash();
    }

    /** Counts the times that servers ran a request. */
    countRuns(id: string): number {
        return this.fleet.countRuns(id)
            + this.endedServers.reduce((sum, { runs }) => sum + runs.filter(({ requestId }) => requestId === id).length, 0);
    }

    stopProxies(): void {
        [...this.storeProxies.values(), ...this.serverProxies.values()].forEach((proxy) => {
            proxy.stop();
        });
        this.agents.forEach((agent) => {
            agent.destroy();
        });
    }
}
