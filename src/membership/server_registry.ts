/**
 * Backend servers that registered themselves, as one process knows them.
 * Registrations arrive late, doubled and out of order, over several ways; the
 * newest start and sequence wins, and what has left does not come back.
 */
import { type Registration, ServerState } from "../schema/mod.ts";

/** A backend server and when it was last heard. */
export interface KnownServer {
  registration: Registration;
  lastHeardMs: number;
  /** Requests are kept away until then, after a failure to reach it. */
  backoffUntilMs: number;
  /** Times that it was avoided since something came from it. */
  failures: number;
  /** When it was found silent, until something comes from it. */
  silentSinceMs: number | undefined;
  /** Another server answered at its address; a new registration clears it. */
  hasIdentityMismatch: boolean;
}

/** What a registration changed. */
export const RegistrationEffect = {
  /** A server or a start that was not known. */
  added: "added",
  /** Its state, address, service or slots changed. */
  changed: "changed",
  /** It says again what it said. */
  heard: "heard",
  /** Older than what is known; nothing changed. */
  old: "old",
} as const;

/** One of {@linkcode RegistrationEffect}. */
export type RegistrationEffect =
  typeof RegistrationEffect[keyof typeof RegistrationEffect];

/** Time for which a server that left is remembered, in milliseconds. */
const TOMBSTONE_MS = 120_000;

/**
 * Longest time for which a server is avoided at once, in milliseconds: longer
 * than the cuts of the platform, whose length is 5 to 6 s.
 */
const MAX_BACKOFF_MS = 8_000;

/** Registrations that a server may miss before it counts as silent. */
const MAX_MISSED_HEARTBEATS = 4;

/** The book of one process. */
export class ServerRegistry {
  readonly #servers = new Map<string, KnownServer>();
  readonly #heartbeatMs: number;
  /** Last time that any control host was heard. */
  #controlLastHeardMs = -Infinity;

  constructor(options: { heartbeatMs: number }) {
    this.#heartbeatMs = options.heartbeatMs;
  }

  /** Notes that control hosts can be heard, so silence of servers counts. */
  recordControlHeard(nowMs: number): void {
    this.#controlLastHeardMs = nowMs;
  }

