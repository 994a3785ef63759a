/** Branded identifiers of the router. */

declare const brand: unique symbol;

/** A value of type `T` that cannot be mixed up with another identifier of the same shape. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** A host that runs the router. */
export type HostId = Branded<string, "HostId">;

/** One run of the router's process on a host; a restart makes a new one. */
export type RunId = Branded<string, "RunId">;

/** A data centre; hosts and targets stand in one. */
export type DataCentreId = Branded<string, "DataCentreId">;

/** A process that requests are forwarded to. */
export type TargetId = Branded<string, "TargetId">;

/** A set of targets that serve the same requests. */
export type ServiceId = Branded<string, "ServiceId">;

/** An entry of the routing configuration. */
export type RouteId = Branded<string, "RouteId">;

/** One attempt of a client account; every attempt has its own. */
export type RequestId = Branded<string, "RequestId">;

/** An IP number and a port, such as `10.0.0.7:7100`. */
export type Address = Branded<string, "Address">;

/** Position of a record in a topic of the store. The first record has offset 0. */
export type Offset = Branded<number, "Offset">;

/** Number of a coordinator's term; a later coordinator has a higher one. */
export type Term = Branded<number, "Term">;

/** Fencing token of a grant. */
export type Fence = Branded<number, "Fence">;

/** A key of a sharded service, from 0 to `maxKey`. */
export type Key = Branded<number, "Key">;

/** The largest key. */
export const maxKey = 65_535 as Key;

/** A range of keys; both ends belong to it. */
export interface KeyRange {
    readonly from: Key;
    readonly to: Key;
}

/** Every key. */
export const allKeys: KeyRange = { from: 0 as Key, to: maxKey };
