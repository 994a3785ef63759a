/** Tracks when it was last confirmed that this host knows the configuration in force. */
/** Confirmations of a host's configuration. */
export class ConfigAge {
    private confirmedAtMs = Number.NEGATIVE_INFINITY;
    private coordinatorVersion = Number.NEGATIVE_INFINITY;
    private hasJoined = false;

    /**
     * The store, or a coordinator that knows no newer configuration than this host, has confirmed this host's configuration.
     * @param atMs monotonic time of the confirmation
     */
    confirm(atMs: number): void {
        this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    }

    /**
     * Called with each update of a coordinator.
     * @param coordinatorVersion version of the coordinator's configuration
     * @param knownVersion version of this host's configuration
     * @param storeConfirmedAtMs monotonic time at which the store last confirmed the coordinator's configuration
     */
    recordNews(coordinatorVersion: number, knownVersion: number, storeConfirmedAtMs: number): void {
        this.coordinatorVersion = coordinatorVersion;
        if (coordinatorVersion <= knownVersion) {
            this.confirm(storeConfirmedAtMs);
        }
    }

    /** Called when this host follows a coordinator, or coordinates. */
    recordJoined(): void {
        this.hasJoined = true;
    }

    /**
     * Returns the time since the last confirmation. It is infinite until this host has joined the other hosts, and while the coordinator
     * has a newer configuration: a store that was restored from an older copy can hold an older configuration than they know.
     * @param knownVersion version of this host's configuration
     * @param nowMs current monotonic time
     */
    ageMs(knownVersion: number, nowMs: number): number {
        return this.hasJoined && this.coordinatorVersion <= knownVersion ? nowMs - this.confirmedAtMs : Number.POSITIVE_INFINITY;
    }
}
