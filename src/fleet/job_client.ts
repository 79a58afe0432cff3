/** Access of gateways to jobs, through the leader of the store group. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import pLimit from "p-limit";
import { MAX_UINT32 } from "../membership/mod.ts";
import type { JobCaller } from "../policy/mod.ts";
import {
  ItemEnd,
  JobCommandReplySchema,
  JobCommandSchema,
  Jobs,
  MessageCode,
  type SubmitJob,
  Verdict,
} from "../schema/mod.ts";
import {
  SILENCE_MS,
  type StateClient,
} from "../services/common/state_client.ts";
import { createUnsettledRefusalError } from "../services/common/state_errors.ts";
import { ServingError } from "../sys/errors.ts";
import type { JobPage } from "./dialects.ts";
import { STORE_GROUP } from "./groups.ts";

/**
 * Timeout of a request to the store group, in milliseconds: callers wait for a
 * few seconds.
 */
const REQUEST_TIMEOUT_MS = 2_500;

/** Longest time for which a caller may wait for results, in milliseconds. */
const MAX_RESULTS_WAIT_MS = 1_000;

/**
 * Bodies of items that are read at the same time. The leader of the store group holds
 * each until it is sent, and many gateways may have callers who ask for many.
 */
const MAX_OPEN_BODY_READS = 2;

/** Longest time for which the read of a body waits for its turn, in milliseconds. */
const MAX_TURN_WAIT_MS = 1_000;

/** Longest time that a call of a {@linkcode JobClient} takes, in milliseconds. */
export const MAX_JOB_CALL_MS = REQUEST_TIMEOUT_MS + MAX_RESULTS_WAIT_MS;

/** Client of the jobs in the store group. */
export class JobClient {
  /** Runs the reads of bodies. */
  readonly #bodyReads = pLimit(MAX_OPEN_BODY_READS);
  readonly #stateClient: StateClient;

  constructor(state: StateClient) {
    this.#stateClient = state;
  }

  /**
   * Submits a job; resolves once it is durable. Throws QUOTA_SPENT (not run) if
   * it exceeds a limit, or STATE_UNREACHABLE (may have run) if the outcome is
   * unknown.
   */
  async submit(job: SubmitJob): Promise<void> {
    const { code, mayRunLater } = await this.#propose({
      case: "submit",
      value: job,
    });
    if (code === 0) return;
    if (mayRunLater) throw createUnsettledRefusalError();
    throw new ServingError(code, {
      verdict: Verdict.NOT_RUN,
      parameters: { route: job.route, job: job.id },
      retryAfterS: 1,
    });
  }

  /**
   * Ends a job, also one that comes later; no effect if it has already ended. Throws
   * UNKNOWN_JOB if it belongs to another organisation, or is unknown and the caller is
   * identified; JOB_MEMORY_SPENT (not run) if it is unknown and too many ends are
   * recorded, in all or of the caller, which is an organisation or else the address
   * `source`; or STATE_UNREACHABLE (may have run) if the outcome is unknown.
   */
  async end(id: string, caller: JobCaller, source: string): Promise<void> {
    const { code, mayRunLater } = await this.#propose({
      case: "end",
      value: { id, organisation: caller, source },
    });
    if (code !== 0 && mayRunLater) throw createUnsettledRefusalError();
    throwIfError(code, id);
  }

  /** Reads results from position `after`; throws UNKNOWN_JOB if unknown. */
  async readResults(
    job: string,
    after: number,
    { waitMs, maxBytes }: { waitMs: number; maxBytes: number },
    caller: JobCaller,
  ): Promise<JobPage> {
    const reply = await this.#stateClient.callLeader(
      STORE_GROUP,
      REQUEST_TIMEOUT_MS + waitMs,
      (client, timeoutMs) =>
        client.call(Jobs.method.readResults, {
          job,
          after: Math.min(MAX_UINT32, after),
          waitMs,
          organisation: caller,
          maxBytes,
        }, { timeoutMs: timeoutMs + waitMs }),
      waitMs + SILENCE_MS,
    );
    throwIfError(reply.code, job);
    return {
      total: reply.total,
      after,
      results: reply.results.map((result) => ({
        id: result.id,
        isDone: result.end === ItemEnd.DONE,
        text: Buffer.from(result.text).toString("utf8"),
      })),
    };
  }

  /**
   * Reads the body of an open item; throws UNKNOWN_JOB if there is none. Bodies are read
   * a few at a time, in the order of the calls; one whose `signal` is aborted before its
   * turn is not read.
   */
  async readBody(
    job: string,
    item: string,
    caller: JobCaller,
    signal?: AbortSignal,
  ): Promise<Uint8Array> {
    const turnLimit = AbortSignal.timeout(MAX_TURN_WAIT_MS);
    const reply = await this.#bodyReads(() => {
      signal?.throwIfAborted();
      if (turnLimit.aborted) throw createBusyError();
      return this.#stateClient.callLeader(
        STORE_GROUP,
        REQUEST_TIMEOUT_MS,
        (client, timeoutMs) =>
          client.call(
            Jobs.method.readBody,
            { job, item, organisation: caller },
            { timeoutMs },
          ),
      );
    });
    throwIfError(reply.code, job);
    return reply.body;
  }

  async #propose(
    command: MessageInitShape<typeof JobCommandSchema>["command"],
  ): Promise<{ code: MessageCode; mayRunLater: boolean }> {
    const bytes = toBinary(
      JobCommandSchema,
      create(JobCommandSchema, { command }),
    );
    const { reply, mayRunLater } = await this.#stateClient.proposeWithOutcome(
      STORE_GROUP,
      bytes,
      REQUEST_TIMEOUT_MS,
    );
    const { code } = fromBinary(JobCommandReplySchema, reply);
    return { code, mayRunLater };
  }
}

function createBusyError(): ServingError {
  return new ServingError(MessageCode.STATE_UNREACHABLE, {
    verdict: Verdict.NOT_RUN,
    parameters: { reason: "too many bodies of items are read" },
  });
}

function throwIfError(code: MessageCode, job: string): void {
  if (code === 0) return;
  throw new ServingError(code, {
    verdict: Verdict.NOT_RUN,
    parameters: { job },
  });
}
