/**
 * Organisations of a route table, found by the API keys of callers. The table and
 * this index hold hashes of the keys only, so neither the time of a lookup nor a
 * copy of the memory reveals a key.
 */
import type { Organisation, Route, RouteTable } from "../schema/mod.ts";
import { getDigest } from "../sys/random.ts";

/** Returns the hash by which a key is stored; a key is given by its bytes. */
export function hashApiKey(key: Uint8Array): Uint8Array {
  return getDigest(key);
}

/** Lookup of the organisations in a route table. */
export class OrganisationIndex {
  readonly #byName: ReadonlyMap<string, Organisation>;
  readonly #byHash = new Map<string, Organisation | undefined>();

  constructor(organisations: readonly Organisation[]) {
    this.#byName = new Map(organisations.map((one) => [one.name, one]));
    organisations.forEach((organisation) =>
      organisation.keyHashes.forEach((hash) => {
        const text = toMapKey(hash);
        const known = this.#byHash.get(text);
        // A table that an older build accepted may contain shared keys, which
        // identify nobody.
        const isShared = this.#byHash.has(text) && known !== organisation;
        this.#byHash.set(text, isShared ? undefined : organisation);
      })
    );
  }

  /** Whether there are no organisations, so that callers need no key. */
  get isEmpty(): boolean {
    return this.#byName.size === 0;
  }

  get size(): number {
    return this.#byName.size;
  }

  /** Finds an organisation by a key, as text of one character for each byte. */
  tryFindByKey(key: string): Organisation | undefined {
    return this.#byHash.get(toMapKey(hashApiKey(Buffer.from(key, "latin1"))));
  }

  tryGet(name: string): Organisation | undefined {
    return this.#byName.get(name);
  }
}

function toMapKey(hash: Uint8Array): string {
  return Buffer.from(hash.buffer, hash.byteOffset, hash.length)
    .toString("latin1");
}

/** Priority of an organisation's requests on a route; 0 is the highest. */
export function getEffectivePriority(
  route: Pick<Route, "priority">,
  organisation: Pick<Organisation, "priority"> | undefined,
): number {
  return organisation?.priority ?? route.priority;
}

/** Characters that no header's value may contain. */
// deno-lint-ignore no-control-regex
const CONTROL_PATTERN = /[\x00-\x1f\x7f]/;

/** Returns the first error of a table's organisations; undefined if valid. */
export function tryFindOrganisationError(
  { organisations }: Pick<RouteTable, "organisations">,
): string | undefined {
  const names = new Set<string>();
  const owners = new Map<string, string>();
  return organisations.map(({ name, keyHashes }) => {
    if (name === "") return "an organisation has no name";
    if (CONTROL_PATTERN.test(name)) {
      return "the name of an organisation contains control characters";
    }
    if (names.has(name)) return `two organisations share the name "${name}"`;
    names.add(name);
    const other = keyHashes.map((hash) => {
      const text = toMapKey(hash);
      const owner = owners.get(text) ?? name;
      owners.set(text, owner);
      return owner;
    }).find((owner) => owner !== name);
    return other === undefined
      ? undefined
      : `organisations "${other}" and "${name}" share a key`;
  }).find((error) => error !== undefined);
}