  /** Takes a registration. */
  accept(registration: Registration, nowMs: number): RegistrationEffect {
    this.#removeExpiredTombstones(nowMs);
    const known = this.#servers.get(registration.id);
    if (known !== undefined && isOlder(registration, known.registration)) {
      return RegistrationEffect.old;
    }
    if (this.#isSuperseded(registration)) return RegistrationEffect.old;
    this.#removePredecessors(registration);
    const isSameStart = known !== undefined &&
      known.registration.bornMs === registration.bornMs;
    const isRepeat = isSameStart &&
      isUnchanged(known.registration, registration);
    this.#servers.set(registration.id, {
      registration,
      lastHeardMs: nowMs,
      backoffUntilMs: isSameStart ? known.backoffUntilMs : -Infinity,
      failures: isSameStart ? known.failures : 0,
      silentSinceMs: isSameStart ? known.silentSinceMs : undefined,
      hasIdentityMismatch: false,
    });
    if (!isSameStart) return RegistrationEffect.added;
    return isRepeat ? RegistrationEffect.heard : RegistrationEffect.changed;
  }

  /** A server was heard again and says what it said. */
  recordHeard(id: string, nowMs: number): void {
    const known = this.#servers.get(id);
    if (known !== undefined) known.lastHeardMs = nowMs;
  }

  /**
   * Keeps requests away from a server for `ms` milliseconds, and twice as long
   * each time again until something comes from it.
   */
  backOff(id: string, nowMs: number, baseMs: number): void {
    const known = this.#servers.get(id);
    // What fails together is one failure.
    if (known === undefined || nowMs < known.backoffUntilMs) return;
    const factor = 2 ** known.failures;
    known.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, baseMs * factor);
    known.failures += 1;
  }

  /** The same for a server that says nothing: it has to be heard first. */
  backOffSilent(id: string, nowMs: number, baseMs: number): void {
    this.backOff(id, nowMs, baseMs);
    const known = this.#servers.get(id);
    if (known !== undefined) known.silentSinceMs = nowMs;
  }

  /** Something came from a server. */
  recordResponse(id: string): void {
    const known = this.#servers.get(id);
    if (known === undefined) return;
    known.failures = 0;
    known.silentSinceMs = undefined;
  }

  /** Whether requests are kept away from a server now. */
  isBackingOff(id: string, nowMs: number): boolean {
    const known = this.#servers.get(id);
    return known !== undefined && this.#isBackingOff(known, nowMs);
  }

  /** Another server answered at the address of this one. */
  recordIdentityMismatch(id: string): void {
    const known = this.#servers.get(id);
    if (known !== undefined) known.hasIdentityMismatch = true;
  }

  tryGet(id: string): Registration | undefined {
    return this.#servers.get(id)?.registration;
  }

  getAll(): Registration[] {
    return [...this.#servers.values()].map((known) => known.registration);
  }

  /** Servers that take requests; those that left are remembered longer. */
  getReadyCount(): number {
    return this.getAll().filter((one) => one.state === ServerState.READY)
      .length;
  }

  /**
   * Servers of a service that take new requests. Those that failed lately are
   * left out as long as others remain: a doubtful server is better than none.
   */
  getAvailable(service: string, nowMs: number): Registration[] {
    const ready = [...this.#servers.values()].filter((known) =>
      known.registration.service === service &&
      known.registration.state === ServerState.READY &&
      !known.hasIdentityMismatch && !this.#isSilent(known)
    );
    const healthy = ready.filter((known) => !this.#isBackingOff(known, nowMs));
    return (healthy.length > 0 ? healthy : ready).map((known) =>
      known.registration
    );
  }

  /**
   * A server that was silent is left alone until it has registered again, as
   * long as others' registrations arrive meanwhile.
   */
  #isBackingOff(known: KnownServer, nowMs: number): boolean {
    if (known.backoffUntilMs > nowMs) return true;
    const { silentSinceMs } = known;
    return silentSinceMs !== undefined && known.lastHeardMs <= silentSinceMs &&
      this.#controlLastHeardMs > silentSinceMs + this.#heartbeatMs;
  }

  /** Silence counts only while control hosts are heard themselves. */
  #isSilent(known: KnownServer): boolean {
    return this.#controlLastHeardMs - known.lastHeardMs >
      this.#heartbeatMs * MAX_MISSED_HEARTBEATS;
  }

  /** A later start stands at the address already. */
  #isSuperseded(registration: Registration): boolean {
    return [...this.#servers.values()].some(({ registration: other }) =>
      other.id !== registration.id && other.address === registration.address &&
      other.bornMs > registration.bornMs
    );
  }

  #removePredecessors(registration: Registration): void {
    [...this.#servers.values()]
      .filter(({ registration: other }) =>
        other.id !== registration.id &&
        other.address === registration.address && other.address !== ""
      )
      .forEach(({ registration: other }) => this.#servers.delete(other.id));
  }

  #removeExpiredTombstones(nowMs: number): void {
    this.#servers.forEach((known, id) => {
      const isGone = known.registration.state === ServerState.GONE;
      if (isGone && nowMs - known.lastHeardMs > TOMBSTONE_MS) {
        this.#servers.delete(id);
      }
    });
  }
}

function isOlder(one: Registration, known: Registration): boolean {
  if (one.bornMs !== known.bornMs) return one.bornMs < known.bornMs;
  // A state never goes back within one start.
  if (one.state !== known.state) return one.state < known.state;
  return one.sequence <= known.sequence;
}

function isUnchanged(a: Registration, b: Registration): boolean {
  return a.state === b.state && a.address === b.address &&
    a.service === b.service && a.slots === b.slots;
}
