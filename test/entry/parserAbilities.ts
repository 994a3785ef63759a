/** What the HTTP parser of the runtime takes: versions of Node.js with different parsers differ. */
import { once } from "node:events";
import http from "node:http";
import type { AddressInfo } from "node:net";
import net from "node:net";

/** Returns whether the parser takes bytes beyond ASCII in a path, which are no valid URI (RFC 3986) and were long let through. */
export async function parsesBytesBeyondAscii(): Promise<boolean> {
    const server = http.createServer((_request, response) => {
        response.end();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const client = net.connect((server.address() as AddressInfo).port, "127.0.0.1");
    client.write(Buffer.from("GET /\u00e9 HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\n\r\n", "latin1"));
    let text = "";
    for await (const bytes of client) {
        text += String(bytes);
    }
    server.close();
    return text.startsWith("HTTP/1.1 200");
}

/** Returns whether the parser knows a method. */
export function parsesMethod(method: string): boolean {
    return http.METHODS.includes(method);
}
