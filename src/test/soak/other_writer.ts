/**
 * Registrations of another writer: each has one field that no server sends. They
 * name a service in use, so a host that accepted one would send requests to it.
 */

/** Fields that replace those of a sound registration. */
const ODD_FIELDS: readonly Record<string, unknown>[] = [
  { Address: "127.0.0.1:80800" },
  { Address: "127.0.0.999:8080" },
  { Address: "127.0.0.1" },
  { Address: "" },
  { Address: null },
  { Slots: 2 ** 32 },
  { Slots: Number.MAX_SAFE_INTEGER },
  { Slots: -1 },
  { Slots: "eight" },
  { Seq: 1e300 },
  { Seq: null },
  { born: 1e300 },
  { State: "resting" },
  { Service: 7 },
  { Zone: ["dc-1"] },
];

const NESTING_DEPTH = 50_000;

/** Bodies that are no registration at all. */
const ODD_BODIES: readonly string[] = [
  "",
  "{",
  "[".repeat(NESTING_DEPTH),
  "null",
  '{"Address":"127.0.0.1:1"}',
];

/** Number of different registrations. */
export const ODD_REGISTRATION_COUNT = ODD_FIELDS.length + ODD_BODIES.length;

/** Returns the body of a registration that names no server to use. */
export function createOddRegistration(index: number): string {
  const body = ODD_BODIES[index - ODD_FIELDS.length];
  if (body !== undefined) return body;
  return JSON.stringify({
    Service: "s",
    Address: "127.0.0.1:9",
    Zone: "dc-1",
    Version: "v1",
    Slots: 4,
    State: "ready",
    ColdLeftMs: 0,
    Models: [],
    Seq: 1,
    born: 1,
    ...ODD_FIELDS[index],
  });
}
