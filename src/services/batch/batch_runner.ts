/**
 * Runs batch items on the capacity that online requests leave idle. Items are
 * claimed from the replicated state as capacity becomes available, are
 * preempted by online requests and resume from their partial output; outcomes
 * are recorded in batches.
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
  type Routine,
  send,
  settle,
  sleep,
  spawnRoutine,
  tryReceiveWithTimeout,
} from "../../sys/routines.ts";
import {
  createCompletionRequest,
  createErrorResponseOutcome,
  createItemSink,
  createSuccessOutcome,
  encodeProgress,
  getDispatchKey,
  type HeldItem,
  isNonRetryableStatus,
} from "./batch_item.ts";
import type { BackendPool } from "../online/backend_pool.ts";
import { createFailureOutcome } from "../common/outcomes.ts";
import type {
  CompletionRequest,
  EngineRunner,
} from "../online/engine_runner.ts";
import { getItemGroups } from "../common/groups.ts";
import { isStaleEpoch, type ItemSessions } from "../common/item_sessions.ts";
import { parseItemLine } from "../common/item_line.ts";
import type { PromptPartGuard } from "../common/prompt_part_guard.ts";
import type { PlainService } from "../online/plain_service.ts";
import type { StateClient } from "../common/state_client.ts";

/** Options of a {@linkcode BatchRunner}. */
export interface BatchRunnerOptions {
  readonly view: FleetView;
  readonly pool: BackendPool;
  readonly engineRunner: EngineRunner;
  readonly plainService: PlainService;
  readonly promptPartGuard: PromptPartGuard;
  readonly state: StateClient;
  readonly sessions: ItemSessions;
  readonly groupCount: number;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

const POLL_INTERVAL_MS = 20;
const RECORD_INTERVAL_MS = 20;

/**
 * Maximum number of items that one claim requests per deployment, and maximum
 * number of outcomes that one command records.
 */
const MAX_CLAIM_ITEMS = 64;

/**
 * Maximum number of items that one claim requests per plain service. Low,
 * because a claimed non-idempotent item counts as dispatched before it is sent.
 */
const MAX_SERVICE_CLAIM_ITEMS = 16;

/**
 * Items claimed in excess of the free capacity while items are running: a
 * minimum, and an additional number for each running item.
 */
const MIN_PREFETCH_ITEMS = 4;
const PREFETCH_RATIO = 0.2;

/**
 * Minimum time between two tries of an item under which several servers crashed,
 * in milliseconds. If it is the cause, it crashes one server at a time.
 */
const CRASH_RETRY_DELAY_MS = 2_000;

/**
 * Time that a claimed item waits for capacity before it is returned to its
 * group, in milliseconds.
 */
const MAX_WAIT_MS = 2_000;

/** Timeout of a run of a batch item, in milliseconds. */
const ITEM_TIMEOUT_MS = 10 * 60_000;

const CLAIM_TIMEOUT_MS = 3_000;

/** Claims, schedules and runs the batch items of one entry. */
export class BatchRunner {
  readonly #options: BatchRunnerOptions;
  readonly #held = new Map<string, HeldItem>();
  /**
   * Numbers of claimable items by deployment, per group, as of the last renewal
   * of the session.
   */
  readonly #claimableShares = new Map<number, Share[]>();
  /** Finished and returned items, per group, that are not recorded yet. */
  readonly #unrecordedBatches = new Map<
    number,
    { epoch: bigint; items: FinishedItem[] }[]
  >();
  readonly #wakeSignal: Channel<boolean> = createSlidingChannel(1);
  /** Sequence number of the last claim, per group. */
  readonly #claimSequences = new Map<number, bigint>();
  /** Claims without a reply, per group; they are resent unchanged. */
  readonly #unansweredClaims = new Map<number, Share[]>();
  #stopping = false;
  /** Number of claim calls in flight, whose replies may still deliver items. */
  #claimCallCount = 0;

  constructor(options: BatchRunnerOptions) {
    this.#options = options;
  }

