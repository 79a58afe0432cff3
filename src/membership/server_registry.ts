/**
 * Registered backend servers, as known to one process. Registrations arrive
 * late, duplicated and out of order, over several paths. The registration with
 * the newest start time wins, and within one start the one with the most
 * advanced state, then with the highest sequence number. A server that left is
 * kept as a tombstone, so that a delayed registration does not add it again.
 *
 * Servers that have not been heard of for long are forgotten, and their number is
 * bounded, because other writers may register any number of them. Neither may
 * cost a server that registers at its interval.
 */
import { type Registration, ServerState } from "../schema/mod.ts";
import { isGone, ServerIndex } from "./server_index.ts";

/** A registered backend server and its health. */
export interface KnownServer {
  registration: Registration;
  /** Time of the last registration or heartbeat. */
  lastContactMs: number;
  /** Time at which it was certainly running, by what was heard of it. */
  confirmedMs: number;
  /** End of the back-off after a failure; no requests are sent before. */
  backoffUntilMs: number;
  /** Back-offs since the last response. */
  failures: number;
  /** Time at which it was found silent; cleared by its next response. */
  silentSinceMs: number | undefined;
  /**
   * Time at which no connection to it could be made in this start; undefined if
   * there was none.
   */
  unreachableMs: number | undefined;
  /**
   * Known only as a control host had saved it before its start; it may have been
   * started again since.
   */
  isRestored: boolean;
  /** Another server answered at its address; cleared on registration. */
  hasIdentityMismatch: boolean;
  /** Whether it was heard of again after it was added. */
  isRepeated: boolean;
  /** Time for which this process had listened at the last contact. */
  listenedMs: number;
  /** Time for which this process had heard no control host at the last contact. */
  cutOffMs: number;
}

/** Contact with a server whose registration is passed on. */
export interface ServerContactAge {
  /** Time since it was heard of, in milliseconds; 0 by default. */
  readonly silentMs?: number;
  /** Whether the registration was restored and it has not been heard of since. */
  readonly isRestored?: boolean;
}

/** Effects that a registration can have. */
export const RegistrationEffect = {
  /** The server, or this start of it, was not known. */
  added: "added",
  /** Its state, address, service or slots changed. */
  changed: "changed",
  /** Repeats the known registration. */
  heard: "heard",
  /** Older than the known registration; ignored. */
  old: "old",
  /** One more server than can be kept; ignored. */
  refused: "refused",
} as const;

/** One of {@linkcode RegistrationEffect}. */
export type RegistrationEffect =
  typeof RegistrationEffect[keyof typeof RegistrationEffect];

/** Time for which a server that left is kept, in milliseconds. */
const TOMBSTONE_MS = 120_000;

/** Maximum number of tombstones of servers that were never registered here. */
const MAX_NAMELESS_TOMBSTONES = 8_192;

/** Interval at which what has expired is removed, in milliseconds. */
const REMOVAL_INTERVAL_MS = 1_000;

/**
 * Longest time between two messages that counts as listening, in milliseconds.
 * During a longer one this process was cut off or suspended.
 */
const MAX_LISTENING_GAP_MS = 5_000;

/**
 * Longest time between two messages of control hosts in which a heartbeat can be
 * missed, in milliseconds: more than two of their update intervals.
 */
const MAX_CONTROL_GAP_MS = 2_500;

/**
 * Shortest time without contact after which a server may make room for another
 * one, in milliseconds of listening.
 */
const MIN_SPARE_MS = 15_000;

/**
 * Longest back-off, in milliseconds. It exceeds the network partitions of the
 * platform, which last 5 to 6 s.
 */
const MAX_BACKOFF_MS = 8_000;

/** Heartbeats that a server may miss before it counts as silent. */
const MAX_MISSED_HEARTBEATS = 4;

/**
 * Time by which control hosts delay a heartbeat that says nothing new, in
 * milliseconds.
 */
const HEARTBEAT_DELAY_MS = 1_000;

