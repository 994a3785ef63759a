/** Port to the formats of the records that other programs write to the store. */
import type { Result } from "neverthrow";
import type { Failure } from "../model/failure.js";
import type { DataCentreId } from "../model/names.js";
import type { RoutingConfig } from "../model/routing.js";
import type { TargetEntry } from "../model/target.js";

/** Decoders of records, one for each topic. */
export interface RecordDecoders {
    /** Returns undefined for a key that holds no configuration. */
    configuration(key: string, value: Buffer): Result<RoutingConfig | undefined, Failure>;
    /**
     * Returns the data centre that a record of the configuration topic evacuates, or whose evacuation it ends if it has no value; undefined
     * for other keys.
     */
    evacuation(key: string, value: Buffer | undefined): Result<DataCentreId | undefined, Failure>;
    target(key: string, value: Buffer): Result<TargetEntry, Failure>;
}
