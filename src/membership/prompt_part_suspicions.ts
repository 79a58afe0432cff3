/**
 * Detects parts of prompts that crash every backend server which begins an answer
 * on them, whatever else the request holds. A request whose answer has begun
 * proves all of its parts sound; one that had none when its server crashed makes
 * them suspect. Processes exchange the crashes and the last proof of each suspect
 * part, and merge them in any order.
 *
 * A crash counts against the parts that had most crashes, and against parts that
 * were proven before only if no other part can be the cause. Parts that were
 * present at the same crashes can't be told apart: only requests that hold all of
 * them are rejected, so that one with some of them shows which it is.
 */
import { create } from "@bufbuild/protobuf";
import {
  PromptPartCrashSchema,
  type PromptPartSuspicion,
  PromptPartSuspicionSchema,
} from "../schema/mod.ts";
import { getDigestHex } from "../sys/random.ts";
import { getAgeMs } from "./ages.ts";

/** Number of crashes after which a part is rejected. */
const MIN_CRASHES = 2;

/** The same while servers crash for other reasons too. */
const MIN_AMBIGUOUS_CRASHES = 3;

/**
 * The same for a part under which answers have begun before, such as one that all
 * requests of a route share.
 */
const MIN_CRASHES_OF_PROVEN_PART = 5;

/**
 * Time between two crashes, in milliseconds, up to which they may have the same
 * cause.
 */
const AMBIGUITY_WINDOW_MS = 5_000;

/**
 * Time after an answer has begun under a part for which a crash doesn't count
 * against it, in milliseconds.
 */
const PROOF_TTL_MS = 1_000;

/**
 * Time after the last crash for which a part is rejected, in milliseconds. It
 * grows with each crash after the first rejection.
 */
const REJECTION_MS = 30_000;

/** The same for a part under which answers have begun before. */
const PROVEN_PART_REJECTION_MS = 2_000;

const REJECTION_GROWTH = 4;
const MAX_REJECTION_MS = 10 * 60_000;

/**
 * Time in milliseconds for which other requests with a rejected part wait for the
 * outcome of the one that may try it again.
 */
const TRIAL_MS = 5_000;

/** Time for which crashes are kept, in milliseconds. */
const RETENTION_MS = 15 * 60_000;

/** Maximum number of suspect parts; the oldest are dropped. */
const MAX_SUSPECTS = 2_048;

/** Maximum number of crashes kept of one part; later ones are not added. */
const MAX_CRASHES = 32;

/** Maximum number of proven parts; those proven least recently are dropped. */
const MAX_PROOFS = 8_192;

/**
 * Time after a crash from which a heartbeat proves that the server still runs, in
 * milliseconds. Heartbeats that were sent before it arrive up to an update
 * interval of the control hosts later.
 */
const HEARTBEAT_LAG_MS = 2_000;

/** Length above which the name of a part is replaced by its digest. */
const MAX_KEY_LENGTH = 128;

/**
 * Returns the key of a part. What crashes the servers of one service may be
 * served by those of another.
 */
export function getPromptPartKey(service: string, part: string): string {
  const key = `${service}/${part}`;
  return key.length <= MAX_KEY_LENGTH ? key : getDigestHex(key);
}

interface Verdict {
  /** Whether the part counts as the cause of its crashes. */
  readonly isConvicted: boolean;
  /** Parts, this one included, that were present at the same crashes. */
  readonly indistinguishable: readonly string[];
  /** Time until which requests are rejected, but for trials. */
  readonly rejectedUntilMs: number;
}

/** Suspect and proven parts as known to one process, by key. */
export class PromptPartSuspicions {
  /**
   * Detection times by server start, by part, of the crashes that no proof
   * refutes.
   */
  readonly #crashes = new Map<string, Map<string, number>>();
  readonly #partsByServer = new Map<string, Set<string>>();
  /** Time at which an answer last began, by part; the latest last. */
  readonly #proofs = new Map<string, number>();
  /** Start of the last trial, by part. */
  readonly #trials = new Map<string, number>();
  /** Verdicts since the crashes last changed. */
  readonly #verdicts = new Map<string, Verdict>();

