/**
 * Software versions of the backend servers that registered with one control host,
 * by service. A version is kept for longer than a stream of it may last, also
 * after its servers have left, so that it is known which versions can have begun
 * a stream that still goes on.
 */
import type { Registration } from "../schema/mod.ts";

/**
 * Time for which a version is kept after its last registration, in milliseconds.
 * It exceeds the duration of a stream.
 */
const MAX_STREAM_MS = 60_000;

/** Options of {@linkcode SoftwareVersions}. */
export interface SoftwareVersionsOptions {
  /** Monotonic time from which all registrations are recorded. */
  readonly startMs: number;
  /** Longest duration of a stream, in milliseconds. */
  readonly maxStreamMs?: number;
}

/** Versions as recorded by one process since its start. */
export class SoftwareVersions {
  readonly #startMs: number;
  readonly #maxStreamMs: number;
  /** Time of the last registration of each version, by service. */
  readonly #contacts = new Map<string, Map<string, number>>();

  constructor(options: SoftwareVersionsOptions) {
    this.#startMs = options.startMs;
    this.#maxStreamMs = options.maxStreamMs ?? MAX_STREAM_MS;
  }

  /** Records a registration, also one that is older than another. */
  record(
    { service, softwareVersion }: Pick<
      Registration,
      "service" | "softwareVersion"
    >,
    nowMs: number,
  ): void {
    if (!this.#contacts.get(service)?.has(softwareVersion)) {
      this.#removeExpired(nowMs);
    }
    const versions = this.#contacts.get(service) ?? new Map<string, number>();
    versions.set(softwareVersion, nowMs);
    this.#contacts.set(service, versions);
  }

  /** Whether registrations have been recorded for longer than a stream lasts. */
  isComplete(nowMs: number): boolean {
    return nowMs - this.#startMs >= this.#maxStreamMs;
  }

  /** Versions of a service that can have begun a stream that still goes on. */
  getRecent(service: string, nowMs: number): string[] {
    return [...this.#contacts.get(service) ?? []]
      .filter(([, contactMs]) => this.#isRecent(contactMs, nowMs))
      .map(([version]) => version);
  }

  #isRecent(contactMs: number, nowMs: number): boolean {
    return nowMs - contactMs < this.#maxStreamMs;
  }

  #removeExpired(nowMs: number): void {
    this.#contacts.forEach((versions, service) => {
      versions.forEach((contactMs, version) => {
        if (!this.#isRecent(contactMs, nowMs)) versions.delete(version);
      });
      if (versions.size === 0) this.#contacts.delete(service);
    });
  }
}
