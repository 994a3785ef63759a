/** HTTP servers for operators and for the readiness check of the platform's load balancer. */
import http from "node:http";

/** Provides the contents of the pages for operators. */
export interface AdminView {
    /** Why the host accepts no clients; undefined if it accepts them. */
    unreadyReason(): string | undefined;
    dump(): object;
    metrics(): Promise<string>;
}

/** Status, content type and body of a response. */
type Page = [status: number, type: string, text: string];

const pages: Record<string, (view: AdminView) => Page | Promise<Page>> = {
    "/livez": () => [200, "application/json", JSON.stringify({ live: true })],
    "/readyz": (view) => {
        const why = view.unreadyReason();
        return [why === undefined ? 200 : 503, "application/json", JSON.stringify({ ready: why === undefined, why })];
    },
    "/dump": (view) => [200, "application/json", JSON.stringify(view.dump(), undefined, 2)],
    "/metrics": async (view) => [200, "text/plain; version=0.0.4", await view.metrics()],
};

/**
 * Creates the HTTP server for operators.
 * @param view provides the contents of the pages
 */
export function createAdminHttp(view: AdminView): http.Server {
    return http.createServer((request, response) => {
        const page = pages[(request.url ?? "/").split("?", 1)[0] as string];
        const respond = async () => {
            const [status, type, text] = page === undefined
                ? [404, "text/plain", `Pages: ${Object.keys(pages).join(" ")}\n`]
                : await page(view);
            response.writeHead(status, { "Content-Type": type }).end(text);
        };
        respond().catch((error: unknown) => {
            response.writeHead(500).end(String(error));
        });
    });
}

/**
 * Creates the HTTP server for the load balancer's readiness check. It responds with 200 if this host accepts clients, else with 503.
 * @param isReady called for each request
 */
export function createReadyHttp(isReady: () => boolean): http.Server {
    return http.createServer((_request, response) => {
        response.writeHead(isReady() ? 200 : 503, { "Content-Length": "0" }).end();
    });
}