  /** Whether no part is suspect. */
  get isEmpty(): boolean {
    return this.#crashes.size === 0;
  }

  /** Number of suspect parts, and of those known to be proven. */
  get sizes(): { suspects: number; proofs: number } {
    return { suspects: this.#crashes.size, proofs: this.#proofs.size };
  }

  /** Number of crashes that count against a part. */
  getCrashCount(part: string): number {
    return this.#crashes.get(part)?.size ?? 0;
  }

  /**
   * Records the crash of a server that ran a request with these parts and had not
   * begun its answer. Returns the updates to send to other processes.
   */
  recordCrash(
    parts: readonly string[],
    server: string,
    nowMs: number,
  ): PromptPartSuspicion[] {
    return [...new Set(parts)]
      .filter((part) => this.#addCrash(part, server, nowMs))
      .map((part) => this.getUpdate(part, nowMs));
  }

  /**
   * Records that an answer has begun to a request with these parts. Returns the
   * updates to send to other processes: of parts that were suspect.
   */
  recordProof(parts: readonly string[], nowMs: number): PromptPartSuspicion[] {
    return parts.filter((part) => this.#addProof(part, nowMs))
      .map((part) => this.getUpdate(part, nowMs));
  }

  /**
   * Time until a request with these parts may run, in milliseconds; 0 if it may,
   * if only as a trial of a rejected part.
   */
  getRejectionMs(parts: readonly string[], nowMs: number): number {
    const untilMs = this.#getRejectedParts(parts).map((part) =>
      Math.max(
        this.#getVerdict(part).rejectedUntilMs,
        (this.#trials.get(part) ?? -Infinity) + TRIAL_MS,
      )
    );
    return Math.max(0, ...untilMs.map((time) => time - nowMs));
  }

  /** The part for which a request is rejected; undefined if there is none. */
  tryGetRejectedPart(parts: readonly string[]): string | undefined {
    return this.#getRejectedParts(parts)[0];
  }

  /**
   * Records that a request starts to run. If it tries a rejected part again, no
   * other does meanwhile. Returns the updates to send to other processes.
   */
  recordStart(parts: readonly string[], nowMs: number): PromptPartSuspicion[] {
    return this.#getRejectedParts(parts).map((part) => {
      this.#trials.set(part, nowMs);
      return this.getUpdate(part, nowMs);
    });
  }

  /** Returns all that is known of a part, to send to other processes. */
  getUpdate(part: string, nowMs: number): PromptPartSuspicion {
    const getIdleMs = (atMs: number | undefined) =>
      atMs === undefined ? undefined : getAgeMs(atMs, nowMs);
    return create(PromptPartSuspicionSchema, {
      part,
      crashes: [...this.#crashes.get(part) ?? []].map(([server, atMs]) =>
        create(PromptPartCrashSchema, { server, idleMs: getIdleMs(atMs) })
      ),
      proofIdleMs: getIdleMs(this.#proofs.get(part)),
      trialIdleMs: getIdleMs(this.#trials.get(part)),
    });
  }

  /** All suspect parts, to send to a process that starts. */
  getAll(nowMs: number): PromptPartSuspicion[] {
    return [...this.#crashes.keys()].map((part) => this.getUpdate(part, nowMs));
  }

  /** Merges an update of another process; returns whether it changed anything. */
  merge(update: PromptPartSuspicion, nowMs: number): boolean {
    const { part, proofIdleMs, trialIdleMs } = update;
    const isRefuted = proofIdleMs !== undefined &&
      this.#addProof(part, nowMs - proofIdleMs);
    const isAdded = update.crashes
      .filter(({ idleMs }) => idleMs <= RETENTION_MS)
      .map(({ server, idleMs }) => this.#addCrash(part, server, nowMs - idleMs))
      .includes(true);
    const isTried = trialIdleMs !== undefined && this.#crashes.has(part) &&
      this.#addTrial(part, nowMs - trialIdleMs);
    return isRefuted || isAdded || isTried;
  }

  /**
   * Whether this process knows a proof that the sender of an update lacks and
   * that bears on what it says.
   */
  canRefute(update: PromptPartSuspicion, nowMs: number): boolean {
    const provenMs = this.#proofs.get(update.part);
    if (provenMs === undefined || update.crashes.length === 0) return false;
    if (update.proofIdleMs === undefined) return true;
    const senderProvenMs = nowMs - update.proofIdleMs;
    return update.crashes.map(({ idleMs }) => nowMs - idleMs)
      .some((atMs) =>
        isRefutedBy(atMs, provenMs) && !isRefutedBy(atMs, senderProvenMs)
      );
  }

  /**
   * Records a heartbeat of a server. A crash that was recorded some time before
   * it was none, and is removed from all parts.
   */
  recordHeartbeat(server: string, nowMs: number): void {
    [...this.#partsByServer.get(server) ?? []].forEach((part) => {
      const atMs = this.#crashes.get(part)?.get(server) ?? nowMs;
      if (nowMs - atMs >= HEARTBEAT_LAG_MS) this.#removeCrash(part, server);
    });
  }

  /** Removes crashes that are older than the retention time. */
  removeExpired(nowMs: number): void {
    this.#removeCrashes((atMs) => nowMs - atMs > RETENTION_MS);
  }

  #addCrash(part: string, server: string, atMs: number): boolean {
    const crashes = this.#crashes.get(part) ?? new Map<string, number>();
    const provenMs = this.#proofs.get(part);
    const isIgnored = crashes.has(server) || crashes.size >= MAX_CRASHES ||
      (provenMs !== undefined && isRefutedBy(atMs, provenMs));
    if (isIgnored) return false;
    crashes.set(server, atMs);
    this.#crashes.set(part, crashes);
    const parts = this.#partsByServer.get(server) ?? new Set<string>();
    this.#partsByServer.set(server, parts.add(part));
    this.#verdicts.clear();
    if (this.#crashes.size > MAX_SUSPECTS) {
      const [oldest = ""] = this.#crashes.keys();
      this.#removePart(oldest);
    }
    return true;
  }

  /** Returns whether a crash was refuted. */
  #addProof(part: string, atMs: number): boolean {
    const provenMs = Math.max(atMs, this.#proofs.get(part) ?? -Infinity);
    this.#proofs.delete(part);
    this.#proofs.set(part, provenMs);
    if (this.#proofs.size > MAX_PROOFS) {
      const [oldest = ""] = this.#proofs.keys();
      this.#proofs.delete(oldest);
    }
    const refuted = [...this.#crashes.get(part) ?? []]
      .filter(([, crashMs]) => isRefutedBy(crashMs, provenMs));
    refuted.forEach(([server]) => this.#removeCrash(part, server));
    return refuted.length > 0;
  }

  #addTrial(part: string, atMs: number): boolean {
    // Times of other processes arrive rounded.
    const isNew = Math.round(atMs) >
      Math.round(this.#trials.get(part) ?? -Infinity) + 1;
    if (isNew) this.#trials.set(part, atMs);
    return isNew;
  }

  #removePart(part: string): void {
    [...this.#crashes.get(part)?.keys() ?? []]
      .forEach((server) => this.#removeCrash(part, server));
  }

  #removeCrashes(isRemoved: (atMs: number) => boolean): void {
    this.#crashes.forEach((crashes, part) =>
      [...crashes].filter(([, atMs]) => isRemoved(atMs))
        .forEach(([server]) => this.#removeCrash(part, server))
    );
  }

  #removeCrash(part: string, server: string): void {
    const crashes = this.#crashes.get(part);
    crashes?.delete(server);
    if (crashes?.size === 0) {
      this.#crashes.delete(part);
      this.#trials.delete(part);
    }
    const parts = this.#partsByServer.get(server);
    parts?.delete(part);
    if (parts?.size === 0) this.#partsByServer.delete(server);
    this.#verdicts.clear();
  }

  /** The parts for which a request is rejected, or is a trial. */
  #getRejectedParts(parts: readonly string[]): string[] {
    if (this.isEmpty) return [];
    return parts.filter((part) => {
      if (!this.#crashes.has(part)) return false;
      const { isConvicted, indistinguishable } = this.#getVerdict(part);
      return isConvicted &&
        indistinguishable.every((other) => parts.includes(other));
    });
  }

  #getVerdict(part: string): Verdict {
    const known = this.#verdicts.get(part);
    if (known !== undefined) return known;
    const verdict = this.#judge(part);
    this.#verdicts.set(part, verdict);
    return verdict;
  }

  #judge(part: string): Verdict {
    const crashes = this.#crashes.get(part) ?? new Map<string, number>();
    const isProven = this.#proofs.has(part);
    const attributed = [...crashes.keys()]
      .filter((server) => !this.#isExplained(server, part)).length;
    const limit = isProven
      ? MIN_CRASHES_OF_PROVEN_PART
      : this.#isAmbiguous(crashes)
      ? MIN_AMBIGUOUS_CRASHES
      : MIN_CRASHES;
    const baseMs = isProven ? PROVEN_PART_REJECTION_MS : REJECTION_MS;
    const growth = REJECTION_GROWTH ** Math.max(0, attributed - limit);
    const [first = ""] = crashes.keys();
    const indistinguishable = [...this.#partsByServer.get(first) ?? []]
      .filter((other) =>
        this.getCrashCount(other) === crashes.size &&
        this.#proofs.has(other) === isProven &&
        [...crashes.keys()].every((server) =>
          this.#crashes.get(other)?.has(server) === true
        )
      );
    return {
      isConvicted: attributed >= limit,
      indistinguishable,
      rejectedUntilMs: Math.max(...crashes.values()) +
        Math.min(MAX_REJECTION_MS, baseMs * growth),
    };
  }

  /** Whether another part is more likely to have caused a crash. */
  #isExplained(server: string, part: string): boolean {
    const count = this.getCrashCount(part);
    const isProven = this.#proofs.has(part);
    const hasMany = count >= MIN_CRASHES_OF_PROVEN_PART;
    return [...this.#partsByServer.get(server) ?? []].some((other) => {
      if (other === part) return false;
      const otherCount = this.getCrashCount(other);
      if (this.#proofs.has(other) === isProven) return otherCount > count;
      // Of a part that was proven before and has many crashes, only others that
      // come back are more likely.
      return isProven && (!hasMany || otherCount >= MIN_CRASHES);
    });
  }

  /**
   * Whether servers crashed at about the same time under none of the parts that
   * have these crashes, nor under another part that has several.
   */
  #isAmbiguous(crashes: ReadonlyMap<string, number>): boolean {
    const times = [...crashes.values()];
    return [...this.#partsByServer].some(([server, parts]) => {
      if (crashes.has(server)) return false;
      const isRecurring = [...parts].some((part) =>
        this.getCrashCount(part) >= MIN_CRASHES
      );
      if (isRecurring) return false;
      const [part = ""] = parts;
      const atMs = this.#crashes.get(part)?.get(server) ?? -Infinity;
      return times.some((time) => Math.abs(time - atMs) <= AMBIGUITY_WINDOW_MS);
    });
  }
}

/** Whether an answer that began at `provenMs` refutes a crash at `crashMs`. */
function isRefutedBy(crashMs: number, provenMs: number): boolean {
  return crashMs <= provenMs + PROOF_TTL_MS;
}
