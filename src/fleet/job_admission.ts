/**
 * Refuses jobs and ends for which the store hosts have no memory, and repeats and ends
 * of jobs that belong to another organisation. The leader decides before it proposes a
 * command, so a refused job is in no log and never runs, and members of older builds,
 * which don't know organisations, apply the same commands as the others. It also puts the
 * newest limit of waiting tokens into a job: a gateway may have known an older one.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type JobCaller, JobMemory, mayUseJob } from "../policy/mod.ts";
import {
  type EndJob,
  JobCommandReplySchema,
  JobCommandSchema,
  MessageCode,
  type SubmitJob,
  Verdict,
} from "../schema/mod.ts";
import { EARLY_END_COMMAND_VERSION, type JobMachine } from "../state/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import type { CommandAdmission, CommandProposer } from "./group_member.ts";

/**
 * Memory from which on ends of unknown jobs are refused, in bytes: some 30,000 ends,
 * which are kept for two minutes each.
 */
const MAX_END_BYTES = 8 << 20;

/** Part of it for the ends of one caller, so that it leaves room for others. */
const CALLER_SHARE = 1 / 2;

/** Options of a {@linkcode JobAdmission}. */
export interface JobAdmissionOptions {
  readonly machine: Pick<
    JobMachine,
    | "tryGetJob"
    | "retainedBytes"
    | "endBytes"
    | "getExpiredEndBytes"
    | "getCallerEndBytes"
    | "isEndRecorded"
    | "keepsEnds"
    | "getExpiredBytes"
  >;
  /** Versions of commands that the members apply; 0 while that is not known. */
  readonly getMemberVersions: () => readonly number[];
  /**
   * Returns the limit of the waiting tokens of a route; undefined if the route is not
   * known, or the routes known here may be outdated.
   */
  readonly tryGetTokenLimit?: (route: string) => bigint | undefined;
  /** Memory of the process, in bytes. */
  readonly processBytes: number;
  readonly clock: Pick<Clock, "getWallMs">;
  readonly log: Log;
}

interface WaitingJob {
  readonly owner: JobCaller;
  readonly outcome: Promise<Uint8Array>;
}

/** Decides on the jobs that a leader is asked to propose. */
export class JobAdmission implements CommandAdmission {
  readonly #options: JobAdmissionOptions;
  readonly #memory: JobMemory;
  /** Outcomes of jobs that wait to be committed, by id. */
  readonly #waiting = new Map<string, WaitingJob>();

