/**
 * Generates the load of a soak run: requests of callers, changes by operators
 * and registrations of backend servers. Connections are kept alive and reused
 * until the process at the other end is gone.
 */
import http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { SeededRandom } from "../../sys/random.ts";
import {
  createConfig,
  type ReceivedResponse,
  sendHttpRequest,
} from "../platform_fleet.ts";
import {
  createOddRegistration,
  ODD_REGISTRATION_COUNT,
} from "./other_writer.ts";
import {
  type CallerAttempt,
  type EndedJob,
  getStreamPart,
  NO_STREAM_PART,
  type RunHistory,
  type SoakJob,
  SoakRequestKind,
  type SoakRequestKindName,
  type StreamPart,
} from "./run_history.ts";
import type { PlatformServer } from "../platform_server.ts";
import type { SoakFleet } from "./soak_fleet.ts";

/**
 * Intervals in milliseconds between requests, between jobs, between changes and
 * reads of the configuration, and between registrations of one server and of
 * another writer.
 */
const REQUEST_INTERVAL_MS = 15;
const JOB_INTERVAL_MS = 400;
const CONFIG_INTERVAL_MS = 700;
const HEARTBEAT_INTERVAL_MS = 400;
const ODD_REGISTRATION_INTERVAL_MS = 250;

/** Client-side timeout, in milliseconds: 500 ms past the request's deadline. */
const CALLER_TIMEOUT_MS = 3_500;

const DEADLINE_MS = 3_000;

const ITEMS_PER_JOB = 5;

/** Share of the jobs that their caller ends, if any are. */
const ENDED_SHARE = 0.3;

/**
 * Range of the time from the first attempt to submit a job to the first attempt to end
 * it, in milliseconds: from before until its items have run.
 */
const MIN_END_MS = -5_000;
const MAX_END_MS = 3_000;

/** Longest time until a job that has ended comes again, in milliseconds. */
const MAX_REPEAT_MS = 6_000;

/** Time between two attempts of a call about a job, in milliseconds. */
const RETRY_DELAY_MS = 300;

const KINDS = Object.keys(SoakRequestKind) as SoakRequestKindName[];

/**
 * Time limit for the items of a job, in seconds. It exceeds what the items take
 * on a machine whose processors are all busy.
 */
const RETENTION_S = 3_600;

function createSoakConfig(version: number): string {
  const config = JSON.parse(createConfig(version));
  config.Routes.forEach((route: { RetentionS?: number }) => {
    if (route.RetentionS !== undefined) route.RetentionS = RETENTION_S;
  });
  return JSON.stringify(config);
}

/** A page of a job's results, as in the response body. */
interface JobResultsPage {
  readonly Total: number;
  readonly Results: { Id: string; State: string; Text: string }[];
}

/** The load generator of one run; it records what it observes. */
export class SoakLoad {
  readonly #fleet: SoakFleet;
  readonly #history: RunHistory;
  readonly #random: SeededRandom;
  readonly #agents = new Map<string, http.Agent>();
  readonly #pending = new Set<Promise<unknown>>();
  #isRunning = false;
  #isClosed = false;
  #sentCount = 0;
  #oddRegistrationCount = 0;
  #configVersion = 0;
  /** Newest configuration version that was acknowledged. */
  acknowledgedVersion = 0;

  constructor(fleet: SoakFleet, history: RunHistory, seed: number) {
    this.#fleet = fleet;
    this.#history = history;
    this.#random = new SeededRandom(seed);
  }

