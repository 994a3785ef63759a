/** Reads dumps from the hosts' admin pages over HTTP. */
import Wreck from "@hapi/wreck";
import { err, ok } from "neverthrow";
import { failure } from "../model/failure.js";
import type { DumpPort, HostDump } from "./session.js";

const callTimeoutMs = 1_500;
const maxDumpBytes = 16_777_216;
const okStatus = 200;

/** Creates the HTTP implementation of `DumpPort`. */
export function createDumpHttp(): DumpPort {
    return {
        dump: async (address) => {
            try {
                const response = await Wreck.request("GET", `http://${address}/dump`, { timeout: callTimeoutMs });
                const body = await Wreck.read(response, { timeout: callTimeoutMs, maxBytes: maxDumpBytes });
                return response.statusCode === okStatus
                    ? ok(JSON.parse(body.toString("utf8")) as HostDump)
                    : err(failure("unreachable", "admin-call", address, `status ${String(response.statusCode)}`));
            }
            catch (error) {
                return err(failure("unreachable", "admin-call", address, error instanceof Error ? error.message : String(error)));
            }
        },
    };
}
