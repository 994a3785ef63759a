/**
 * Watches an attempt that waits for its response on a direct connection. If this host is cut off from targets, nothing arrives on the
 * connection, and neither the target's slot nor the request should wait for that.
 */
import type { TargetEntry } from "../model/target.js";
import type { TargetPath } from "../reachability/reachabilityBelief.js";

/** An attempt is not in doubt before this time, nor before a multiple of its expected duration. */
const minDoubtAfterMs = 300;
const doubtRatio = 2;

/** Interval at which an attempt in doubt is looked at. */
const checkIntervalMs = 100;

/** What is known of this host's paths to targets. */
export interface TargetPaths {
    /** Returns what is believed of the path to a target. */
    pathTo(targetId: TargetEntry["targetId"]): TargetPath;
    /** Tells whether nothing has been heard from any target for a while. */
    isQuiet(): boolean;
    /** Records that a target has sent something on a direct connection. */
    recordHeard(targetId: TargetEntry["targetId"]): void;
    /** Finds out whether the path to a target or the target is to blame for its silence. */
    check(target: TargetEntry): Promise<void>;
}

/** Stops watching. */
export type StopWatching = () => void;

/**
 * Watches an attempt until it is stopped.
 * @param expectedMs expected duration of the attempt
 * @param onLost called once when the path is known to be broken and nothing arrives on it
 */
export function watchPath(paths: TargetPaths, target: TargetEntry, expectedMs: number, onLost: () => void): StopWatching {
    let isStopped = false;
    let timer: NodeJS.Timeout | undefined;
    const isSevered = () => paths.pathTo(target.targetId) === "severed";

    const look = async () => {
        if (paths.isQuiet() && !isSevered()) {
            await paths.check(target);
        }
        if (isStopped) {
            return;
        }
        if (paths.isQuiet() && isSevered()) {
            onLost();
            return;
        }
        lookAfter(checkIntervalMs);
    };

    const lookAfter = (durationMs: number) => {
        timer = setTimeout(() => {
            void look();
        }, durationMs);
    };

    lookAfter(Math.max(minDoubtAfterMs, expectedMs * doubtRatio));
    return () => {
        isStopped = true;
        clearTimeout(timer);
    };
}