/** Maximum number of starts known to leave; the oldest are dropped. */
const MAX_LEAVING_STARTS = 4_096;

/** One start of a backend server. */
export interface ServerStartKey {
  readonly id: string;
  /** Start time of the server by its own wall clock, in milliseconds. */
  readonly bornMs: bigint;
}

/** Identifies one start of a backend server. */
export function getServerStart(server: ServerStartKey): string {
  return `${server.id}/${server.bornMs}`;
}

/** Options of a {@linkcode ServerRegistry}. */
export interface ServerRegistryOptions {
  /** Interval at which backend servers register, in milliseconds. */
  readonly heartbeatMs: number;
  /**
   * Time of listening without contact after which a server is forgotten, in
   * milliseconds.
   */
  readonly retentionMs?: number;
  /** Maximum number of servers that have not left. */
  readonly maxServers?: number;
  /** Called when a server that has not left is forgotten. */
  readonly onForgotten?: (registration: Registration) => void;
}

/** Registry of one process. */
export class ServerRegistry {
  readonly #options: Required<ServerRegistryOptions>;
  readonly #servers = new ServerIndex();
  /**
   * Starts of servers that said in a response that they leave. They are kept
   * apart from the servers, because a late registration may add a server again.
   */
  readonly #leavingStarts = new Set<string>();
  /** Time of the last message from any control host. */
  #lastControlContactMs = -Infinity;
  /** Time in which no control host was heard, since the first message of one. */
  #cutOffMs = 0;
  /** Time for which messages have arrived without longer gaps. */
  #listenedMs = 0;
  #lastMessageMs = -Infinity;
  #lastRemovalMs = -Infinity;

