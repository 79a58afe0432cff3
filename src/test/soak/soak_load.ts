/**
 * What callers, operators and backend servers do during a soak. Callers keep
 * their connections open and use them until the process at the other end is
 * gone.
 */
import http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { SeededRandom } from "../../sys/random.ts";
import { type Answer, call, createConfig } from "../platform_fleet.ts";
import {
  type CallerAttempt,
  type Ledger,
  SoakKind,
  type SoakKindName,
} from "./ledger.ts";
import type { PlatformServer } from "../platform_server.ts";
import type { SoakFleet } from "./soak_fleet.ts";

/** Times between what callers, operators and servers do, in milliseconds. */
const REQUEST_MS = 15;
const JOB_MS = 400;
const CONFIG_MS = 700;
const BEAT_MS = 400;

/** Longest wait of a caller, in milliseconds; half a second past its deadline. */
const PATIENCE_MS = 3_500;

const DEADLINE_MS = 3_000;

const ITEMS_OF_JOB = 5;

const KINDS = Object.keys(SoakKind) as SoakKindName[];

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
interface Page {
  readonly Total: number;
  readonly Results: { Id: string; State: string; Text: string }[];
}

/** The load of one run. */
export class SoakLoad {
  readonly #fleet: SoakFleet;
  readonly #ledger: Ledger;
  readonly #random: SeededRandom;
  readonly #agents = new Map<string, http.Agent>();
  readonly #open = new Set<Promise<unknown>>();
  #isRunning = false;
  #isClosed = false;
  #sent = 0;
  #version = 0;
  /** Newest version that was acknowledged. */
  acknowledged = 0;

  constructor(fleet: SoakFleet, ledger: Ledger, seed: number) {
    this.#fleet = fleet;
    this.#ledger = ledger;
    this.#random = new SeededRandom(seed);
  }

  /** Runs until {@linkcode SoakLoad.stop}; servers until it is closed. */
  start(): void {
    this.#isRunning = true;
    this.#repeat(REQUEST_MS, () => this.ask(this.#pick(KINDS)));
    this.#repeat(JOB_MS, () => this.submit());
    this.#repeat(CONFIG_MS, () => this.changeConfig());
    this.#repeat(CONFIG_MS, () => this.readConfig());
    this.#fleet.servers.forEach((server) =>
      this.#repeat(BEAT_MS, () => this.#beat(server), () => !this.#isClosed)
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
    while (this.#open.size > 0) await Promise.all(this.#open);
    this.#agents.forEach((agent) => agent.destroy());
  }

  /** One request of a caller at a gateway. */
  async ask(
    kind: SoakKindName,
    gateway = this.#pick(this.#fleet.targets.gateways),
  ): Promise<CallerAttempt> {
    this.#sent += 1;
    const id = `r${this.#sent}`;
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
      isWhole: false,
      isOver: false,
    };
    this.#ledger.attempts.push(attempt);
    const answer = await this.#call(gateway, "POST", SoakKind[kind].target, {
      "X-Request-Id": id,
      "X-Deadline-Ms": String(DEADLINE_MS),
    }, body);
    const { status, text, isWhole } = answer;
    const endMs = performance.now();
    const isOver = endMs - attempt.startMs >= DEADLINE_MS;
    Object.assign(attempt, { status, text, isWhole, endMs, isOver });
    return attempt;
  }

  /** A job; it is sent again until it is accepted, or not at all known. */
  async submit(): Promise<void> {
    this.#sent += 1;
    const id = `j${this.#sent}`;
    const items = Array.from(
      { length: ITEMS_OF_JOB },
      (_, index) => `${id}-${index}`,
    );
    items.forEach((item) => this.#ledger.items.add(item));
    const body = JSON.stringify({
      Items: items.map((item) => ({
        Id: item,
        Path: `/b/${item}`,
        Headers: {},
        Body: Buffer.from(`body of ${item}`).toString("base64"),
        Tokens: 1,
      })),
    });
    for (let turn = 0; turn < 3; turn += 1) {
      const gateway = this.#pick(this.#fleet.targets.gateways);
      const { status } = await this.#call(gateway, "POST", "/b/", {
        "X-Request-Id": id,
      }, body);
      if (status === 202) {
        this.#ledger.jobs.push({ id, items, results: [] });
        return;
      }
      await delay(300);
    }
  }

  /** Reads what a job has by now; true when all of it is known. */
  async readJob(job: Ledger["jobs"][number]): Promise<boolean> {
    const after = Math.max(0, job.results.length - 1);
    const gateway = this.#pick(this.#fleet.targets.gateways);
    const { status, text } = await this.#call(
      gateway,
      "GET",
      `/-/lots/${job.id}?After=${after}`,
      { "X-Wait-Ms": "200" },
    );
    if (status !== 200) return false;
    const page = JSON.parse(text) as Page;
    const results = page.Results.map((one) => ({
      id: one.Id,
      state: one.State,
      text: one.Text,
    }));
    this.#ledger.takeResults(job, after, results);
    return job.results.length >= job.items.length;
  }

  async changeConfig(): Promise<boolean> {
    this.#version += 1;
    const version = this.#version;
    const { status } = await this.#callControl("PUT", "/-/config", {
      body: createSoakConfig(version),
    });
    if (status === 200) {
      this.acknowledged = Math.max(this.acknowledged, version);
    }
    return status === 200;
  }

  async readConfig(): Promise<boolean> {
    const { acknowledged } = this;
    const { status, text } = await this.#callControl("GET", "/-/config", {});
    if (status !== 200) return false;
    const { Version: version } = JSON.parse(text) as { Version: number };
    this.#ledger.configReads.push({ version, acknowledged });
    return true;
  }

  #beat(server: PlatformServer): Promise<unknown> {
    return this.#callControl("PUT", `/-/instances/${server.id}`, {
      body: server.createRegistration(),
    });
  }

  #callControl(
    method: string,
    target: string,
    options: { body?: string },
  ): Promise<Answer> {
    const control = this.#pick(this.#fleet.targets.controls);
    return this.#call(control, method, target, {}, options.body);
  }

  #call(
    host: string,
    method: string,
    target: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<Answer> {
    const agent = this.#agents.get(host) ?? new http.Agent({ keepAlive: true });
    this.#agents.set(host, agent);
    return call(this.#fleet.getAddress(host), method, target, {
      headers: { Host: "a.example", ...headers },
      body,
      agent,
      signal: AbortSignal.timeout(PATIENCE_MS),
    });
  }

  #pick<T>(from: readonly T[]): T {
    const one = from[this.#random.getIntegerBelow(from.length)];
    if (one === undefined) throw new Error("nothing to pick from");
    return one;
  }

  /** Does something again and again, without waiting for it to end. */
  #repeat(
    everyMs: number,
    action: () => Promise<unknown>,
    isWanted = () => this.#isRunning,
  ): void {
    if (!isWanted()) return;
    const done = action().catch((error) =>
      this.#ledger.faults.push(`the soak itself failed: ${error}`)
    ).finally(() => this.#open.delete(done));
    this.#open.add(done);
    const again = delay(everyMs).then(() => {
      this.#open.delete(again);
      this.#repeat(everyMs, action, isWanted);
    });
    this.#open.add(again);
  }
}
