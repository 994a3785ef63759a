/** Keeps an unexpected error of a decoder from ending the reading of a topic. */
import type { Result } from "neverthrow";
import { err } from "neverthrow";
import type { Failure } from "../model/failure.js";
import { failure } from "../model/failure.js";

const maxLoggedErrorChars = 200;

/** Describes an error that no decoder should throw. */
export function describeUnexpected(error: unknown): string {
    return `unexpected error: ${String(error).slice(0, maxLoggedErrorChars)}`;
}

/** Decodes a record; an unexpected error makes it a record that cannot be decoded, so that it does not keep the others from being read. */
export function decodeSafely<T>(key: string, decode: () => Result<T, Failure>): Result<T, Failure> {
    try {
        return decode();
    }
    catch (error) {
        return err(failure("invalid", "parse", key, describeUnexpected(error)));
    }
}
