/** Jobs as a gateway sees them: at the leader of the store's group. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import {
  ItemEnd,
  JobCommandReplySchema,
  JobCommandSchema,
  Jobs,
  MessageCode,
  type SubmitJob,
  Verdict,
} from "../schema/mod.ts";
import type { StateClient } from "../services/common/state_client.ts";
import { ServingError } from "../sys/errors.ts";
import type { JobPage } from "./dialects.ts";
import { STORE_GROUP } from "./groups.ts";

/** Longest wait for the store, in milliseconds: callers wait some seconds. */
const REQUEST_TIMEOUT_MS = 2_500;

/** Calls about jobs. */
export class JobClient {
  readonly #stateClient: StateClient;

  constructor(state: StateClient) {
    this.#stateClient = state;
  }

  /**
   * Accepts a job, durably. Throws QUOTA_SPENT (not run) when it doesn't fit,
   * or STATE_UNREACHABLE (may have run) when its fate is not known.
   */
  async submit(job: SubmitJob): Promise<void> {
    const code = await this.#propose({ case: "submit", value: job });
    if (code === 0) return;
    throw new ServingError(code, {
      verdict: Verdict.NOT_RUN,
      parameters: { route: job.route },
      retryAfterS: 1,
    });
  }

  /** Ends a job; again, or for a job that is not known, does nothing. */
  async end(id: string): Promise<void> {
    await this.#propose({ case: "end", value: { id } });
  }

  /** Results from position `after` on; UNKNOWN_JOB when there is no job. */
  async readResults(
    job: string,
    after: number,
    waitMs: number,
  ): Promise<JobPage> {
    const reply = await this.#stateClient.callLeader(
      STORE_GROUP,
      REQUEST_TIMEOUT_MS + waitMs,
      (client, timeoutMs) =>
        client.call(Jobs.method.readResults, { job, after, waitMs }, {
          timeoutMs: timeoutMs + waitMs,
        }),
    );
    throwIfRefused(reply.code, job);
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

  /** The body of an item without a result; UNKNOWN_JOB when there is none. */
  async readBody(job: string, item: string): Promise<Uint8Array> {
    const reply = await this.#stateClient.callLeader(
      STORE_GROUP,
      REQUEST_TIMEOUT_MS,
      (client, timeoutMs) =>
        client.call(Jobs.method.readBody, { job, item }, { timeoutMs }),
    );
    throwIfRefused(reply.code, job);
    return reply.body;
  }

  async #propose(
    command: MessageInitShape<typeof JobCommandSchema>["command"],
  ): Promise<MessageCode> {
    const bytes = toBinary(
      JobCommandSchema,
      create(JobCommandSchema, { command }),
    );
    const reply = await this.#stateClient.propose(
      STORE_GROUP,
      bytes,
      REQUEST_TIMEOUT_MS,
    );
    return fromBinary(JobCommandReplySchema, reply).code;
  }
}

function throwIfRefused(code: MessageCode, job: string): void {
  if (code === 0) return;
  throw new ServingError(code, {
    verdict: Verdict.NOT_RUN,
    parameters: { job },
  });
}
