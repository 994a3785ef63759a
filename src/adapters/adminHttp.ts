/** The operators' interface of a daemon: liveness, readiness and a dump of its state. */
import Hapi from "@hapi/hapi";

/** What a daemon shows to operators. */
export interface AdminView {
    /** Why the daemon cannot serve, or undefined when it can. */
    unreadyBecause(): string | undefined;
    dump(): object;
}

/**
 * Listens for operators.
 * @param address IP number and port
 * @param view what to show
 * @returns the started HTTP server
 */
export async function listenAdmin(address: string, view: AdminView): Promise<Hapi.Server> {
    const [host, port] = address.split(":");
    const server = Hapi.server({ host, port: Number(port) });
    server.route([
        { method: "GET", path: "/livez", handler: () => ({ live: true }) },
        {
            method: "GET",
            path: "/readyz",
            handler: (_request, h) => {
                const why = view.unreadyBecause();
                return why === undefined ? { ready: true } : h.response({ ready: false, why }).code(503);
            },
        },
        { method: "GET", path: "/dump", handler: () => view.dump() },
    ]);
    await server.start();
    return server;
}
