/** HTTP status of each refusal by this host. */
import type { RefusalReason } from "./clientCall.js";

/** HTTP status by reason. 429, 503, 408 and 421 tell the client that the request did not run. */
export const statusByReason: Record<RefusalReason, number> = {
    "no-route": 404,
    "no-key": 400,
    "body-too-large": 413,
    "body-late": 408,
    "not-ready": 503,
    "config-unconfirmed": 503,
    "no-target": 503,
    "owner-unknown": 503,
    "owner-silent": 503,
    "target-paused": 503,
    "overloaded": 503,
    "capacity-reserved": 503,
    "rate-limited": 503,
    "too-late": 503,
    "rejected": 503,
    "unreachable": 503,
    "stopping": 503,
    "quarantined": 503,
    "host-full": 503,
    "host-late": 503,
    "timed-out": 504,
    "lost": 502,
};
