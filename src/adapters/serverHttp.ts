/** Servers that own keys, over HTTP. */
import { createHash } from "node:crypto";
import http from "node:http";
import { err } from "neverthrow";
import type { TargetId } from "../model/ids.js";
import type { Step } from "../model/failure.js";
import { failure } from "../model/failure.js";
import type { CancelAnswer, ServerAnswer, ServerPort } from "../coordinator/serverPort.js";
import { stepOfWork } from "../coordinator/serverPort.js";
import type { HeartbeatReply } from "../ownership/messages.js";
import { callJson } from "./httpJson.js";

const idleSocketMs = 10_000;
const maxAnswerBytes = 4_194_304;

/** Where a server is, and how many connections this host may hold to it. */
export interface ServerEndpoint {
    address: string;
    maxConnections: number;
}

/**
 * Creates the port to the servers. Heartbeats have a connection of their own, so that work never delays a lease.
 * @param endpointOf looks up a server
 * @returns the port
 */
export function createServerHttp(endpointOf: (server: TargetId) => ServerEndpoint | undefined): ServerPort {
    const workAgents = new Map<TargetId, http.Agent>();
    const heartbeatAgents = new Map<TargetId, http.Agent>();

    const agentFor = (agents: Map<TargetId, http.Agent>, server: TargetId, maxSockets: number): http.Agent => {
        const known = agents.get(server);
        if (known !== undefined) {
            return known;
        }
        const agent = new http.Agent({ keepAlive: true, maxSockets, scheduling: "lifo", timeout: idleSocketMs });
        agents.set(server, agent);
        return agent;
    };

    const post = async <T>(server: TargetId, path: string, payload: object, step: Step, timeoutMs: number, agentOf: AgentChoice) => {
        const endpoint = endpointOf(server);
        if (endpoint === undefined) {
            return err(failure("unreachable", step, server, "the configuration does not name this server"));
        }
        return callJson<T>({
            method: "POST", url: `http://${endpoint.address}${path}`, payload, step, peer: server, timeoutMs, maxAnswerBytes,
            agent: agentOf(endpoint),
        });
    };

    return {
        heartbeat: (server, request, timeoutMs) =>
            post<HeartbeatReply>(server, "/heartbeat", request, "heartbeat", timeoutMs, () => agentFor(heartbeatAgents, server, 1)),
        send: (server, work, timeoutMs) =>
            post<ServerAnswer>(server, "/work", work, stepOfWork[work.kind], timeoutMs,
                (endpoint) => agentFor(workAgents, server, endpoint.maxConnections)),
        cancel: (server, requestId, timeoutMs) =>
            post<CancelAnswer>(server, "/cancel", { requestId }, "order-cancel", timeoutMs, () => new http.Agent({ keepAlive: false })),
        dropIdle: (server) => {
            for (const agents of [workAgents, heartbeatAgents]) {
                dropFreeSockets(agents.get(server));
                agents.delete(server);
            }
        },
        digestOf: (body) => createHash("sha256").update(body).digest("hex"),
    };
}

type AgentChoice = (endpoint: ServerEndpoint) => http.Agent;

/** Work in flight keeps its socket; only the idle ones are closed. */
function dropFreeSockets(agent: http.Agent | undefined): void {
    for (const sockets of Object.values(agent?.freeSockets ?? {})) {
        sockets?.forEach((socket) => socket.destroy());
    }
}
