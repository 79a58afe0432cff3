/**
 * What callers, operators and backend servers do during a soak. Callers keep
 * their connections open and use them until the process at the other end is
 * gone.
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
  type CallerAttempt,
  type RunHistory,
  SoakRequestKind,
  type SoakRequestKindName,
} from "./run_history.ts";
import type { PlatformServer } from "../platform_server.ts";
import type { SoakFleet } from "./soak_fleet.ts";

/** Times between what callers, operators and servers do, in milliseconds. */
const REQUEST_INTERVAL_MS = 15;
const JOB_INTERVAL_MS = 400;
const CONFIG_INTERVAL_MS = 700;
const HEARTBEAT_INTERVAL_MS = 400;

/** Longest wait of a caller, in milliseconds; half a second past its deadline. */
const CALLER_TIMEOUT_MS = 3_500;

const DEADLINE_MS = 3_000;

const ITEMS_PER_JOB = 5;

const KINDS = Object.keys(SoakRequestKind) as SoakRequestKindName[];

/**
 * Time that items have to be done, in seconds: more than a machine without
 * processor time to spare takes.
 */
const RETENTION_S = 3_600;

function createSoakConfig(version: number): string {
  const config = JSON.parse(createConfig(version));
  config.Routes.forEach((route: { RetentionS?: number }) => {
    if (route.RetentionS !== undefined) route.RetentionS = RETENTION_S;
  });
  return JSON.stringify(config);
}

/** A page of a job's results. */
interface JobResultsPage {
  readonly Total: number;
  readonly Results: { Id: string; State: string; Text: string }[];
}

/** The load of one run. */
export class SoakLoad {
  readonly #fleet: SoakFleet;
  readonly #history: RunHistory;
  readonly #random: SeededRandom;
  readonly #agents = new Map<string, http.Agent>();
  readonly #pending = new Set<Promise<unknown>>();
  #isRunning = false;
  #isClosed = false;
  #sentCount = 0;
  #configVersion = 0;
  /** Newest version that was acknowledged. */
  acknowledgedVersion = 0;

  constructor(fleet: SoakFleet, history: RunHistory, seed: number) {
    this.#fleet = fleet;
    this.#history = history;
    this.#random = new SeededRandom(seed);
  }

  /** Runs until {@linkcode SoakLoad.stop}; servers until it is closed. */
  start(): void {
    this.#isRunning = true;
    this.#repeat(
      REQUEST_INTERVAL_MS,
      () => this.sendRequest(this.#pickRandom(KINDS)),
    );
    this.#repeat(JOB_INTERVAL_MS, () => this.submit());
    this.#repeat(CONFIG_INTERVAL_MS, () => this.changeConfig());
    this.#repeat(CONFIG_INTERVAL_MS, () => this.readConfig());
    this.#fleet.servers.forEach((server) =>
      this.#repeat(
        HEARTBEAT_INTERVAL_MS,
        () => this.#sendHeartbeat(server),
        () => !this.#isClosed,
      )
    );
  }

  /** Callers and operators send nothing more. */
  stop(): void {
    this.#isRunning = false;
  }

  /** Ends all, and waits for what is under way. */
  async close(): Promise<void> {
    this.#isRunning = false;
    this.#isClosed = true;
    while (this.#pending.size > 0) await Promise.all(this.#pending);
    this.#agents.forEach((agent) => agent.destroy());
  }

  /** One request of a caller at a gateway. */
  async sendRequest(
    kind: SoakRequestKindName,
    gateway = this.#pickRandom(this.#fleet.targets.gateways),
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
    };
    this.#history.attempts.push(attempt);
    const response = await this.#sendHttpRequest(
      gateway,
      "POST",
      SoakRequestKind[kind].target,
      {
        "X-Request-Id": id,
        "X-Deadline-Ms": String(DEADLINE_MS),
      },
      body,
    );
    const { status, text, isComplete: isWhole } = response;
    const endMs = performance.now();
    const isOver = endMs - attempt.startMs >= DEADLINE_MS;
    Object.assign(attempt, { status, text, isWhole, endMs, isOver });
    return attempt;
  }

  /** A job; it is sent again until it is accepted, or not at all known. */
  async submit(): Promise<void> {
    this.#sentCount += 1;
    const id = `j${this.#sentCount}`;
    const items = Array.from(
      { length: ITEMS_PER_JOB },
      (_, index) => `${id}-${index}`,
    );
    items.forEach((item) => this.#history.items.add(item));
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
      if (status === 202) {
        this.#history.jobs.push({ id, items, results: [] });
        return;
      }
      await delay(300);
    }
  }

  /** Reads what a job has by now; true when all of it is known. */
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
    const { acknowledgedVersion: acknowledgedVersion } = this;
    const { status, text } = await this.#sendControlRequest(
      "GET",
      "/-/config",
      {},
    );
    if (status !== 200) return false;
    const { Version: version } = JSON.parse(text) as { Version: number };
    this.#history.configReads.push({
      version,
      acknowledgedVersion: acknowledgedVersion,
    });
    return true;
  }

  #sendHeartbeat(server: PlatformServer): Promise<unknown> {
    return this.#sendControlRequest("PUT", `/-/instances/${server.id}`, {
      body: server.createRegistration(),
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
    if (choice === undefined) throw new Error("nothing to pick from");
    return choice;
  }

  /** Does something again and again, without waiting for it to end. */
  #repeat(
    intervalMs: number,
    action: () => Promise<unknown>,
    shouldContinue = () => this.#isRunning,
  ): void {
    if (!shouldContinue()) return;
    const pendingAction = action().catch((error) =>
      this.#history.faults.push(`the soak itself failed: ${error}`)
    ).finally(() => this.#pending.delete(pendingAction));
    this.#pending.add(pendingAction);
    const nextRepetition = delay(intervalMs).then(() => {
      this.#pending.delete(nextRepetition);
      this.#repeat(intervalMs, action, shouldContinue);
    });
    this.#pending.add(nextRepetition);
  }
}
