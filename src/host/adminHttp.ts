/** Small HTTP listeners for operators and for the platform's balancer. */
import http from "node:http";

/** What operators may ask for. */
export interface AdminView {
    /** Why the host takes no clients, or undefined when it does. */
    unreadyBecause(): string | undefined;
    dump(): object;
    metrics(): Promise<string>;
}

/** Status, type and text of an answer. */
type Page = [status: number, type: string, text: string];

const pages: Record<string, (view: AdminView) => Page | Promise<Page>> = {
    "/livez": () => [200, "application/json", JSON.stringify({ live: true })],
    "/readyz": (view) => {
        const why = view.unreadyBecause();
        return [why === undefined ? 200 : 503, "application/json", JSON.stringify({ ready: why === undefined, why })];
    },
    "/dump": (view) => [200, "application/json", JSON.stringify(view.dump(), undefined, 2)],
    "/metrics": async (view) => [200, "text/plain; version=0.0.4", await view.metrics()],
};

/**
 * Creates the listener for operators.
 * @param view what they may ask for
 */
export function createAdminHttp(view: AdminView): http.Server {
    return http.createServer((request, response) => {
        const page = pages[(request.url ?? "/").split("?", 1)[0] as string];
        const answer = async () => {
            const [status, type, text] = page === undefined
                ? [404, "text/plain", `Pages: ${Object.keys(pages).join(" ")}\n`]
                : await page(view);
            response.writeHead(status, { "Content-Type": type }).end(text);
        };
        answer().catch((error: unknown) => {
            response.writeHead(500).end(String(error));
        });
    });
}

/**
 * Creates the listener that tells the balancer whether this host takes clients.
 * @param isReady asked at each request
 */
export function createReadyHttp(isReady: () => boolean): http.Server {
    return http.createServer((_request, response) => {
        response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" }).end();
    });
}

/**
 * Starts a listener.
 * @param server the listener
 * @param address IP number and port
 */
export function listen(server: http.Server, address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, resolve);
    });
}