  /**
   * Starts the load. Callers and operators send requests until
   * {@linkcode SoakLoad.stop}, and servers register until
   * {@linkcode SoakLoad.close}.
   */
  start(
    { hasOtherWriter, endsJobs }: {
      hasOtherWriter: boolean;
      endsJobs: boolean;
    },
  ): void {
    this.#isRunning = true;
    this.#repeat(
      REQUEST_INTERVAL_MS,
      () => this.sendRequest(this.#pickRandom(KINDS)),
    );
    this.#repeat(
      JOB_INTERVAL_MS,
      () =>
        endsJobs && this.#random.getFraction() < ENDED_SHARE
          ? this.#submitAndEnd()
          : this.submit(),
    );
    this.#repeat(CONFIG_INTERVAL_MS, () => this.changeConfig());
    this.#repeat(CONFIG_INTERVAL_MS, () => this.readConfig());
    if (hasOtherWriter) {
      this.#repeat(
        ODD_REGISTRATION_INTERVAL_MS,
        () => this.#sendOddRegistration(),
      );
    }
    this.#fleet.servers.forEach((server) =>
      this.#repeat(
        HEARTBEAT_INTERVAL_MS,
        () => this.#sendHeartbeat(server),
        () => !this.#isClosed,
      )
    );
  }

  /** Stops the requests of callers and operators. */
  stop(): void {
    this.#isRunning = false;
  }

  /** Stops all load, and waits for the requests in progress. */
  async close(): Promise<void> {
    this.#isRunning = false;
    this.#isClosed = true;
    while (this.#pending.size > 0) await Promise.all(this.#pending);
    this.#agents.forEach((agent) => agent.destroy());
  }

  /** Sends one request of a caller to a gateway. */
  async sendRequest(
    kind: SoakRequestKindName,
    gateway = this.#pickRandom(this.#fleet.targets.gateways),
  ): Promise<CallerAttempt> {
    const attempt = await this.#sendAttempt(kind, gateway, NO_STREAM_PART);
    const part = getStreamPart(attempt);
    const isBroken = kind === "stream" && attempt.status === 200 &&
      !attempt.isComplete && part.lastEvent > 0;
    if (isBroken) {
      const other = this.#pickRandom(this.#fleet.targets.gateways);
      await this.#sendAttempt(kind, other, part);
    }
    return attempt;
  }

  /** Sends one attempt of a caller, which may take up a broken stream. */
  async #sendAttempt(
    kind: SoakRequestKindName,
    gateway: string,
    before: StreamPart,
  ): Promise<CallerAttempt> {
    this.#sentCount += 1;
    const id = `r${this.#sentCount}`;
    const body = `body of ${id}`;
    const attempt: CallerAttempt = {
      id,
      kind,
      gateway,
      body,
      startMs: performance.now(),
      endMs: Infinity,
      status: 0,
      text: "",
      isComplete: false,
      isPastDeadline: false,
      before,
    };
    this.#history.attempts.push(attempt);
    const response = await this.#sendHttpRequest(
      gateway,
      "POST",
      SoakRequestKind[kind].target,
      {
        "X-Request-Id": id,
        "X-Deadline-Ms": String(DEADLINE_MS),
        ...before.lastEvent === 0 ? {} : {
          "Last-Event-Id": String(before.lastEvent),
          "Resumes": before.request,
        },
      },
      body,
    );
    const { status, text, isComplete } = response;
    const endMs = performance.now();
    const isPastDeadline = endMs - attempt.startMs >= DEADLINE_MS;
    Object.assign(attempt, { status, text, isComplete, endMs, isPastDeadline });
    return attempt;
  }

  /** Submits a job, and records it if accepted. */
  async submit(): Promise<void> {
    const job = this.#createJob();
    if (await this.#submit(job)) this.#history.jobs.push(job);
  }

  /**
   * Submits a job and ends it before, while or after it arrives. Some come again after
   * their end.
   */
  async #submitAndEnd(): Promise<void> {
    const job: EndedJob = { ...this.#createJob(), endedMs: Infinity };
    this.#history.endedJobs.push(job);
    const endMs = MIN_END_MS +
      this.#random.getFraction() * (MAX_END_MS - MIN_END_MS);
    const repeatMs = this.#random.getFraction() * MAX_REPEAT_MS;
    const isRepeated = this.#random.getFraction() < 0.5;
    const submitted = delay(Math.max(0, -endMs)).then(() => this.#submit(job));
    await delay(Math.max(0, endMs));
    while (job.endedMs === Infinity && !this.#isClosed) {
      const { status } = await this.#sendHttpRequest(
        this.#pickRandom(this.#fleet.targets.gateways),
        "DELETE",
        `/-/lots/${job.id}`,
        {},
      );
      if (status === 200) job.endedMs = performance.now();
      else await delay(RETRY_DELAY_MS);
    }
    await submitted;
    if (!isRepeated) return;
    await delay(repeatMs);
    await this.#submit(job);
  }

  #createJob(): SoakJob {
    this.#sentCount += 1;
    const id = `j${this.#sentCount}`;
    const items = Array.from(
      { length: ITEMS_PER_JOB },
      (_, index) => `${id}-${index}`,
    );
    items.forEach((item) => this.#history.items.add(item));
    return { id, items, results: [] };
  }

  /** Submits a job in up to three attempts; returns whether it was accepted. */
  async #submit({ id, items }: SoakJob): Promise<boolean> {
    const body = JSON.stringify({
      Items: items.map((item) => ({
        Id: item,
        Path: `/b/${item}`,
        Headers: {},
        Body: Buffer.from(`body of ${item}`).toString("base64"),
        Tokens: 1,
      })),
    });
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const gateway = this.#pickRandom(this.#fleet.targets.gateways);
      const { status } = await this.#sendHttpRequest(gateway, "POST", "/b/", {
        "X-Request-Id": id,
      }, body);
      if (status === 202) return true;
      await delay(RETRY_DELAY_MS);
    }
    return false;
  }

  /**
   * Reads a page of a job's results, from the last known one on, which must not
   * have changed. Returns whether all results are known.
   */
  async readJob(job: RunHistory["jobs"][number]): Promise<boolean> {
    const after = Math.max(0, job.results.length - 1);
    const gateway = this.#pickRandom(this.#fleet.targets.gateways);
    const { status, text } = await this.#sendHttpRequest(
      gateway,
      "GET",
      `/-/lots/${job.id}?After=${after}`,
      { "X-Wait-Ms": "200" },
    );
    if (status !== 200) return false;
    const page = JSON.parse(text) as JobResultsPage;
    const results = page.Results.map((result) => ({
      id: result.Id,
      state: result.State,
      text: result.Text,
    }));
    this.#history.recordResults(job, after, results);
    return job.results.length >= job.items.length;
  }

  async changeConfig(): Promise<boolean> {
    this.#configVersion += 1;
    const version = this.#configVersion;
    const { status } = await this.#sendControlRequest("PUT", "/-/config", {
      body: createSoakConfig(version),
    });
    if (status === 200) {
      this.acknowledgedVersion = Math.max(this.acknowledgedVersion, version);
    }
    return status === 200;
  }

  async readConfig(): Promise<boolean> {
    const { acknowledgedVersion } = this;
    const { status, text } = await this.#sendControlRequest(
      "GET",
      "/-/config",
      {},
    );
    if (status !== 200) return false;
    const { Version: version } = JSON.parse(text) as { Version: number };
    this.#history.configReads.push({
      version,
      acknowledgedVersion,
    });
    return true;
  }

  #sendHeartbeat(server: PlatformServer): Promise<unknown> {
    return this.#sendControlRequest("PUT", `/-/instances/${server.id}`, {
      body: server.createRegistration(),
    });
  }

  #sendOddRegistration(): Promise<unknown> {
    const index = this.#oddRegistrationCount % ODD_REGISTRATION_COUNT;
    this.#oddRegistrationCount += 1;
    return this.#sendControlRequest("PUT", `/-/instances/odd-${index}`, {
      body: createOddRegistration(index),
    });
  }

  #sendControlRequest(
    method: string,
    target: string,
    options: { body?: string },
  ): Promise<ReceivedResponse> {
    const control = this.#pickRandom(this.#fleet.targets.controls);
    return this.#sendHttpRequest(control, method, target, {}, options.body);
  }

  #sendHttpRequest(
    host: string,
    method: string,
    target: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<ReceivedResponse> {
    const agent = this.#agents.get(host) ?? new http.Agent({ keepAlive: true });
    this.#agents.set(host, agent);
    return sendHttpRequest(this.#fleet.getAddress(host), method, target, {
      headers: { Host: "a.example", ...headers },
      body,
      agent,
      signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
    });
  }

  #pickRandom<T>(choices: readonly T[]): T {
    const choice = choices[this.#random.getIntegerBelow(choices.length)];
    if (choice === undefined) throw new Error("cannot pick from an empty list");
    return choice;
  }

  /** Repeats an action at an interval, without waiting for it to finish. */
  #repeat(
    intervalMs: number,
    action: () => Promise<unknown>,
    shouldContinue = () => this.#isRunning,
  ): void {
    if (!shouldContinue()) return;
    const pendingAction = action().catch((error) =>
      this.#history.faults.push(`the load generator failed: ${error}`)
    ).finally(() => this.#pending.delete(pendingAction));
    this.#pending.add(pendingAction);
    const nextRepetition = delay(intervalMs).then(() => {
      this.#pending.delete(nextRepetition);
      this.#repeat(intervalMs, action, shouldContinue);
    });
    this.#pending.add(nextRepetition);
  }
}
