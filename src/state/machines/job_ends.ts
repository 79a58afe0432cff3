/**
 * Ends of jobs, kept for a while whether or not the job is known. A submission may be
 * committed after the end of its job: it may have waited in a gateway, or come again at
 * another one. Such a job has ended from the start.
 */
import { create } from "@bufbuild/protobuf";
import { type JobCaller, mayUseJob } from "../../policy/mod.ts";
import {
  type EndJob,
  type RecordedEnd,
  RecordedEndSchema,
} from "../../schema/mod.ts";

/** Estimated memory of an end besides its job's id, in bytes. */
const END_OVERHEAD_BYTES = 256;

/** The recorded ends of one state machine. */
export class JobEnds {
  readonly #ttlMs: number;
  /** By job and organisation, in the order of their times. */
  readonly #ends = new Map<string, RecordedEnd>();
  /** Callers that ended a job, by its id. */
  readonly #callers = new Map<string, readonly JobCaller[]>();
  #retainedBytes = 0;
  /** The same by caller. */
  readonly #bytesByCaller = new Map<string, number>();

  /** `ttlMs` is the time for which an end is kept, in milliseconds. */
  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  /** Approximate memory of all ends, in bytes. */
  get retainedBytes(): number {
    return this.#retainedBytes;
  }

  /** Part of it that the next end frees, since its ends have expired. */
  getExpiredBytes(nowMs: number): number {
    return this.#getExpired(nowMs)
      .reduce((sum, end) => sum + getRetainedBytes(end), 0);
  }

  /** Approximate memory of a caller's ends that have not expired, in bytes. */
  getCallerBytes(caller: EndJob, nowMs: number): number {
    const key = getCallerKey(caller);
    const expired = this.#getExpired(nowMs)
      .filter((end) => getCallerKey(end) === key)
      .reduce((sum, end) => sum + getRetainedBytes(end), 0);
    return (this.#bytesByCaller.get(key) ?? 0) - expired;
  }

  /** Whether the caller has ended the job. */
  isRecorded(end: EndJob): boolean {
    return this.#ends.has(getEndKey(end));
  }

  /** Whether a caller that may use a job of the given owner has ended it. */
  hasEnded(job: string, owner: JobCaller): boolean {
    const callers = this.#callers.get(job) ?? [];
    return callers.some((caller) => mayUseJob(owner, caller));
  }

  /** Records an end; a repeated one is kept as long as a new one. */
  record(end: EndJob, timeMs: number): void {
    this.removeExpired(timeMs);
    this.#remove(end);
    this.#add(
      create(RecordedEndSchema, { end, endedMs: BigInt(timeMs) }),
    );
  }

  /** Removes ends whose time to live has passed. */
  removeExpired(nowMs: number): void {
    this.#getExpired(nowMs).forEach((end) => this.#remove(end));
  }

  capture(): readonly RecordedEnd[] {
    return [...this.#ends.values()];
  }

  restore(ends: readonly RecordedEnd[]): void {
    this.#ends.clear();
    this.#callers.clear();
    this.#retainedBytes = 0;
    this.#bytesByCaller.clear();
    ends.forEach((end) => this.#add(end));
  }

  #getExpired(nowMs: number): EndJob[] {
    const expired: EndJob[] = [];
    for (const { end, endedMs } of this.#ends.values()) {
      if (nowMs <= Number(endedMs) + this.#ttlMs) break;
      if (end !== undefined) expired.push(end);
    }
    return expired;
  }

  #add(recorded: RecordedEnd): void {
    const { end } = recorded;
    if (end === undefined) return;
    this.#ends.set(getEndKey(end), recorded);
    const callers = this.#callers.get(end.id) ?? [];
    this.#callers.set(end.id, [...callers, end.organisation]);
    this.#countBytes(end, getRetainedBytes(end));
  }

  #countBytes(end: EndJob, bytes: number): void {
    this.#retainedBytes += bytes;
    const key = getCallerKey(end);
    const callerBytes = (this.#bytesByCaller.get(key) ?? 0) + bytes;
    if (callerBytes === 0) this.#bytesByCaller.delete(key);
    else this.#bytesByCaller.set(key, callerBytes);
  }

  #remove({ id, organisation }: EndJob): void {
    const key = getEndKey({ id, organisation });
    // A repeated end may come from another address.
    const end = this.#ends.get(key)?.end;
    if (end === undefined) return;
    this.#ends.delete(key);
    const callers = (this.#callers.get(end.id) ?? [])
      .filter((caller) => caller !== end.organisation);
    if (callers.length === 0) this.#callers.delete(end.id);
    else this.#callers.set(end.id, callers);
    this.#countBytes(end, -getRetainedBytes(end));
  }
}

/** JSON keeps names with any characters apart. */
function getEndKey(
  { id, organisation }: Pick<EndJob, "id" | "organisation">,
): string {
  return JSON.stringify([id, organisation]);
}

/** An organisation is one caller, wherever its requests come from. */
function getCallerKey({ organisation, source }: EndJob): string {
  return JSON.stringify(
    organisation === undefined ? ["", source] : [organisation],
  );
}

function getRetainedBytes({ id, organisation = "", source }: EndJob): number {
  return END_OVERHEAD_BYTES + id.length + organisation.length + source.length;
}
