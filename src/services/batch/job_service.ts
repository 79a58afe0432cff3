/** HTTP API of batch jobs: submit, status, results, cancel and list. */
import { create } from "@bufbuild/protobuf";
import { createHash } from "node:crypto";
import type { FleetView } from "../../membership/mod.ts";
import {
  type Item,
  ItemSchema,
  type Job,
  MessageCode,
  type Workload,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { ServingError } from "../../sys/errors.ts";
import { sendWhole } from "../../sys/framed_response.ts";
import type { IncomingMessage } from "../../sys/http.ts";
import { getDigestHex, type Random } from "../../sys/random.ts";
import { sendJson } from "../common/responses.ts";
import type { CallerRequest } from "../common/caller_request.ts";
import { describeItem, describeJob } from "../control/descriptions.ts";
import { getItemGroup, getItemGroups } from "../common/groups.ts";
import { parseItemLine } from "../common/item_line.ts";
import type { StateClient } from "../common/state_client.ts";

/** Path prefix of the job API. */
export const JOBS_PATH = "/v1/jobs";

/** Size limits of a job. */
export interface JobLimits {
  readonly lineBytes: number;
  readonly jobItems: number;
  readonly jobBytes: number;
}

/** A chunk is sent once it reaches either limit. */
const MAX_CHUNK_ITEMS = 256;
const MAX_CHUNK_BYTES = 256 * 1024;

/** Maximum number of chunks of one job that are being sent at a time. */
const MAX_CHUNKS_IN_FLIGHT = 4;
const COMMIT_TIMEOUT_MS = 15_000;
const DEFAULT_PAGE_ITEMS = 500;
const MAX_PAGE_ITEMS = 1_000;
const NEWLINE = 0x0a;

/** Serves the job API to callers. */
export class JobService {
  readonly #view: FleetView;
  readonly #state: StateClient;
  readonly #groupCount: number;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #limits: JobLimits;

  constructor(options: {
    view: FleetView;
    state: StateClient;
    groupCount: number;
    clock: Clock;
    random: Random;
    limits: JobLimits;
  }) {
    this.#view = options.view;
    this.#state = options.state;
    this.#groupCount = options.groupCount;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#limits = options.limits;
  }

  /** Serves one request under {@linkcode JOBS_PATH}. */
  async serve(call: CallerRequest): Promise<void> {
    const url = new URL(call.req.url ?? "/", "http://localhost");
    const method = call.req.method ?? "GET";
    const [id, action] = url.pathname.slice(JOBS_PATH.length).split("/")
      .filter((part) => part !== "").map(decodeURIComponent);
    const route = `${method} ${id === undefined ? "" : ":id"} ${action ?? ""}`;
    switch (route.trimEnd()) {
      case "POST":
        return await this.#submit(call, url.searchParams);
      case "GET":
        return await this.#list(call);
      case "GET :id":
        return await this.#getStatus(call, id ?? "");
      case "GET :id results":
        return await this.#getResults(call, id ?? "", url.searchParams);
      case "POST :id cancel":
        return await this.#cancel(call, id ?? "");
      default:
        throw new ServingError(MessageCode.METHOD_REFUSED, {
          parameters: { path: url.pathname, method },
        });
    }
  }

  async #submit(call: CallerRequest, params: URLSearchParams): Promise<void> {
    const workload = this.#getWorkload(params.get("workload") ?? "");
    const id = call.key === ""
      ? this.#random.createId()
      : getDigestHex(call.caller, call.key).slice(0, 32);
    const group = getItemGroup(id, this.#groupCount);
    const existing = await this.#tryGetJob(group, id);
    const upload = existing === undefined
      ? new JobUpload({ id, group, state: this.#state })
      : undefined;
    const reader = new LineReader(this.#limits);
    const hash = createHash("sha256").update(workload.name).update("\0");
    for await (const line of reader.read(call.req)) {
      hash.update(line).update("\n");
      await upload?.add(line);
    }
    const digest = new Uint8Array(hash.digest());
    if (existing !== undefined) {
      if (Buffer.compare(existing.digest, digest) !== 0) {
        throw new ServingError(MessageCode.KEY_REUSED);
      }
      sendJson(call.res, 200, describeJob(existing));
      return;
    }
    await upload?.flush();
    const job = await this.#commit(call, workload, {
      id,
      digest,
      itemCount: reader.count,
      group,
    });
    sendJson(call.res, 201, describeJob(job), {
      location: `${JOBS_PATH}/${id}`,
    });
  }

  async #commit(
    call: CallerRequest,
    workload: Workload,
    job: { id: string; digest: Uint8Array; itemCount: number; group: number },
  ): Promise<Job> {
    const deployment = this.#view.tryGetDeployment(workload.deployment);
    const nowMs = this.#clock.getWallMs();
    const reply = await this.#state.runItemCommand(job.group, {
      case: "commitJob",
      value: {
        id: job.id,
        caller: call.caller,
        operator: deployment?.operator ?? "",
        workload: workload.name,
        deployment: workload.deployment,
        deadlineMs: call.timeoutMs === undefined
          ? 0n
          : BigInt(Math.ceil(nowMs + call.timeoutMs)),
        itemCount: BigInt(job.itemCount),
        digest: job.digest,
        nonIdempotent: workload.nonIdempotent || call.isMarkedNonIdempotent,
      },
    }, COMMIT_TIMEOUT_MS);
    if (reply.job === undefined) throw new ServingError(MessageCode.INTERNAL);
    return reply.job;
  }

  #getWorkload(name: string): Workload {
    if (this.#view.isDissolving()) {
      throw new ServingError(MessageCode.DISSOLVING);
    }
    const workload = this.#view.tryGetWorkload(name);
    if (workload?.batchAllowed === true) return workload;
    throw new ServingError(MessageCode.BAD_PARAMETER, {
      parameters: {
        name: "workload",
        expected: "the name of a workload that allows batch",
      },
    });
  }

  async #tryGetJob(group: number, id: string): Promise<Job | undefined> {
    const reply = await this.#state.query(group, { case: "jobId", value: id });
    return reply.jobs[0];
  }

  async #getCallerJob(call: CallerRequest, id: string): Promise<Job> {
    const group = getItemGroup(id, this.#groupCount);
    const job = await this.#tryGetJob(group, id);
    if (job?.caller === call.caller) return job;
    throw new ServingError(MessageCode.UNKNOWN_JOB, {
      parameters: { job: id },
    });
  }

  async #list(call: CallerRequest): Promise<void> {
    const replies = await Promise.all(
      getItemGroups(this.#groupCount).map((group) =>
        this.#state.query(group, {
          case: "listJobs",
          value: { caller: call.caller },
        })
      ),
    );
    const jobs = replies.flatMap((reply) => reply.jobs)
      .sort((a, b) => Number(b.createdMs - a.createdMs));
    sendJson(call.res, 200, { jobs: jobs.map(describeJob) });
  }

  async #getStatus(call: CallerRequest, id: string): Promise<void> {
    sendJson(call.res, 200, describeJob(await this.#getCallerJob(call, id)));
  }

  async #getResults(
    call: CallerRequest,
    id: string,
    params: URLSearchParams,
  ): Promise<void> {
    const after = parseIntegerParameter(params, "after", {
      fallback: 0,
      max: 2 ** 31,
    });
    const limit = parseIntegerParameter(params, "limit", {
      fallback: DEFAULT_PAGE_ITEMS,
      max: MAX_PAGE_ITEMS,
    });
    await this.#getCallerJob(call, id);
    const reply = await this.#state.query(
      getItemGroup(id, this.#groupCount),
      { case: "readResults", value: { jobId: id, after, limit } },
    );
    const lines = reply.items.map((item, offset) =>
      `${JSON.stringify(describeItem(item, after + offset))}\n`
    );
    const next = reply.next === 0
      ? {}
      : { "papayatally-next": String(reply.next) };
    sendWhole(
      call.res,
      200,
      { "content-type": "application/jsonl", ...next },
      lines.join(""),
    );
  }

  async #cancel(call: CallerRequest, id: string): Promise<void> {
    const reply = await this.#state.runItemCommand(
      getItemGroup(id, this.#groupCount),
      { case: "cancelJob", value: { jobId: id, caller: call.caller } },
    );
    sendJson(call.res, 200, reply.job ? describeJob(reply.job) : {});
  }
}