  /** Number of claimed items and of results that are not recorded yet. */
  get heldCount(): number {
    const unrecorded = [...this.#unrecordedBatches.values()].flat()
      .reduce((sum, batch) => sum + batch.items.length, 0);
    return this.#held.size + unrecorded;
  }

  /** Whether items are held or may still arrive, or results are unrecorded. */
  get #hasPendingWork(): boolean {
    return this.#claimCallCount > 0 || this.heldCount > 0;
  }

  start(): void {
    const { log, groupCount } = this.#options;
    const onError = (error: unknown) =>
      log.error("batch_failed", { reason: getReason(error) });
    getItemGroups(groupCount).forEach((group) => {
      spawnRoutine(() => this.#runClaimLoop(group), onError);
      spawnRoutine(() => this.#runRecordLoop(group), onError);
    });
    spawnRoutine(() => this.#runSchedulingLoop(), onError);
  }

  /** Returns the ids of the jobs in a group whose items this entry holds. */
  getJobIds(group: number): string[] {
    const held = [...this.#held.values()].filter((item) =>
      item.group === group
    );
    return [...new Set(held.map((item) => item.claimed.ref?.jobId ?? ""))];
  }

  /** Updates the claimable items, and drops the items of cancelled jobs. */
  handleSessionRenewed(group: number, reply: RenewReply): void {
    this.#claimableShares.set(group, reply.waiting);
    this.#findHeld((item) =>
      item.group === group &&
      reply.cancelledJobs.includes(item.claimed.ref?.jobId ?? "")
    ).forEach((item) => this.#drop(item));
  }

  /** Drops the items of a session that ended; other entries may claim them. */
  handleSessionEnded(group: number, epoch: bigint): void {
    this.#findHeld((item) => item.group === group && item.epoch === epoch)
      .forEach((item) => this.#drop(item));
  }

  /**
   * Stops claiming, waits for running non-idempotent items, returns all other
   * items and records all outcomes, within `limitMs`.
   */
  async stop(limitMs: number): Promise<void> {
    this.#stopping = true;
    this.#findHeld((item) => !item.claimed.nonIdempotent)
      .forEach((item) => item.abortController.abort());
    const { clock } = this.#options;
    const endMs = clock.getMonotonicMs() + limitMs;
    while (this.#hasPendingWork && clock.getMonotonicMs() < endMs) {
      await clock.delay(POLL_INTERVAL_MS);
    }
  }

  /** Drops all items and results immediately, as a crash would. */
  halt(): void {
    this.#stopping = true;
    this.#findHeld(() => true).forEach((item) => this.#drop(item));
    this.#unrecordedBatches.clear();
  }

  #findHeld(predicate: (item: HeldItem) => boolean): HeldItem[] {
    return [...this.#held.values()].filter(predicate);
  }

  #drop(item: HeldItem): void {
    this.#held.delete(getDispatchKey(item));
    item.abortController.abort();
  }

  *#runClaimLoop(group: number): Routine<void> {
    const { clock } = this.#options;
    while (!this.#stopping) {
      const shares = this.#unansweredClaims.get(group) ??
        this.#getSharesToClaim(group);
      if (shares.length > 0) yield* this.#claim(group, shares);
      yield* sleep(clock, POLL_INTERVAL_MS);
    }
  }

  /**
   * Returns how many of a group's claimable items, by deployment, this entry has
   * capacity for.
   */
  #getSharesToClaim(group: number): Share[] {
    const { pool } = this.#options;
    const waiting = this.#findHeld((item) => !item.isRunning);
    return (this.#claimableShares.get(group) ?? []).map((share) => {
      const waitingCount = waiting.filter((item) =>
        this.#tryGetWorkload(item)?.deployment === share.deployment
      ).length;
      const limit = this.#isPlainService(share.deployment)
        ? MAX_SERVICE_CLAIM_ITEMS
        : MAX_CLAIM_ITEMS;
      const freeSlots = pool.getBatchCapacity(share.deployment);
      const capacity = freeSlots + this.#getPrefetchCount(share.deployment) -
        waitingCount;
      return { ...share, maxItems: Math.min(share.maxItems, limit, capacity) };
    }).filter((share) => share.maxItems > 0);
  }

