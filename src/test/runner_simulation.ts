/**
 * Simulated runners of one store group. Each has its own clocks, of which only
 * the wall clock goes on while it is frozen, and its own copy of the replicated state, which may
 * lag behind the log. Records may be slow, be lost, be committed twice, or be
 * committed without a reply; those under way outlive a killed runner. Backend
 * servers are simulated too. They count the runs of each item, and each event of
 * a stream names the run that made it.
 */
import { create, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { PlatformCallerDialect } from "../../platform/caller_dialect.ts";
import type { AttemptOptions, AttemptResult } from "../fleet/backend_client.ts";
import { Header } from "../../platform/wire_names.ts";
import { ItemOwnership } from "../fleet/item_ownership.ts";
import { ItemRunner } from "../fleet/item_runner.ts";
import { LeaderContact } from "../fleet/leader_contact.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import { ServerPool } from "../fleet/server_pool.ts";
import {
  FleetUpdateSchema,
  JobCommandSchema,
  RequestKind,
  ServerState,
} from "../schema/mod.ts";
import { PromptPartGuard } from "../services/common/prompt_part_guard.ts";
import { createProcessContext } from "../services/mod.ts";
import { JobMachine } from "../state/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { MemoryLog } from "../sys/log.ts";
import { type Random, SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

/** What becomes of the records that a runner offers. */
export const RecordFate = {
  /** Committed and confirmed. */
  confirmed: "confirmed",
  /** Never committed; the runner gets an error after the timeout. */
  lost: "lost",
  /** Committed; the runner gets an error after the timeout. */
  unconfirmed: "unconfirmed",
} as const;

/** One of {@linkcode RecordFate}. */
export type RecordFate = typeof RecordFate[keyof typeof RecordFate];

/** Statuses that a server answers an item with: always the same one. */
export type ItemStatus = 200 | 422 | 500;

const STEP_MS = 5;
const DATA_INTERVAL_MS = 500;
const RECORD_TIMEOUT_MS = 2_000;
const SERVER_COUNT = 4;
export const HOST = "a.example";
const START_WALL_MS = 1_000_000;
const MAX_ATTEMPTS = 3;

/** Interval between the events of a stream, in milliseconds. */
const EVENT_INTERVAL_MS = 40;

const DIALECTS = {
  caller: new PlatformCallerDialect(),
  backend: new PlatformBackendDialect(),
};

/** A run of an item that a server has answered. */
export interface AnsweredRun {
  readonly item: string;
  readonly runner: string;
  readonly status: ItemStatus;
  readonly atMs: number;
}

/** A run that a server has started as a stream. */
export interface StreamRun {
  readonly item: string;
  readonly runner: string;
  /** Number of the event after which it was asked to continue. */
  readonly resumeAfter: number;
  readonly atMs: number;
}

/** Options of a {@linkcode RunnerSimulation}. */
export interface RunnerSimulationOptions {
  /** Events of an item with status 200; by default one that comes at the end. */
  readonly eventCount?: number;
  /** Rules by which the replicated state tells runs apart. */
  readonly commandVersion?: number;
  /** Draws what becomes of each stream; by default all are whole. */
  readonly streamFaults?: Random;
}

/** What becomes of a stream, and after how many events of it. */
interface StreamFault {
  readonly kind:
    | "whole"
    | "reset"
    | "reset at once"
    | "inside an event"
    | "lost"
    | "not run";
  readonly events: number;
  readonly isDelimited: boolean;
}

const WHOLE_STREAM: StreamFault = {
  kind: "whole",
  events: Infinity,
  isDelimited: true,
};

const COMMENT = ": still at work\n\n";

/** Most of the streams that break off do so soon. */
function drawStreamFault(random: Random): StreamFault {
  const fraction = random.getFraction();
  const isDelimited = random.getFraction() < 0.5;
  const events = random.getIntegerBelow(random.getFraction() < 0.5 ? 3 : 40);
  const kinds: readonly [number, StreamFault["kind"]][] = [
    [0.3, "whole"],
    [0.5, "reset"],
    [0.65, "reset at once"],
    [0.85, "inside an event"],
    [0.95, "lost"],
    [1, "not run"],
  ];
  const [, kind = "whole"] = kinds.find(([limit]) => fraction < limit) ?? [];
  return { kind, isDelimited, events: kind === "whole" ? Infinity : events };
}

type JobCommandInit = MessageInitShape<typeof JobCommandSchema>["command"];

/** One simulated runner. */
export class SimulatedRunner {
  readonly id: string;
  readonly machine = new JobMachine();
  readonly clock: ManualClock;
  readonly log = new MemoryLog();
  readonly itemRunner: ItemRunner;
  readonly #simulation: RunnerSimulation;
  readonly pool: ServerPool;
  readonly view: RoutingView;
  appliedIndex = 0;
  /** Entries are applied this long after their commit, in milliseconds. */
  applyLagMs = 10;
  /** Time from the offer of a record to its commit, in milliseconds. */
  recordDelayMs = 10;
  recordFate: RecordFate = RecordFate.confirmed;
  /** Time after which a record is committed once more; undefined for never. */
  repeatRecordMs: number | undefined;
  /** Time after which a server answers a run, in milliseconds. */
  runMs = 20;
  hasLeader = true;
  /** Whether committed entries reach this runner while it knows a leader. */
  getsEntries = true;
  isFrozen = false;
  /** Time on its own clock before which nothing reaches it. */
  #unreachableUntilMs = 0;
  /** Whether a message has reached it since the last freeze. */
  #isContactConfirmed = true;

  constructor(id: string, simulation: RunnerSimulation) {
    this.id = id;
    this.#simulation = simulation;
    this.clock = new ManualClock(START_WALL_MS + simulation.nowMs);
    const context = createProcessContext({
      name: id,
      clock: this.clock,
      log: this.log,
      random: new SeededRandom(simulation.createSeed()),
    });
    const view = createView(this.clock, this.log);
    this.view = view;
    this.pool = new ServerPool({
      dataCentre: "dc-1",
      view,
      clock: this.clock,
      random: context.random,
      log: this.log,
    });
    const leaderContact = new LeaderContact({
      getReplica: () => ({
        leader: this.hasLeader ? "leader" : "",
        term: 1,
        appliedIndex: this.appliedIndex,
        isCaughtUp: () =>
          this.hasLeader && this.getsEntries && this.#isContactConfirmed,
      }),
      clock: this.clock,
      log: this.log,
    });
    this.itemRunner = new ItemRunner({
      getOpenJobs: () => this.machine.getOpenJobs(),
      canStart: () => leaderContact.isCurrent(),
      canContinue: () => leaderContact.wasCurrentRecently(),
      identifiesChains: () => this.machine.identifiesChains,
      getAppliedIndex: () => this.appliedIndex,
      ownership: new ItemOwnership({
        getId: () => id,
        getRunners: () => this.machine.runners,
        getDataCentre: () => "dc-1",
        clock: this.clock,
      }),
      record: (runs) => this.#record({ case: "recordRuns", value: runs }),
      view,
      pool: this.pool,
      backendClient: { send: (options) => this.#send(options) },
      crashDetector: { recordConnectionLoss: () => Promise.resolve() },
      promptPartGuard: new PromptPartGuard({
        ...context,
        suspicions: view.promptParts,
        onChange: () => {},
      }),
      dialects: DIALECTS,
      context,
    });
    this.itemRunner.start();
  }

  /** Advances this runner's time and applies what has reached it. */
  advance(ms: number): void {
    if (this.isFrozen) {
      this.clock.stepWall(ms);
      this.#isContactConfirmed = false;
      return;
    }
    this.clock.advance(ms);
    if (this.clock.getMonotonicMs() < this.#unreachableUntilMs) return;
    if (!this.hasLeader || !this.getsEntries) return;
    this.#isContactConfirmed = true;
    this.applyUntil(this.#simulation.nowMs - this.applyLagMs);
  }

  /** Continues after a freeze; the first message arrives `messageDelayMs` later. */
  thaw(messageDelayMs: number): void {
    this.isFrozen = false;
    this.confirmContactIn(messageDelayMs);
  }

  /** Doubts its contact, as after a suspension, until a message in `ms`. */
  confirmContactIn(ms: number): void {
    this.#isContactConfirmed = false;
    this.#unreachableUntilMs = this.clock.getMonotonicMs() + ms;
  }

  /** Applies the entries that were committed up to `committedMs`. */
  applyUntil(committedMs: number): void {
    const entries = this.#simulation.entries.slice(this.appliedIndex)
      .filter((entry) => entry.committedMs <= committedMs);
    entries.forEach(({ command }) => {
      this.appliedIndex += 1;
      this.machine.apply(command, {
        index: this.appliedIndex,
        term: 1,
        timeMs: START_WALL_MS,
      });
    });
    if (entries.length > 0) this.itemRunner.requestScheduling();
  }

  async #record(command: JobCommandInit) {
    const fate = this.hasLeader ? this.recordFate : RecordFate.lost;
    const { network } = this.#simulation;
    const commit = () => this.#simulation.commit(command);
    if (fate !== RecordFate.lost) {
      network.startTimer(this.recordDelayMs, commit);
      if (this.repeatRecordMs !== undefined) {
        network.startTimer(this.recordDelayMs + this.repeatRecordMs, commit);
      }
    }
    await this.clock.delay(this.recordDelayMs);
    if (fate === RecordFate.confirmed) return;
    await this.clock.delay(RECORD_TIMEOUT_MS);
    throw new Error("no answer in time");
  }

  #send(options: AttemptOptions): Promise<AttemptResult> {
    const item = options.request.requestId;
    const isStream = this.#simulation.eventCount > 0 &&
      this.#simulation.getStatus(item) === 200;
    return isStream ? this.#sendStream(options) : this.#sendPlain(options);
  }

  /** Streams events, each with the number of the run and its own as data. */
  #sendStream(
    { request, permit, resumeAfter = 0 }: AttemptOptions,
  ): Promise<AttemptResult> {
    const { streamRuns, eventCount, nowMs, streamFaults } = this.#simulation;
    const item = request.requestId;
    const fault = streamFaults === undefined
      ? WHOLE_STREAM
      : drawStreamFault(streamFaults);
    if (fault.kind === "not run") {
      return Promise.resolve({
        kind: "notRun",
        reason: "full",
        retryAfterMs: undefined,
      });
    }
    const run = streamRuns.push({
      item,
      runner: this.id,
      resumeAfter,
      atMs: nowMs,
    }) - 1;
    if (fault.kind === "lost") {
      return Promise.resolve({ kind: "lost", reason: "gone" });
    }
    const body = new IncomingMessage(new Socket());
    body.on("error", () => {});
    const breakOff = (event: number) => {
      if (fault.kind === "reset") body.destroy(new Error("reset"));
      else {
        if (fault.kind === "inside an event") {
          body.push(`id: ${event}\ndata: ${run}.${event}\n`);
        }
        body.push(null);
      }
    };
    const pushEvent = (event: number) => {
      if (body.destroyed) return;
      this.pool.recordActivity(permit.server.id);
      if (event > resumeAfter + fault.events) {
        breakOff(event);
        return;
      }
      if (event <= eventCount) {
        const isCommented = streamFaults !== undefined && event % 3 === 0;
        body.push(
          `${
            isCommented ? COMMENT : ""
          }id: ${event}\ndata: ${run}.${event}\n\n`,
        );
        this.clock.startTimer(EVENT_INTERVAL_MS, () => pushEvent(event + 1));
        return;
      }
      body.complete = true;
      body.push(null);
    };
    this.clock.startTimer(EVENT_INTERVAL_MS, () => pushEvent(resumeAfter + 1));
    const response = {
      status: 200,
      headers: {},
      body,
      chunks: body,
      isDelimited: fault.isDelimited,
      // Without a length, a body also ends in an orderly way if it is cut off.
      isComplete: () =>
        Promise.resolve(
          body.complete ||
            fault.kind === "inside an event" && !fault.isDelimited,
        ),
    };
    return Promise.resolve({ kind: "response", response });
  }

  #sendPlain(
    { request, permit, signal }: AttemptOptions,
  ): Promise<AttemptResult> {
    // Data from the server, without which it would count as silent.
    for (let ms = DATA_INTERVAL_MS; ms < this.runMs; ms += DATA_INTERVAL_MS) {
      this.clock.startTimer(
        ms,
        () => this.pool.recordActivity(permit.server.id),
      );
    }
    return new Promise((resolve) =>
      this.clock.startTimer(this.runMs, () => {
        const item = request.requestId;
        const status = this.#simulation.getStatus(item);
        this.#simulation.answered.push({
          item,
          runner: this.id,
          status,
          atMs: this.#simulation.nowMs,
        });
        const response = createResponse(status, { isEnded: true });
        resolve(
          signal.aborted ? { kind: "aborted" } : { kind: "response", response },
        );
      })
    );
  }
}