/** Uploads a job's items to its group in chunks, several in parallel. */
class JobUpload {
  readonly #id: string;
  readonly #group: number;
  readonly #state: StateClient;
  readonly #pendingChunks = new Set<Promise<void>>();
  #items: Item[] = [];
  #bytes = 0;
  #index = 0;
  #failure: unknown;

  constructor(options: { id: string; group: number; state: StateClient }) {
    this.#id = options.id;
    this.#group = options.group;
    this.#state = options.state;
  }

  async add(line: Uint8Array): Promise<void> {
    this.#items.push(create(ItemSchema, { body: line }));
    this.#bytes += line.length;
    const isFull = this.#items.length >= MAX_CHUNK_ITEMS ||
      this.#bytes >= MAX_CHUNK_BYTES;
    if (isFull) await this.#sendChunk();
  }

  /** Sends the last chunk and waits until all chunks are accepted. */
  async flush(): Promise<void> {
    if (this.#items.length > 0) await this.#sendChunk();
    await Promise.all(this.#pendingChunks);
    if (this.#failure !== undefined) throw this.#failure;
  }

  async #sendChunk(): Promise<void> {
    while (this.#pendingChunks.size >= MAX_CHUNKS_IN_FLIGHT) {
      await Promise.race(this.#pendingChunks);
    }
    if (this.#failure !== undefined) throw this.#failure;
    const chunk = { jobId: this.#id, index: this.#index, items: this.#items };
    this.#items = [];
    this.#bytes = 0;
    this.#index += 1;
    const pending: Promise<void> = this.#state.runItemCommand(this.#group, {
      case: "putChunk",
      value: chunk,
    }, COMMIT_TIMEOUT_MS).then(
      () => {},
      (error) => {
        this.#failure = error;
      },
    ).finally(() => this.#pendingChunks.delete(pending));
    this.#pendingChunks.add(pending);
  }
}

/**
 * Reads the lines of a job's body and enforces the limits of a job. The body is
 * streamed, so that it is never held in memory as a whole.
 */
class LineReader {
  readonly #limits: JobLimits;
  #bytes = 0;
  count = 0;

  constructor(limits: JobLimits) {
    this.#limits = limits;
  }

  async *read(body: IncomingMessage): AsyncGenerator<Uint8Array> {
    let remainder = Buffer.alloc(0);
    for await (const chunk of body) {
      this.#bytes += chunk.length;
      if (this.#bytes > this.#limits.jobBytes) {
        throw new ServingError(MessageCode.BODY_TOO_LARGE, {
          parameters: { limit: this.#limits.jobBytes },
        });
      }
      remainder = remainder.length === 0
        ? chunk
        : Buffer.concat([remainder, chunk]);
      let end = remainder.indexOf(NEWLINE);
      while (end >= 0) {
        yield* this.#checkLine(remainder.subarray(0, end));
        remainder = remainder.subarray(end + 1);
        end = remainder.indexOf(NEWLINE);
      }
      this.#checkLineLength(remainder);
    }
    yield* this.#checkLine(remainder);
    if (this.count === 0) {
      throw new ServingError(MessageCode.BODY_MALFORMED, {
        parameters: { reason: "the job has no items" },
      });
    }
  }

  *#checkLine(line: Buffer): Generator<Uint8Array> {
    if (line.toString().trim() === "") return;
    this.#checkLineLength(line);
    this.count += 1;
    if (this.count > this.#limits.jobItems) {
      throw new ServingError(MessageCode.TOO_MANY_ITEMS, {
        parameters: { limit: this.#limits.jobItems },
      });
    }
    parseItemLine(line, this.count);
    yield line;
  }

  #checkLineLength(line: Buffer): void {
    if (line.length <= this.#limits.lineBytes) return;
    throw new ServingError(MessageCode.LINE_TOO_LONG, {
      parameters: { line: this.count + 1, limit: this.#limits.lineBytes },
    });
  }
}

function parseIntegerParameter(
  params: URLSearchParams,
  name: string,
  options: { fallback: number; max: number },
): number {
  const text = params.get(name);
  if (text === null) return options.fallback;
  const value = Number(text);
  if (/^\d+$/.test(text) && value <= options.max) return value;
  throw new ServingError(MessageCode.BAD_PARAMETER, {
    parameters: { name, expected: `a whole number up to ${options.max}` },
  });
}