  constructor(options: ServerRegistryOptions) {
    this.#options = {
      retentionMs: Infinity,
      maxServers: Infinity,
      onForgotten: () => {},
      ...options,
    };
  }

  /**
   * Records a message from a control host. Control hosts relay the heartbeats,
   * so a heartbeat counts as missed only while such messages arrive.
   */
  recordControlContact(nowMs: number): void {
    this.#listen(nowMs);
    const gapMs = this.getControlSilentMs(nowMs);
    if (Number.isFinite(gapMs) && gapMs > MAX_CONTROL_GAP_MS) {
      this.#cutOffMs += gapMs;
    }
    this.#lastControlContactMs = nowMs;
  }

  /** Time since the last message from a control host; Infinity before the first. */
  getControlSilentMs(nowMs: number): number {
    return nowMs - this.#lastControlContactMs;
  }

  /** Applies a registration, by default one that has just arrived. */
  accept(
    registration: Registration,
    nowMs: number,
    { silentMs = 0, isRestored = false }: ServerContactAge = {},
  ): RegistrationEffect {
    this.#listen(nowMs);
    const known = this.#servers.tryGet(registration.id);
    if (known !== undefined && isOlder(registration, known.registration)) {
      return RegistrationEffect.old;
    }
    const neighbour = this.#tryGetNeighbour(registration);
    if (
      neighbour !== undefined &&
      neighbour.registration.bornMs > registration.bornMs
    ) return RegistrationEffect.old;
    const isReplaced = [known, neighbour].some((other) =>
      other !== undefined && !isGone(other)
    );
    if (!isReplaced && !this.#makeRoom(registration)) {
      return RegistrationEffect.refused;
    }
    if (neighbour !== undefined) {
      this.#servers.delete(neighbour.registration.id);
    }
    const isSameStart = known !== undefined &&
      known.registration.bornMs === registration.bornMs;
    const isRepeat = isSameStart &&
      isUnchanged(known.registration, registration);
    const contactMs = isSameStart && isRestored ? 0 : nowMs - silentMs;
    const isNewerContact = !isSameStart || contactMs > known.lastContactMs;
    this.#servers.set({
      registration,
      lastContactMs: isNewerContact ? contactMs : known.lastContactMs,
      confirmedMs: isSameStart
        ? Math.max(known.confirmedMs, contactMs)
        : contactMs,
      backoffUntilMs: isSameStart ? known.backoffUntilMs : -Infinity,
      failures: isSameStart ? known.failures : 0,
      silentSinceMs: isSameStart ? known.silentSinceMs : undefined,
      unreachableMs: isSameStart ? known.unreachableMs : undefined,
      isRestored: isRestored && (!isSameStart || known.isRestored),
      hasIdentityMismatch: false,
      isRepeated: isSameStart,
      listenedMs: this.#listenedMs,
      cutOffMs: isNewerContact ? this.#cutOffMs : known.cutOffMs,
    });
    if (!isSameStart) return RegistrationEffect.added;
    return isRepeat ? RegistrationEffect.heard : RegistrationEffect.changed;
  }

  /** Records a heartbeat of a server whose registration is unchanged. */
  recordHeartbeat(id: string, nowMs: number): void {
    const known = this.#servers.tryGet(id);
    if (known === undefined) return;
    known.lastContactMs = nowMs;
    known.confirmedMs = Math.max(known.confirmedMs, nowMs - HEARTBEAT_DELAY_MS);
    known.isRestored = false;
    known.listenedMs = this.#listenedMs;
    known.cutOffMs = this.#cutOffMs;
    known.isRepeated = true;
    if (!isGone(known)) this.#servers.recordContact(known);
  }

  /**
   * Sends no requests to a server for `baseMs` milliseconds. The time doubles
   * with each further back-off until the server responds.
   */
  backOff(id: string, nowMs: number, baseMs: number): void {
    const known = this.#servers.tryGet(id);
    // Requests that fail during a back-off belong to the same failure.
    if (known === undefined || nowMs < known.backoffUntilMs) return;
    const factor = 2 ** known.failures;
    known.backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, baseMs * factor);
    known.failures += 1;
  }

  /**
   * Backs off from a silent server until it registers or sends a heartbeat
   * again.
   */
  backOffSilent(id: string, nowMs: number, baseMs: number): void {
    this.backOff(id, nowMs, baseMs);
    const known = this.#servers.tryGet(id);
    if (known !== undefined) known.silentSinceMs = nowMs;
  }

  /**
   * Records that a server said in a response that it leaves. Only another start
   * of it accepts requests again. Returns whether this was not known.
   */
  recordLeaving(server: { id: string; bornMs: bigint }): boolean {
    const start = getServerStart(server);
    if (this.#leavingStarts.has(start)) return false;
    this.#leavingStarts.add(start);
    if (this.#leavingStarts.size > MAX_LEAVING_STARTS) {
      const [oldest] = this.#leavingStarts;
      this.#leavingStarts.delete(oldest ?? "");
    }
    return true;
  }

  /** Whether a server said in a response that it leaves, in this start. */
  isLeaving(server: { id: string; bornMs: bigint }): boolean {
    return this.#leavingStarts.has(getServerStart(server));
  }

  /**
   * Returns the software version with which a server has been started again, if it
   * is another one. What still arrives from its address may be of either start.
   */
  tryGetOtherVersion(
    server: ServerStartKey & Pick<Registration, "softwareVersion">,
  ): string | undefined {
    const known = this.tryGet(server.id);
    const isOther = known !== undefined && known.bornMs > server.bornMs &&
      known.softwareVersion !== server.softwareVersion;
    return isOther ? known.softwareVersion : undefined;
  }

  /** Records that no connection to a server could be made. */
  recordUnreachable(id: string, nowMs: number): void {
    const known = this.#servers.tryGet(id);
    if (known !== undefined) known.unreachableMs = nowMs;
  }

  /** Records a response of a server, which resets its back-off. */
  recordResponse(id: string): void {
    const known = this.#servers.tryGet(id);
    if (known === undefined) return;
    known.failures = 0;
    known.silentSinceMs = undefined;
  }

  /** Ends all back-offs, after a cut that had nothing to do with the servers. */
  resetBackoffs(): void {
    this.#servers.getAll().forEach((known) => {
      known.backoffUntilMs = -Infinity;
      known.failures = 0;
      known.silentSinceMs = undefined;
    });
  }

  /** Servers that accept requests, by what they said of themselves. */
  getReady(): Registration[] {
    return this.#servers.getAll().filter((known) => this.#isReady(known))
      .map((known) => known.registration);
  }

  /** Whether no requests should be sent to a server now. */
  isBackingOff(id: string, nowMs: number): boolean {
    const known = this.#servers.tryGet(id);
    return known !== undefined && this.#isBackingOff(known, nowMs);
  }

  /** Records that another server answered at the address of this one. */
  recordIdentityMismatch(id: string): void {
    const known = this.#servers.tryGet(id);
    if (known !== undefined) known.hasIdentityMismatch = true;
  }

  /** Contact with a server; undefined if it is unknown. */
  tryGetContactAge(
    id: string,
    nowMs: number,
  ): Required<ServerContactAge> | undefined {
    const known = this.#servers.tryGet(id);
    return known === undefined ? undefined : {
      silentMs: nowMs - known.lastContactMs,
      isRestored: known.isRestored,
    };
  }

  /** Whether the last contact with a server was `ms` milliseconds ago or more. */
  isOverdue(id: string, nowMs: number, ms: number): boolean {
    const known = this.#servers.tryGet(id);
    return known !== undefined && nowMs - known.lastContactMs >= ms;
  }

  tryGet(id: string): Registration | undefined {
    return this.#servers.tryGet(id)?.registration;
  }

  getAll(): Registration[] {
    return this.#servers.getAll().map((known) => known.registration);
  }

  /** Number of ready servers; servers that left are kept, but not counted. */
  getReadyCount(): number {
    return this.getAll().filter((registration) =>
      registration.state === ServerState.READY
    )
      .length;
  }

  /**
   * Servers of a service that accept new requests. Servers in back-off are
   * excluded unless no others remain: a suspect server is better than none.
   *
   * With `softwareVersion`, only servers that have this version for certain: one
   * that was unreachable, or whose registration was restored, may have been started
   * again with another version under its id, until it is heard of again.
   */
  getAvailable(
    service: string,
    nowMs: number,
    softwareVersion?: string,
  ): Registration[] {
    const ready = this.#servers.getOfService(service).filter((known) =>
      this.#isReady(known) && !known.hasIdentityMismatch &&
      !this.#isSilent(known) &&
      (softwareVersion === undefined || hasVersion(known, softwareVersion))
    );
    const healthy = ready.filter((known) => !this.#isBackingOff(known, nowMs));
    return (healthy.length > 0 ? healthy : ready).map((known) =>
      known.registration
    );
  }

  /**
   * Whether a registered server of a service that is not silent has a software
   * version, available or not.
   */
  hasReadyVersion(service: string, softwareVersion: string): boolean {
    return this.#servers.getOfService(service).some((known) =>
      this.#isReady(known) &&
      known.registration.softwareVersion === softwareVersion &&
      !this.#isSilent(known)
    );
  }

  /** Whether a server accepts requests, by what it said of itself. */
  #isReady({ registration }: KnownServer): boolean {
    return registration.state === ServerState.READY &&
      !this.isLeaving(registration);
  }

  /**
   * A server that was found silent stays in back-off until its next
   * registration or heartbeat, unless messages of the control hosts are missing
   * as well.
   */
  #isBackingOff(known: KnownServer, nowMs: number): boolean {
    if (known.backoffUntilMs > nowMs) return true;
    const { silentSinceMs } = known;
    return silentSinceMs !== undefined &&
      known.lastContactMs <= silentSinceMs &&
      this.#lastControlContactMs > silentSinceMs + this.#options.heartbeatMs;
  }

  /**
   * Heartbeats arrive through control hosts, so silence is measured up to the
   * last message of any control host rather than up to now, and without the time
   * in which none was heard.
   */
  #isSilent(known: KnownServer): boolean {
    const silentMs = this.#lastControlContactMs - known.lastContactMs;
    return silentMs - (this.#cutOffMs - known.cutOffMs) >
      this.#options.heartbeatMs * MAX_MISSED_HEARTBEATS;
  }

  /** Counts the time up to a message as listening, and removes what expired. */
  #listen(nowMs: number): void {
    const gapMs = Math.max(0, nowMs - this.#lastMessageMs);
    this.#listenedMs += Math.min(MAX_LISTENING_GAP_MS, gapMs);
    this.#lastMessageMs = Math.max(nowMs, this.#lastMessageMs);
    if (nowMs - this.#lastRemovalMs < REMOVAL_INTERVAL_MS) return;
    this.#lastRemovalMs = nowMs;
    this.#removeExpired(nowMs);
  }

  #removeExpired(nowMs: number): void {
    this.#servers.getAll().forEach((known) => {
      if (isGone(known)) {
        const isExpired = nowMs - known.lastContactMs > TOMBSTONE_MS;
        if (isExpired) this.#servers.delete(known.registration.id);
        return;
      }
      const silentMs = this.#listenedMs - known.listenedMs;
      if (silentMs > this.#options.retentionMs) this.#forget(known);
    });
  }

  /**
   * Makes room for one more server. The one that was silent for longest makes
   * room, or the first of those that were heard of only once. Returns false if
   * there is none.
   */
  #makeRoom({ state, service }: Registration): boolean {
    if (state === ServerState.GONE) {
      this.#dropNamelessTombstone(service);
      return true;
    }
    if (this.#servers.presentCount < this.#options.maxServers) return true;
    const spare = this.#tryFindSpare();
    if (spare !== undefined) this.#forget(spare);
    return spare !== undefined;
  }

  /** Bounds the tombstones of servers whose registration never came here. */
  #dropNamelessTombstone(service: string): void {
    const isFull = service === "" &&
      this.#servers.countOfService("") >= MAX_NAMELESS_TOMBSTONES;
    const oldest = isFull ? this.#servers.tryGetFirstOfService("") : undefined;
    if (oldest !== undefined) this.#servers.delete(oldest.registration.id);
  }

  #tryFindSpare(): KnownServer | undefined {
    const { firstHeard, firstHeardOnce } = this.#servers;
    const spareMs = Math.max(
      MIN_SPARE_MS,
      this.#options.heartbeatMs * MAX_MISSED_HEARTBEATS,
    );
    const isSilent = firstHeard !== undefined &&
      this.#listenedMs - firstHeard.listenedMs > spareMs;
    return isSilent ? firstHeard : firstHeardOnce;
  }

  #forget({ registration }: KnownServer): void {
    this.#servers.delete(registration.id);
    this.#options.onForgotten(registration);
  }

  /** The other server at the same address; at most one is kept. */
  #tryGetNeighbour({ id, address }: Registration): KnownServer | undefined {
    const other = this.#servers.tryGetAt(address);
    return other?.registration.id === id ? undefined : other;
  }
}

function hasVersion(known: KnownServer, softwareVersion: string): boolean {
  return known.registration.softwareVersion === softwareVersion &&
    !known.isRestored &&
    (known.unreachableMs === undefined ||
      known.confirmedMs > known.unreachableMs);
}

function isOlder(update: Registration, known: Registration): boolean {
  if (update.bornMs !== known.bornMs) return update.bornMs < known.bornMs;
  // Within one start the state only advances.
  if (update.state !== known.state) return update.state < known.state;
  return update.sequence <= known.sequence;
}

function isUnchanged(a: Registration, b: Registration): boolean {
  return a.state === b.state && a.address === b.address &&
    a.service === b.service && a.slots === b.slots &&
    a.softwareVersion === b.softwareVersion;
}
