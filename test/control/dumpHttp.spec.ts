import { once } from "node:events";
import net from "node:net";
import { expect } from "chai";
import { createDumpHttp } from "../../src/control/dumpHttp.js";
import type { Address } from "../../src/model/names.js";

describe("the dump of a host", () => {
    for (const [status, outcome] of [["200", "ok"], ["000", "unreachable"], ["503", "unreachable"], ["999", "unreachable"]] as const) {
        // Guards against an answer that is shown for a host's state, though the host is in trouble.
        it(`is ${outcome} if the admin page answers with the status ${status}`, async () => {
            const server = net.createServer((socket) => {
                socket.on("data", () => socket.end(`HTTP/1.1 ${status} Some\r\nContent-Length: 2\r\n\r\n{}`));
            });
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
            const dump = await createDumpHttp().dump(`127.0.0.1:${String((server.address() as net.AddressInfo).port)}` as Address);
            expect(dump.isErr() ? dump.error.kind : "ok").to.equal(outcome);
            server.close();
        });
    }
});
