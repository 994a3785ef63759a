/** Names under which the composition roots register what the services need. */

/** Injection tokens. */
export const tokens = {
    self: Symbol("self"),
    clock: Symbol("clock"),
    log: Symbol("log"),
    hostList: Symbol("hostList"),
    linkFactory: Symbol("linkFactory"),
    servers: Symbol("servers"),
    targets: Symbol("targets"),
    journal: Symbol("journal"),
    random: Symbol("random"),
    guardsOut: Symbol("guardsOut"),
    snapshotEveryMs: Symbol("snapshotEveryMs"),
} as const;