/** Options of a job that is submitted. */
export interface SubmitOptions {
  readonly route?: string;
  readonly path?: string;
  /** Shared parts of the prompts of its items; empty for none. */
  readonly prefix?: string;
  /** Version of the routes by which it was accepted; 0 as from older builds. */
  readonly routesVersion?: bigint;
  /** Time from its submission until its results are due, in milliseconds. */
  readonly dueMs?: number;
  /** Ids of its items; `JOB-POSITION` by default. */
  readonly itemIds?: readonly string[];
}

/** Several runners over one replicated log. */
export class RunnerSimulation {
  readonly #runners: SimulatedRunner[];
  readonly #commandVersion: number;
  #startCount = 0;
  /** Number of events of an item with status 200; 0 without streams. */
  readonly eventCount: number;
  readonly streamFaults: Random | undefined;
  /** Clock of the messages under way. */
  readonly network = new ManualClock(0);
  readonly streamRuns: StreamRun[] = [];
  readonly entries: { command: Uint8Array; committedMs: number }[] = [];
  /** Status of each item; 200 by default. */
  readonly statuses = new Map<string, ItemStatus>();
  readonly answered: AnsweredRun[] = [];
  /** State with all committed entries applied. */
  readonly committed = new JobMachine();
  nowMs = 0;

