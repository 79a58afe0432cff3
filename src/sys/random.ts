/** Randomness and hashing, seeded in tests. */
import { createHash, randomUUID } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers. */
export abstract class Random {
  /** A number from 0 (inclusive) to 1 (exclusive). */
  abstract getFraction(): number;

  /** An identifier that no other call returns. */
  abstract createId(): string;

  /** An integer from 0 (inclusive) to `limit` (exclusive). */
  getIntegerBelow(limit: number): number {
    return Math.floor(this.getFraction() * limit);
  }
}

/** The machine's own randomness. */
export class SystemRandom extends Random {
  override getFraction(): number {
    return Math.random();
  }

  override createId(): string {
    return randomUUID();
  }
}

const UINT32_RANGE = 2 ** 32;

/** A repeatable sequence from a seed. */
export class SeededRandom extends Random {
  readonly #generator;
  #idCount = 0;
  readonly #seed: number;

  constructor(seed: number) {
    super();
    this.#seed = seed;
    this.#generator = xoroshiro128plus(seed);
  }

  override getFraction(): number {
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }

  override createId(): string {
    this.#idCount += 1;
    return `id-${this.#seed}-${this.#idCount}`;
  }
}

/** SHA-256 of the parts, each ended by a zero byte, as lower-case hex. */
export function getDigestHex(...parts: (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  parts.forEach((part) => hash.update(part).update("\0"));
  return hash.digest("hex");
}

/** SHA-256 of `bytes`. */
export function getDigest(bytes: string | Uint8Array): Uint8Array {
  return new Uint8Array(createHash("sha256").update(bytes).digest());
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A fast, stable 32-bit hash for placement; never for identity. */
export function getPlacementHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The `count` candidates with the highest rendezvous weight for `key`. */
export function selectByRendezvous<T>(
  key: string,
  candidates: readonly T[],
  options: { count: number; getName: (candidate: T) => string },
): T[] {
  return candidates
    .map((candidate) => ({
      candidate,
      name: options.getName(candidate),
      weight: getPlacementHash(`${key}\u0000${options.getName(candidate)}`),
    }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .slice(0, options.count)
    .map((scored) => scored.candidate);
}