  /**
   * Returns the number of items to claim in excess of the free capacity, so
   * that another sequence starts as soon as one ends. Zero for plain services,
   * because a claimed non-idempotent item counts as dispatched.
   */
  #getPrefetchCount(deployment: string): number {
    if (this.#isPlainService(deployment)) return 0;
    const running = this.#findHeld((item) => item.isRunning).length;
    return running === 0
      ? 0
      : MIN_PREFETCH_ITEMS + Math.ceil(running * PREFETCH_RATIO);
  }

  #isPlainService(deployment: string): boolean {
    return this.#options.view.tryGetDeployment(deployment)?.kind ===
      DeploymentKind.PLAIN_SERVICE;
  }

  *#claim(group: number, shares: Share[]): Routine<void> {
    const { sessions, state, clock } = this.#options;
    const epoch = yield* settle(sessions.getEpoch(group));
    if (!epoch.ok) return;
    const sequence = this.#unansweredClaims.get(group) === undefined
      ? (this.#claimSequences.get(group) ?? 0n) + 1n
      : this.#claimSequences.get(group) ?? 1n;
    this.#claimSequences.set(group, sequence);
    this.#unansweredClaims.set(group, shares);
    this.#claimCallCount += 1;
    const reply = yield* settle(state.runItemCommand(group, {
      case: "claimItems",
      value: { epoch: epoch.value, shares, sequence },
    }, CLAIM_TIMEOUT_MS));
    this.#claimCallCount -= 1;
    if (!reply.ok) {
      // Resent with the same sequence number, so that no item is lost if only
      // the reply was lost.
      if (isStaleEpoch(reply.error)) {
        this.#unansweredClaims.delete(group);
        sessions.discard(group, epoch.value);
      }
      return;
    }
    this.#unansweredClaims.delete(group);
    reply.value.claimed.forEach((claimed) =>
      this.#addHeld({
        claimed,
        group,
        epoch: epoch.value,
        abortController: new AbortController(),
        sink: createItemSink(claimed),
        waitingSinceMs: clock.getMonotonicMs(),
        isRunning: false,
      })
    );
    send(this.#wakeSignal, true);
  }

  #addHeld(item: HeldItem): void {
    const key = getDispatchKey(item);
    if (!this.#held.has(key)) this.#held.set(key, item);
  }

  *#runSchedulingLoop(): Routine<void> {
    const { clock } = this.#options;
    while (!this.#stopping || this.#hasPendingWork) {
      yield* tryReceiveWithTimeout(this.#wakeSignal, clock, POLL_INTERVAL_MS);
      this.#scheduleItems();
    }
  }

  /**
   * Schedules the waiting items. Once there is no capacity for an item, further
   * items of its workload are skipped in this pass, unless they must be returned.
   */
  #scheduleItems(): void {
    const exhausted = new Set<string>();
    this.#findHeld((item) => !item.isRunning).forEach((item) => {
      const { workload } = item.claimed;
      const isExhausted = exhausted.has(workload) && !this.#mustReturn(item);
      if (!isExhausted && !this.#scheduleItem(item)) exhausted.add(workload);
    });
  }

  /** Whether an item that cannot start now is returned to the group. */
  #mustReturn(item: HeldItem): boolean {
    const { clock } = this.#options;
    return this.#stopping ||
      clock.getMonotonicMs() - item.waitingSinceMs > MAX_WAIT_MS;
  }

  /**
   * Starts an item if there is capacity, or returns it to the group if it has
   * waited too long. Returns false if there was no capacity for it.
   */
  #scheduleItem(item: HeldItem): boolean {
    const { view } = this.#options;
    const workload = this.#tryGetWorkload(item);
    if (workload === undefined) {
      this.#finishItem(item, {
        outcome: createFailureOutcome(
          new ServingError(MessageCode.UNKNOWN_ROUTE, {
            parameters: { path: item.claimed.workload },
          }),
        ),
      });
      return true;
    }
    const deployment = view.tryGetDeployment(workload.deployment);
    const isStarted = !this.#stopping && !item.abortController.signal.aborted &&
      (
        deployment?.kind === DeploymentKind.PLAIN_SERVICE
          ? this.#startServiceRun(item, workload)
          : this.#startEngineRun(item, workload)
      );
    if (isStarted) return true;
    if (this.#mustReturn(item)) this.#finishItem(item, {});
    return false;
  }

  #tryGetWorkload(item: HeldItem): Workload | undefined {
    return this.#options.view.tryGetWorkload(item.claimed.workload);
  }

  #startEngineRun(item: HeldItem, workload: Workload): boolean {
    const { pool, engineRunner, view, clock } = this.#options;
    const request = item.run ?? this.#tryCreateRequest(item, workload);
    if (request === undefined) return true;
    item.run = request;
    if (this.#isHeldBack(request)) {
      if (this.#mustReturn(item)) this.#finishItem(item, {});
      return true;
    }
    const placement = pool.tryPlaceBatch({
      deployment: request.deployment,
      model: request.body.model,
      excluded: new Set(),
      isSuspect: view.suspicions.isSuspect(request.fingerprint),
    });
    if (placement === undefined) return false;
    item.isRunning = true;
    engineRunner.runAttempt(request, item.sink, placement).then(
      (attemptOutcome) => {
        item.isRunning = false;
        item.waitingSinceMs = clock.getMonotonicMs();
        switch (attemptOutcome.kind) {
          case "done":
            return this.#finishItem(item, {
              outcome: createSuccessOutcome(item.sink),
            });
          case "answered":
            return this.#finishItem(
              item,
              isNonRetryableStatus(attemptOutcome.status)
                ? { outcome: createErrorResponseOutcome(attemptOutcome) }
                : {
                  charged: attemptOutcome.status !== 429 &&
                    attemptOutcome.status !== 503,
                },
            );
          case "broken":
            return this.#handleBrokenAttempt(item, attemptOutcome);
          case "aborted":
            if (clock.getMonotonicMs() >= request.deadlineMs) {
              return this.#finishItem(item, { charged: true });
            }
            // The item was preempted; it resumes when there is capacity again.
            send(this.#wakeSignal, true);
        }
      },
      (error) => this.#handleError(item, error),
    );
    return true;
  }

  /**
   * Whether an item waits because servers crashed while they ran it, or requests
   * with a part of its prompt. It is still owed, since they may have crashed for
   * another reason.
   */
  #isHeldBack(
    { fingerprint, promptParts }: Pick<
      CompletionRequest,
      "fingerprint" | "promptParts"
    >,
  ): boolean {
    const { view, clock, promptPartGuard } = this.#options;
    const { suspicions } = view;
    if (promptPartGuard.getRejectionMs(promptParts) > 0) return true;
    return suspicions.isPoisoned(fingerprint) &&
      suspicions.getIdleMs(fingerprint, clock.getMonotonicMs()) <
        CRASH_RETRY_DELAY_MS;
  }

  #handleBrokenAttempt(
    item: HeldItem,
    attemptOutcome: {
      verdict: Verdict;
      reason: string;
      isConnectionLost: boolean;
    },
  ): void {
    if (
      item.claimed.nonIdempotent && attemptOutcome.verdict !== Verdict.NOT_RUN
    ) {
      const answerLost = new ServingError(MessageCode.ANSWER_LOST, {
        verdict: attemptOutcome.verdict,
        parameters: { reason: attemptOutcome.reason },
      });
      this.#finishItem(item, { outcome: createFailureOutcome(answerLost) });
      return;
    }
    // A lost server is no failure of the item.
    this.#finishItem(item, {
      charged: attemptOutcome.verdict !== Verdict.NOT_RUN &&
        !attemptOutcome.isConnectionLost,
    });
  }

  #tryCreateRequest(
    item: HeldItem,
    workload: Workload,
  ): CompletionRequest | undefined {
    const nowMs = this.#options.clock.getMonotonicMs();
    try {
      return createCompletionRequest(item, workload, nowMs + ITEM_TIMEOUT_MS);
    } catch (error) {
      this.#finishItem(item, {
        outcome: createFailureOutcome(asServingError(error)),
      });
      return undefined;
    }
  }

  #startServiceRun(item: HeldItem, workload: Workload): boolean {
    const { plainService, clock, pool } = this.#options;
    if (pool.getBatchCapacity(workload.deployment) <= 0) return false;
    const { body } = parseItemLine(
      item.claimed.item?.body ?? new Uint8Array(),
      0,
    );
    const bodyText = JSON.stringify(body);
    const fingerprint = getDigestHex(workload.name, bodyText);
    if (this.#isHeldBack({ fingerprint, promptParts: [] })) {
      if (this.#mustReturn(item)) this.#finishItem(item, {});
      return true;
    }
    item.isRunning = true;
    plainService.runToCompletion({
      requestId: getDispatchKey(item),
      method: "POST",
      path: workload.pathPrefix,
      headers: { "content-type": "application/json" },
      body: new TextEncoder().encode(bodyText),
      deployment: workload.deployment,
      caller: item.claimed.caller,
      fingerprint,
      isNonIdempotent: item.claimed.nonIdempotent,
      isOwed: true,
      deadlineMs: clock.getMonotonicMs() +
        (workload.timeoutMs || ITEM_TIMEOUT_MS),
      signal: item.abortController.signal,
    }).then(
      (outcome) => this.#finishItem(item, { outcome }),
      (error) => this.#handleError(item, error),
    );
    return true;
  }

  #handleError(item: HeldItem, error: unknown): void {
    const failure = asServingError(error);
    item.isRunning = false;
    const isAnswerLost = item.claimed.nonIdempotent &&
      failure.verdict !== Verdict.NOT_RUN;
    this.#finishItem(
      item,
      isAnswerLost
        ? { outcome: createFailureOutcome(failure) }
        : { charged: failure.verdict !== Verdict.NOT_RUN },
    );
  }

  /**
   * Removes an item from this entry and queues its outcome for recording;
   * without an outcome, the item is returned to the group.
   */
  #finishItem(
    item: HeldItem,
    result: { outcome?: Outcome; charged?: boolean },
  ): void {
    const key = getDispatchKey(item);
    if (this.#held.get(key) !== item) return;
    this.#held.delete(key);
    send(this.#wakeSignal, true);
    if (result.outcome !== undefined) {
      this.#options.metrics.count(MetricName.batchItems);
    }
    const progress = item.sink.log.getProgress();
    const finished = create(FinishedItemSchema, {
      ref: item.claimed.ref,
      outcome: result.outcome,
      charged: result.charged ?? false,
      progress: result.outcome === undefined && progress.tokens > 0
        ? encodeProgress(progress)
        : undefined,
    });
    const batches = this.#unrecordedBatches.get(item.group) ?? [];
    const last = batches.at(-1);
    if (last?.epoch === item.epoch && last.items.length < MAX_CLAIM_ITEMS) {
      last.items.push(finished);
    } else batches.push({ epoch: item.epoch, items: [finished] });
    this.#unrecordedBatches.set(item.group, batches);
  }

  *#runRecordLoop(group: number): Routine<void> {
    const { clock } = this.#options;
    while (!this.#stopping || this.#hasPendingWork) {
      yield* this.#recordFinished(group);
      yield* sleep(clock, RECORD_INTERVAL_MS);
    }
  }

  *#recordFinished(group: number): Routine<void> {
    const { state, sessions } = this.#options;
    let batch = this.#unrecordedBatches.get(group)?.[0];
    while (batch !== undefined) {
      const items = [...batch.items];
      const reply = yield* settle(state.runItemCommand(group, {
        case: "finishItems",
        value: { epoch: batch.epoch, items },
      }));
      if (!reply.ok && !isStaleEpoch(reply.error)) return;
      if (!reply.ok) sessions.discard(group, batch.epoch);
      batch.items.splice(0, items.length);
      if (batch.items.length === 0) this.#unrecordedBatches.get(group)?.shift();
      batch = this.#unrecordedBatches.get(group)?.[0];
    }
  }
}