  constructor(ids: readonly string[], options: RunnerSimulationOptions = {}) {
    this.eventCount = options.eventCount ?? 0;
    this.streamFaults = options.streamFaults;
    this.#commandVersion = options.commandVersion ?? 1;
    this.#runners = ids.map((id) => new SimulatedRunner(id, this));
    this.setRunners(ids);
  }

  get runners(): readonly SimulatedRunner[] {
    return this.#runners;
  }

  get runner(): SimulatedRunner {
    return this.runners[0] as SimulatedRunner;
  }

  /** Returns another seed for each start of a runner. */
  createSeed(): number {
    this.#startCount += 1;
    return this.#startCount;
  }

  /** Status with which servers answer an item. */
  getStatus(item: string): ItemStatus {
    return this.statuses.get(item) ?? 200;
  }

  /** Kills a runner and starts it again with only the log. */
  restart(runner: SimulatedRunner): void {
    const position = this.#runners.indexOf(runner);
    this.#runners[position] = new SimulatedRunner(runner.id, this);
  }

  commit(command: JobCommandInit): void {
    const bytes = toBinary(
      JobCommandSchema,
      create(JobCommandSchema, { command }),
    );
    this.entries.push({ command: bytes, committedMs: this.nowMs });
    this.committed.apply(bytes, {
      index: this.entries.length,
      term: 1,
      timeMs: START_WALL_MS,
    });
  }

