/**
 * Runs batch items in the capacity that online requests leave idle. Items are
 * claimed from the replicated state as room appears, give way to online
 * requests and resume from what they produced; outcomes are recorded in
 * batches.
 */
import { create } from "@bufbuild/protobuf";
import type { FleetView } from "../../membership/mod.ts";
import {
  DeploymentKind,
  type FinishedItem,
  FinishedItemSchema,
  MessageCode,
  type Outcome,
  type RenewReply,
  type Share,
  Verdict,
  type Workload,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { asServingError, getReason, ServingError } from "../../sys/errors.ts";
import type { Log } from "../../sys/log.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";
import { getDigestHex } from "../../sys/random.ts";
import {
  type Channel,
  createSlidingChannel,
  pause,
  send,
  settle,
  spawnRoutine,
  type Steps,
  tryReceiveWithin,
} from "../../sys/routines.ts";
import {
  createAnswerOutcome,
  createItemOutcome,
  createItemRun,
  createPoisoned,
  createSink,
  encodeProgress,
  getItemKey,
  type HeldItem,
  isFinalStatus,
} from "./batch_item.ts";
import type { BackendPool } from "../online/backend_pool.ts";
import { createFailure } from "../common/outcomes.ts";
import type {
  CompletionRequest,
  EngineRunner,
} from "../online/engine_runner.ts";
import { getItemGroups } from "../common/groups.ts";
import { isStaleEpoch, type ItemSessions } from "../common/item_sessions.ts";
import { parseItemLine } from "../common/item_line.ts";
import type { PlainService } from "../online/plain_service.ts";
import type { StateClient } from "../common/state_client.ts";

/** How a {@linkcode BatchRunner} is made. */
export interface BatchRunnerOptions {
  readonly view: FleetView;
  readonly pool: BackendPool;
  readonly runner: EngineRunner;
  readonly plain: PlainService;
  readonly state: StateClient;
  readonly sessions: ItemSessions;
  readonly groupCount: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

const CYCLE_MS = 20;
const FINISH_FLUSH_MS = 20;

/** Most items asked for in one claim. */
const MAX_CLAIM_ITEMS = 64;

/** Non-idempotent items are claimed as dispatched, so few at a time. */
const SERVICE_CLAIM_ITEMS = 16;

/** Items claimed ahead of their room, at least and for each that runs. */
const LEAST_AHEAD = 4;
const AHEAD_SHARE = 0.2;

/** Time after which an item that found no room goes back, in milliseconds. */
const MAX_HOLD_MS = 2_000;

/** Time that one batch item may take, in milliseconds. */
const ITEM_TIMEOUT_MS = 10 * 60_000;

const CLAIM_TIMEOUT_MS = 3_000;

/** Runs the batch items of one entry. */
export class BatchRunner {
  readonly #options: BatchRunnerOptions;
  readonly #held = new Map<string, HeldItem>();
  readonly #waiting = new Map<number, Share[]>();
  readonly #finished = new Map<
    number,
    { epoch: bigint; items: FinishedItem[] }[]
  >();
  readonly #wake: Channel<boolean> = createSlidingChannel(1);
  readonly #sequences = new Map<number, bigint>();
  /** Claims without an answer so far. */
  readonly #openClaims = new Map<number, Share[]>();
  #stopping = false;
  /** Claims whose answers are under way; they may still bring items. */
  #openCalls = 0;

  constructor(options: BatchRunnerOptions) {
    this.#options = options;
  }

  /** Items held and results that are not recorded yet. */
  get heldCount(): number {
    const unrecorded = [...this.#finished.values()].flat()
      .reduce((sum, batch) => sum + batch.items.length, 0);
    return this.#held.size + unrecorded;
  }

  /** Items are held or may still arrive, or results have to be recorded. */
  get #isBusy(): boolean {
    return this.#openCalls > 0 || this.heldCount > 0;
  }

  start(): void {
    const { log, groupCount } = this.#options;
    const onError = (error: unknown) =>
      log.error("batch_failed", { reason: getReason(error) });
    getItemGroups(groupCount).forEach((group) => {
      spawnRoutine(() => this.#claimAlways(group), onError);
      spawnRoutine(() => this.#recordAlways(group), onError);
    });
    spawnRoutine(() => this.#runAlways(), onError);
  }

  /** Jobs of a group of which this entry holds items. */
  getJobIds(group: number): string[] {
    const held = [...this.#held.values()].filter((item) =>
      item.group === group
    );
    return [...new Set(held.map((item) => item.claimed.ref?.jobId ?? ""))];
  }

  /** Takes what a renewal brought. */
  noteRenewed(group: number, reply: RenewReply): void {
    this.#waiting.set(group, reply.waiting);
    this.#getHeld((item) =>
      item.group === group &&
      reply.cancelledJobs.includes(item.claimed.ref?.jobId ?? "")
    ).forEach((item) => this.#drop(item));
  }

  /** The session is over: its items belong to others. */
  noteEnded(group: number, epoch: bigint): void {
    this.#getHeld((item) => item.group === group && item.epoch === epoch)
      .forEach((item) => this.#drop(item));
  }

  /** Claims nothing more, hands all items back and records all outcomes. */
  async stop(limitMs: number): Promise<void> {
    this.#stopping = true;
    this.#getHeld((item) => !item.claimed.nonIdempotent)
      .forEach((item) => item.abort.abort());
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + limitMs;
    while (this.#isBusy && clock.getMonotonicMs() < endMs) {
      await clock.delay(CYCLE_MS);
    }
  }

  /** Drops everything at once, as a crash would. */
  halt(): void {
    this.#stopping = true;
    this.#getHeld(() => true).forEach((item) => this.#drop(item));
    this.#finished.clear();
  }

  #getHeld(test: (item: HeldItem) => boolean): HeldItem[] {
    return [...this.#held.values()].filter(test);
  }

  #drop(item: HeldItem): void {
    this.#held.delete(getItemKey(item));
    item.abort.abort();
  }

  *#claimAlways(group: number): Steps<void> {
    const { clock } = this.#options;
    while (!this.#stopping) {
      const shares = this.#openClaims.get(group) ?? this.#getShares(group);
      if (shares.length > 0) yield* this.#claim(group, shares);
      yield* pause(clock, CYCLE_MS);
    }
  }

  /** What this entry has room for and the group has waiting. */
  #getShares(group: number): Share[] {
    const { pool } = this.#options;
    const idle = this.#getHeld((item) => !item.isRunning);
    return (this.#waiting.get(group) ?? []).map((share) => {
      const held = idle.filter((item) =>
        this.#tryGetWorkload(item)?.deployment === share.deployment
      ).length;
      const most = this.#isService(share.deployment)
        ? SERVICE_CLAIM_ITEMS
        : MAX_CLAIM_ITEMS;
      const open = pool.getBatchCapacity(share.deployment);
      const room = open + this.#getAhead(share.deployment) - held;
      return { ...share, maxItems: Math.min(share.maxItems, most, room) };
    }).filter((share) => share.maxItems > 0);
  }

  /**
   * Items claimed ahead of their room, so that a sequence that ends is
   * followed at once. Non-idempotent ones are not: a claim is their dispatch.
   */
  #getAhead(deployment: string): number {
    if (this.#isService(deployment)) return 0;
    const running = this.#getHeld((item) => item.isRunning).length;
    return running === 0 ? 0 : LEAST_AHEAD + Math.ceil(running * AHEAD_SHARE);
  }

  #isService(deployment: string): boolean {
    return this.#options.view.tryGetDeployment(deployment)?.kind ===
      DeploymentKind.PLAIN_SERVICE;
  }

  *#claim(group: number, shares: Share[]): Steps<void> {
    const { sessions, state, clock } = this.#options;
    const epoch = yield* settle(sessions.getEpoch(group));
    if (!epoch.ok) return;
    const sequence = this.#openClaims.get(group) === undefined
      ? (this.#sequences.get(group) ?? 0n) + 1n
      : this.#sequences.get(group) ?? 1n;
    this.#sequences.set(group, sequence);
    this.#openClaims.set(group, shares);
    this.#openCalls += 1;
    const reply = yield* settle(state.runItemCommand(group, {
      case: "claimItems",
      value: { epoch: epoch.value, shares, sequence },
    }, CLAIM_TIMEOUT_MS));
    this.#openCalls -= 1;
    if (!reply.ok) {
      // Asked again under the same number, so that a lost answer loses no item.
      if (isStaleEpoch(reply.error)) {
        this.#openClaims.delete(group);
        sessions.noteEnded(group, epoch.value);
      }
      return;
    }
    this.#openClaims.delete(group);
    reply.value.claimed.forEach((claimed) =>
      this.#hold({
        claimed,
        group,
        epoch: epoch.value,
        abort: new AbortController(),
        sink: createSink(claimed),
        heldSinceMs: clock.getMonotonicMs(),
        isRunning: false,
      })
    );
    send(this.#wake, true);
  }

  #hold(item: HeldItem): void {
    const key = getItemKey(item);
    if (!this.#held.has(key)) this.#held.set(key, item);
  }

  *#runAlways(): Steps<void> {
    const { clock } = this.#options;
    while (!this.#stopping || this.#isBusy) {
      yield* tryReceiveWithin(this.#wake, clock, CYCLE_MS);
      this.#considerAll();
    }
  }

  /** Looks at what waits; a workload without room is asked once. */
  #considerAll(): void {
    const full = new Set<string>();
    this.#getHeld((item) => !item.isRunning).forEach((item) => {
      const { workload } = item.claimed;
      const isFull = full.has(workload) && !this.#isOverdue(item);
      if (!isFull && !this.#consider(item)) full.add(workload);
    });
  }

  #isOverdue(item: HeldItem): boolean {
    const { clock } = this.#options;
    return this.#stopping ||
      clock.getMonotonicMs() - item.heldSinceMs > MAX_HOLD_MS;
  }

  /**
   * Starts an item if there is room, and gives it back if it waited long.
   * False when there was no room for it.
   */
  #consider(item: HeldItem): boolean {
    const { view } = this.#options;
    const workload = this.#tryGetWorkload(item);
    if (workload === undefined) {
      this.#end(item, {
        outcome: createFailure(
          new ServingError(MessageCode.UNKNOWN_ROUTE, {
            parameters: { path: item.claimed.workload },
          }),
        ),
      });
      return true;
    }
    const deployment = view.tryGetDeployment(workload.deployment);
    const started = !this.#stopping && !item.abort.signal.aborted && (
      deployment?.kind === DeploymentKind.PLAIN_SERVICE
        ? this.#startService(item, workload)
        : this.#startEngine(item, workload)
    );
    if (started) return true;
    if (this.#isOverdue(item)) this.#end(item, {});
    return false;
  }

  #tryGetWorkload(item: HeldItem): Workload | undefined {
    return this.#options.view.tryGetWorkload(item.claimed.workload);
  }

  #startEngine(item: HeldItem, workload: Workload): boolean {
    const { pool, runner, view, clock } = this.#options;
    const run = item.run ?? this.#tryCreateRun(item, workload);
    if (run === undefined) return true;
    item.run = run;
    if (view.suspicions.isRefused(run.fingerprint)) {
      this.#end(item, { outcome: createPoisoned(view, run.fingerprint) });
      return true;
    }
    const placement = pool.tryPlaceBatch({
      deployment: run.deployment,
      model: run.body.model,
      excluded: new Set(),
      isSuspect: view.suspicions.isSuspect(run.fingerprint),
    });
    if (placement === undefined) return false;
    item.isRunning = true;
    runner.runAttempt(run, item.sink, placement).then((end) => {
      item.isRunning = false;
      item.heldSinceMs = clock.getMonotonicMs();
      switch (end.kind) {
        case "done":
          return this.#end(item, { outcome: createItemOutcome(item.sink) });
        case "answered":
          return this.#end(
            item,
            isFinalStatus(end.status)
              ? { outcome: createAnswerOutcome(end) }
              : { charged: end.status !== 429 && end.status !== 503 },
          );
        case "broken":
          return this.#endBroken(item, end);
        case "aborted":
          if (clock.getMonotonicMs() >= run.deadlineMs) {
            return this.#end(item, { charged: true });
          }
          // Gave way: it waits here for room and resumes.
          send(this.#wake, true);
      }
    }, (error) => this.#fail(item, error));
    return true;
  }

  #endBroken(
    item: HeldItem,
    end: { verdict: Verdict; reason: string },
  ): void {
    if (item.claimed.nonIdempotent && end.verdict !== Verdict.NOT_RUN) {
      const lost = new ServingError(MessageCode.ANSWER_LOST, {
        verdict: end.verdict,
        parameters: { reason: end.reason },
      });
      this.#end(item, { outcome: createFailure(lost) });
      return;
    }
    this.#end(item, { charged: end.verdict !== Verdict.NOT_RUN });
  }

  #tryCreateRun(
    item: HeldItem,
    workload: Workload,
  ): CompletionRequest | undefined {
    const nowMs = this.#options.clock.getMonotonicMs();
    try {
      return createItemRun(item, workload, nowMs + ITEM_TIMEOUT_MS);
    } catch (error) {
      this.#end(item, { outcome: createFailure(asServingError(error)) });
      return undefined;
    }
  }

  #startService(item: HeldItem, workload: Workload): boolean {
    const { plain, clock, pool } = this.#options;
    if (pool.getBatchCapacity(workload.deployment) <= 0) return false;
    const { body } = parseItemLine(
      item.claimed.item?.body ?? new Uint8Array(),
      0,
    );
    const text = JSON.stringify(body);
    item.isRunning = true;
    plain.runToCompletion({
      requestId: getItemKey(item),
      method: "POST",
      path: workload.pathPrefix,
      headers: { "content-type": "application/json" },
      body: new TextEncoder().encode(text),
      deployment: workload.deployment,
      caller: item.claimed.caller,
      fingerprint: getDigestHex(workload.name, text),
      isNonIdempotent: item.claimed.nonIdempotent,
      deadlineMs: clock.getMonotonicMs() +
        (workload.timeoutMs || ITEM_TIMEOUT_MS),
      signal: item.abort.signal,
    }).then(
      (outcome) => this.#end(item, { outcome }),
      (error) => this.#fail(item, error),
    );
    return true;
  }

  #fail(item: HeldItem, error: unknown): void {
    const failure = asServingError(error);
    item.isRunning = false;
    const isLost = item.claimed.nonIdempotent &&
      failure.verdict !== Verdict.NOT_RUN;
    const isCondemned = failure.code === MessageCode.REQUEST_POISONED;
    this.#end(
      item,
      isLost || isCondemned
        ? { outcome: createFailure(failure) }
        : { charged: failure.verdict !== Verdict.NOT_RUN },
    );
  }

  /** Ends an item here: with its outcome, or back to the state without one. */
  #end(
    item: HeldItem,
    end: { outcome?: Outcome; charged?: boolean },
  ): void {
    const key = getItemKey(item);
    if (this.#held.get(key) !== item) return;
    this.#held.delete(key);
    send(this.#wake, true);
    if (end.outcome !== undefined) {
      this.#options.metrics.count(MetricName.batchItems);
    }
    const progress = item.sink.log.getProgress();
    const finished = create(FinishedItemSchema, {
      ref: item.claimed.ref,
      outcome: end.outcome,
      charged: end.charged ?? false,
      progress: end.outcome === undefined && progress.tokens > 0
        ? encodeProgress(progress)
        : undefined,
    });
    const batches = this.#finished.get(item.group) ?? [];
    const last = batches.at(-1);
    if (last?.epoch === item.epoch && last.items.length < MAX_CLAIM_ITEMS) {
      last.items.push(finished);
    } else batches.push({ epoch: item.epoch, items: [finished] });
    this.#finished.set(item.group, batches);
  }

  *#recordAlways(group: number): Steps<void> {
    const { clock } = this.#options;
    while (!this.#stopping || this.#isBusy) {
      yield* this.#recordAll(group);
      yield* pause(clock, FINISH_FLUSH_MS);
    }
  }

  *#recordAll(group: number): Steps<void> {
    const { state, sessions } = this.#options;
    let batch = this.#finished.get(group)?.[0];
    while (batch !== undefined) {
      const items = [...batch.items];
      const reply = yield* settle(state.runItemCommand(group, {
        case: "finishItems",
        value: { epoch: batch.epoch, items },
      }));
      if (!reply.ok && !isStaleEpoch(reply.error)) return;
      if (!reply.ok) sessions.noteEnded(group, batch.epoch);
      batch.items.splice(0, items.length);
      if (batch.items.length === 0) this.#finished.get(group)?.shift();
      batch = this.#finished.get(group)?.[0];
    }
  }
}
