/**
 * Schemas of single values that other programs write. Each value has the range that it can mean; outside of it a record or message is
 * not believed, so that nothing behind the decoders has to expect such a value.
 */
import net from "node:net";
import * as z from "zod/mini";
import "./zodLocale.js";
import { maxKey } from "./names.js";

/** Largest number of characters of an id or a name. Keys of the store, which hold at most 255 bytes, are composed of such ids. */
const maxNameChars = 128;

const maxPort = 65_535;

/** Longest duration that others may state, 11 days. Timers overflow after 2^31 - 1 ms, and then fire at once. */
const maxDurationMs = 1_000_000_000;

/** 2100-01-01. Later times are seconds, microseconds or noise taken for milliseconds. */
const maxWallMs = 4_102_444_800_000;

/** Requests that one target may process concurrently, or connections that it may accept. */
const maxConcurrency = 100_000;

/** Number of entries that one process may write; one that writes a thousand a second takes 30 years for it. */
const maxSequence = 1_000_000_000_000;

/** A count of routes, attempts or ranks. */
const maxCount = 1_000_000;

const maxWeight = 1_000_000_000;

const idPattern = /^[\x21-\x7e]{1,128}$/;

/** Id that travels in headers: visible ASCII characters, which cannot end a header or hide in a log line. */
export const idSchema = z.string().check(z.regex(idPattern, "must be 1 to 128 visible ASCII characters"));

/** Name that is compared, counted and logged, but never sent in a header. */
export const nameSchema = z.string().check(
    z.maxLength(maxNameChars), z.regex(/^[^\p{Cc}\p{Zl}\p{Zp}]+$/u, "must not be empty or have control characters"));

/** Address of a target: an IPv4 address that one host can have, and a port. */
export const ipAddressSchema = z.string().check(z.refine(isIpAddress, "must be an IPv4 address of one host, and a port from 1 to 65535"));

/** Address with an IPv4 address or a host name. */
export const addressSchema = z.string().check(z.refine(
    (address) => isIpAddress(address) || isNamedAddress(address), "must be an IPv4 address or host name, and a port from 1 to 65535"));

export const slotsSchema = z.int().check(z.gte(1), z.lte(maxConcurrency));
export const sequenceSchema = z.int().check(z.gte(0), z.lte(maxSequence));
export const countSchema = z.int().check(z.gte(0), z.lte(maxCount));
export const positiveCountSchema = z.int().check(z.gte(1), z.lte(maxCount));
export const weightSchema = z.number().check(z.gte(0), z.lte(maxWeight));
export const rateSchema = z.number().check(z.positive(), z.lte(maxCount));
export const durationMsSchema = z.number().check(z.gte(0), z.lte(maxDurationMs));
export const positiveDurationMsSchema = z.number().check(z.positive(), z.lte(maxDurationMs));
/** Time of another program's wall clock; it may have a fraction. */
export const wallMsSchema = z.number().check(z.gte(0), z.lte(maxWallMs));
export const keySchema = z.int().check(z.gte(0), z.lte(maxKey));
/** Position in a topic; -1 stands for none. */
export const offsetSchema = z.int().check(z.gte(-1));

/** Tells whether a text can be the id of a target. */
export function isId(text: string): boolean {
    return idPattern.test(text);
}

/** Tells whether a value is a duration in milliseconds. */
export function isDurationMs(value: unknown): boolean {
    return durationMsSchema.safeParse(value).success;
}

/** Splits an address; undefined if it is none. */
export function parseAddress(address: string): { host: string; port: number } | undefined {
    const [host, port] = splitAddress(address);
    return isIpAddress(address) || isNamedAddress(address) ? { host, port: Number(port) } : undefined;
}

/** Tells whether an address has an IPv4 address without leading zeros that one host can have, and a port. */
function isIpAddress(address: string): boolean {
    const [host, port] = splitAddress(address);
    const firstOctet = Number(host.split(".", 1)[0]);
    return net.isIPv4(host) && firstOctet > 0 && firstOctet < firstGroupOctet && isPort(port);
}

/** First octet of the first address that stands for a group of hosts, or for none. */
const firstGroupOctet = 224;

const hostNamePattern = /^(?=.{1,253}$)([A-Za-z0-9_-]{1,63}\.)*[A-Za-z0-9_-]*[A-Za-z_-][A-Za-z0-9_-]*$/;

function isNamedAddress(address: string): boolean {
    const [host, port] = splitAddress(address);
    return hostNamePattern.test(host) && isPort(port);
}

function splitAddress(address: string): [host: string, port: string] {
    const colon = address.indexOf(":");
    return colon < 0 ? [address, ""] : [address.slice(0, colon), address.slice(colon + 1)];
}

function isPort(text: string): boolean {
    return /^[1-9][0-9]{0,4}$/.test(text) && Number(text) <= maxPort;
}
