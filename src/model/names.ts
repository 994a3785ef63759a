/** Branded types for identifiers and other values that must not be confused with each other. */

declare const brand: unique symbol;

/** A value of type `T` that is not assignable to another branded type over `T`. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Id of a host, a machine that runs the router. */
export type HostId = Branded<string, "HostId">;

/** Id of one run of the router's process on a host; every restart gets a new one. */
export type RunId = Branded<string, "RunId">;

/** Id of a data centre; every host and target is in one. */
export type DataCentreId = Branded<string, "DataCentreId">;

/** Id of a target, a back-end server that requests are forwarded to. */
export type TargetId = Branded<string, "TargetId">;

/** Id of a service, a set of targets that serve the same requests. */
export type ServiceId = Branded<string, "ServiceId">;

/** Id of a route in the routing configuration. */
export type RouteId = Branded<string, "RouteId">;

/** Id of one request of a client. A retry by the client has a new id; a retry by this host keeps the id. */
export type RequestId = Branded<string, "RequestId">;

/** An IP address and a port, such as `10.0.0.7:7100`. */
export type Address = Branded<string, "Address">;

/** How often the store has come back from an older copy. */
export type Era = Branded<number, "Era">;

/** Position in a topic of the store: an era, and an offset within it; see `storePosition.ts`. The first record of era 0 has offset 0. */
export type Offset = Branded<number, "Offset">;

/** Number of a coordinator's term; each new term has a higher number. */
export type Term = Branded<number, "Term">;

/** Fencing token of a lease. */
export type FencingToken = Branded<number, "FencingToken">;

/** A key of a sharded service, from 0 to `maxKey`. */
export type Key = Branded<number, "Key">;

/** The largest key. */
export const maxKey = 65_535 as Key;

/** A range of keys; both ends are inclusive. */
export interface KeyRange {
    readonly from: Key;
    readonly to: Key;
}

/** The range of all keys. */
export const allKeys: KeyRange = { from: 0 as Key, to: maxKey };