  constructor(options: JobAdmissionOptions) {
    this.#options = options;
    this.#memory = new JobMemory({
      processBytes: options.processBytes,
      getRetainedBytes: () => this.#getRetainedBytes(),
    });
  }

  /**
   * Proposes a command unless it is a job that is known, or for which there is no
   * memory. Callers submit a job again while they have no reply, so one that waits to
   * be committed is not proposed twice.
   */
  async admit(
    command: Uint8Array,
    { canServe, uncommittedBytes, propose }: CommandProposer,
  ): Promise<Uint8Array> {
    const { machine } = this.#options;
    const { command: body } = fromBinary(JobCommandSchema, command);
    const isForeign = (body.case === "submit" || body.case === "end") &&
      this.#isForeign(body.value);
    if (isForeign) {
      this.#options.log.info("job_not_owned", {
        job: body.value.id,
        request: body.case,
        organisation: body.value.organisation ?? "",
      });
      return UNKNOWN_JOB;
    }
    if (body.case === "end" && !this.#isKnown(body.value)) {
      if (this.#mayLoseEnd()) throw createNotSettledError();
      if (!this.#hasRoomForEnd(body.value)) return REFUSAL;
    }
    if (body.case !== "submit") return await propose(command);
    const job = body.value;
    const waiting = this.#waiting.get(job.id);
    if (waiting !== undefined) return await waiting.outcome;
    const isKnown = machine.tryGetJob(job.id) !== undefined;
    if (isKnown && canServe) return ACCEPTANCE;
    const bytes = command.length;
    if (!isKnown && !this.#memory.hasRoom(bytes, uncommittedBytes)) {
      this.#logRefusal(job.id, bytes, uncommittedBytes);
      if (canServe) return REFUSAL;
      // The job may have been accepted and not be applied here yet, and others of
      // the same call may have been proposed.
      throw new ServingError(MessageCode.MAY_HAVE_COMMITTED, {
        verdict: Verdict.MAY_HAVE_RUN,
        parameters: { reason: "there is no memory for the job" },
      });
    }
    const outcome = propose(this.#renewLimit(command, job)).finally(() =>
      this.#waiting.delete(job.id)
    );
    this.#waiting.set(job.id, { owner: job.organisation, outcome });
    this.#memory.track(bytes, outcome);
    return await outcome;
  }

  /** Replaces the limit that the gateway knew when it submitted the job. */
  #renewLimit(command: Uint8Array, job: SubmitJob): Uint8Array {
    const limit = this.#options.tryGetTokenLimit?.(job.route);
    if (limit === undefined || limit === job.waitingTokens) return command;
    this.#options.log.info("job_limit_renewed", {
      job: job.id,
      route: job.route,
      submitted: Number(job.waitingTokens),
      limit: Number(limit),
    });
    const value = { ...job, waitingTokens: limit };
    return toBinary(
      JobCommandSchema,
      create(JobCommandSchema, { command: { case: "submit", value } }),
    );
  }

  /** Whether a job is known here and belongs to another organisation. */
  #isForeign({ id, organisation }: SubmitJob | EndJob): boolean {
    const waiting = this.#waiting.get(id);
    const queued = this.#options.machine.tryGetJob(id);
    if (waiting === undefined && queued === undefined) return false;
    const owner = waiting === undefined
      ? queued?.job.organisation
      : waiting.owner;
    return !mayUseJob(owner, organisation);
  }

  #isKnown({ id }: EndJob): boolean {
    return this.#waiting.has(id) ||
      this.#options.machine.tryGetJob(id) !== undefined;
  }

  /**
   * Whether an end would not be recorded now, but is soon: the group is new, or its last
   * member of an older build has just been replaced.
   */
  #mayLoseEnd(): boolean {
    const { machine, getMemberVersions } = this.#options;
    return !machine.keepsEnds &&
      getMemberVersions().every((version) =>
        version === 0 || version >= EARLY_END_COMMAND_VERSION
      );
  }

  /** Whether there is memory for the end of a job that is not known. */
  #hasRoomForEnd(end: EndJob): boolean {
    const { machine, clock, log } = this.#options;
    if (machine.isEndRecorded(end)) return true;
    const nowMs = clock.getWallMs();
    const retained = machine.endBytes - machine.getExpiredEndBytes(nowMs);
    const ofCaller = machine.getCallerEndBytes(end, nowMs);
    const hasRoom = retained < MAX_END_BYTES &&
      ofCaller < MAX_END_BYTES * CALLER_SHARE;
    if (hasRoom) return true;
    log.info("job_end_refused", { job: end.id, retained, of_caller: ofCaller });
    return false;
  }

  #getRetainedBytes(): number {
    const { machine, clock } = this.#options;
    return machine.retainedBytes - machine.getExpiredBytes(clock.getWallMs());
  }

  #logRefusal(job: string, bytes: number, loggedBytes: number): void {
    const { log } = this.#options;
    log.info("job_refused", {
      job,
      bytes,
      retained: this.#getRetainedBytes(),
      uncommitted: this.#memory.uncommittedBytes,
      logged: loggedBytes,
      limit: this.#memory.limitBytes,
    });
  }
}

/** Others of the same call may have been proposed, so the outcome is open. */
function createNotSettledError(): ServingError {
  return new ServingError(MessageCode.MAY_HAVE_COMMITTED, {
    verdict: Verdict.MAY_HAVE_RUN,
    parameters: { reason: "the members' command versions are not known yet" },
  });
}

const ACCEPTANCE = encodeReply(0);
const UNKNOWN_JOB = encodeReply(MessageCode.UNKNOWN_JOB);
const REFUSAL = encodeReply(MessageCode.JOB_MEMORY_SPENT);

function encodeReply(code: number): Uint8Array {
  return toBinary(
    JobCommandReplySchema,
    create(JobCommandReplySchema, { code }),
  );
}
