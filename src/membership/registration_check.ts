/**
 * Decides whether a registration names a server that requests can be sent to.
 * Registrations come from any writer, from control hosts of other builds and
 * from files, and each value is sent on: in messages, in headers and to the
 * operating system.
 */
import { type Registration, ServerState } from "../schema/mod.ts";

/** Longest id, service, data centre or software version, in UTF-16 units. */
const MAX_TEXT_LENGTH = 256;

/** Most slots of a server; far more than any engine runs at a time. */
const MAX_SLOTS = 65_536;

const MAX_PORT = 65_535;

/** Exclusive limit of unsigned 64-bit numbers. */
const UINT64_LIMIT = 1n << 64n;

/** The id is sent as the value of a header. */
const ID_PATTERN = /^[\x21-\x7e]+$/;

/** Control characters and lone surrogates, which no encoding keeps. */
const FORBIDDEN_TEXT_PATTERN = /[\p{Cc}\p{Cs}]/u;

/** A name, an IPv4 address or an IPv6 address in brackets, and a port. */
const ADDRESS_PATTERN = /^([\w.-]+|\[[\da-fA-F:.]+\]):([1-9]\d{0,4})$/;
const NUMERIC_HOST_PATTERN = /^[\d.]+$/;
const IPV4_PATTERN =
  /^(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)){3}$/;

const KNOWN_STATES: ReadonlySet<number> = new Set([
  ServerState.READY,
  ServerState.DRAINING,
  ServerState.GONE,
]);

/** Returns why a registration names no usable server; undefined if it does. */
export function tryFindRegistrationError(
  registration: Registration,
): string | undefined {
  const { id, state, address, service, slots } = registration;
  const { dataCentre, softwareVersion, bornMs, sequence } = registration;
  if (!isText(id) || !ID_PATTERN.test(id)) return describe("id", id);
  if (!KNOWN_STATES.has(state)) return describe("state", state);
  if (!isUint64(bornMs)) return describe("start time", bornMs);
  if (!isUint64(sequence)) return describe("sequence number", sequence);
  if (!Number.isInteger(slots) || slots < 0 || slots > MAX_SLOTS) {
    return describe("number of slots", slots);
  }
  const texts = { service, dataCentre, softwareVersion };
  const invalid = Object.entries(texts).find(([, text]) => !isText(text));
  if (invalid !== undefined) return describe(...invalid);
  // A server that has left may never have told its service and address here.
  if (state === ServerState.GONE && address === "") return undefined;
  if (service === "") return describe("service", service);
  return isServerAddress(address) ? undefined : describe("address", address);
}

function isText(text: string): boolean {
  return text.length <= MAX_TEXT_LENGTH && !FORBIDDEN_TEXT_PATTERN.test(text);
}

function isUint64(value: bigint): boolean {
  return value >= 0n && value < UINT64_LIMIT;
}

/** Whether a connection can be made to an address of the form host:port. */
export function isServerAddress(address: string): boolean {
  const [, host = "", port = ""] = ADDRESS_PATTERN.exec(address) ?? [];
  if (host === "" || host.length > MAX_TEXT_LENGTH) return false;
  if (Number(port) > MAX_PORT) return false;
  return !NUMERIC_HOST_PATTERN.test(host) || IPV4_PATTERN.test(host);
}

/** Length at which a value is cut off in a message, in UTF-16 units. */
const MAX_SHOWN_LENGTH = 64;

function describe(name: string, value: unknown): string {
  const text = String(value);
  const shown = text.length > MAX_SHOWN_LENGTH
    ? `${text.slice(0, MAX_SHOWN_LENGTH)}...`
    : text;
  return `"${shown}" is not a valid ${name}`;
}