  setRunners(ids: readonly string[]): void {
    this.commit({
      case: "setRunners",
      value: { ids: [...ids], commandVersion: this.#commandVersion },
    });
  }

  /** Submits a job of one item per status; their ids are `JOB-POSITION`. */
  submit(
    job: string,
    statuses: readonly ItemStatus[],
    {
      route = "jobs",
      path = "/b/x",
      prefix = "",
      routesVersion = 1n,
      dueMs = 600_000,
      itemIds = [],
    }: SubmitOptions = {},
  ): string[] {
    const ids = statuses.map((status, index) => {
      const id = itemIds[index] ?? `${job}-${index}`;
      this.statuses.set(id, status);
      return id;
    });
    this.commit(
      {
        case: "submit",
        value: {
          id: job,
          route,
          routesVersion,
          host: HOST,
          dueMs,
          retentionMs: 600_000,
          maxAttempts: MAX_ATTEMPTS,
          items: ids.map((id) => ({
            id,
            path,
            tokens: 1n,
            headers: prefix === ""
              ? []
              : [{ name: Header.prefix, value: prefix }],
          })),
        },
      },
    );
    return ids;
  }

  async advance(ms: number): Promise<void> {
    for (const _ of range(Math.ceil(ms / STEP_MS))) {
      this.nowMs += STEP_MS;
      this.network.advance(STEP_MS);
      this.runners.forEach((runner) => runner.advance(STEP_MS));
      await flushPromises();
    }
  }

  /** Number of answers with `status` that an item has got. */
  countAnswers(item: string, status: ItemStatus): number {
    return this.answered.filter((run) =>
      run.item === item && run.status === status
    ).length;
  }
}

function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Registers servers anew, each with its software version and slots. */
export function registerVersions(
  view: RoutingView,
  servers: readonly { version: string; slots: number }[],
): void {
  view.applyUpdate(
    create(FleetUpdateSchema, {
      servers: range(SERVER_COUNT).map((index) => ({
        id: `s-${index}`,
        bornMs: 2n,
        sequence: 1n,
        service: "s",
        address: `10.0.0.${index}:80`,
        dataCentre: "dc-1",
        state: ServerState.READY,
        slots: servers[index % servers.length]?.slots ?? 0,
        softwareVersion: servers[index % servers.length]?.version ?? "",
      })),
    }),
    "test",
  );
}

/** All registered servers send a heartbeat. */
export function recordHeartbeats(view: RoutingView): void {
  const heard = view.servers.getAll().map(({ id }) => id);
  view.applyUpdate(create(FleetUpdateSchema, { heard }), "test");
}

function createView(clock: ManualClock, log: MemoryLog): RoutingView {
  const view = new RoutingView({
    registrationIntervalMs: 600_000,
    clock,
    log,
  });
  const update = create(FleetUpdateSchema, {
    routes: {
      version: 1n,
      routes: [{
        name: "jobs",
        host: HOST,
        pathPrefix: "/b/",
        kind: RequestKind.BATCH,
        timeoutMs: 5_000,
        targets: [{ service: "s", weight: 1 }],
        maxAttempts: MAX_ATTEMPTS,
      }],
      services: [{ name: "s" }],
    },
    servers: range(SERVER_COUNT).map((index) => ({
      id: `s-${index}`,
      bornMs: 1n,
      sequence: 1n,
      service: "s",
      address: `10.0.0.${index}:80`,
      dataCentre: "dc-1",
      state: ServerState.READY,
      slots: 8,
    })),
  });
  view.applyUpdate(update, "test");
  return view;
}

/** Creates a server's response, whose body never ends unless `isEnded`. */
export function createResponse(
  status: ItemStatus,
  { isEnded, event = 1 }: { isEnded: boolean; event?: number },
) {
  const body = new IncomingMessage(new Socket());
  body.complete = isEnded;
  if (status === 200) body.push(`id: ${event}\ndata: text\n\n`);
  if (isEnded) body.push(null);
  return {
    status,
    headers: {},
    body,
    chunks: body,
    isDelimited: true,
    isComplete: () => Promise.resolve(body.complete),
  };
}
