/**
 * Idempotency keys in the replicated state. The first request with a key runs;
 * a repeated one returns the recorded outcome, whichever entry receives it.
 */
import type { KeyedRequest, Outcome } from "../../schema/mod.ts";
import { ItemState, MessageCode, Verdict } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { asServingError, ServingError } from "../../sys/errors.ts";
import type { Random } from "../../sys/random.ts";
import { getItemGroup, getRequestPlacementKey } from "../common/groups.ts";
import { isStaleEpoch, type ItemSessions } from "../common/item_sessions.ts";
import { createFailureOutcome } from "../common/outcomes.ts";
import type { StateClient } from "../common/state_client.ts";

/** A request with an idempotency key. */
export interface KeyedCall {
  readonly caller: string;
  readonly operator: string;
  readonly key: string;
  readonly digest: Uint8Array;
  readonly isNonIdempotent: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Permission to run a request, or the outcome of the first one. */
export type KeyedBeginResult =
  | {
    readonly kind: "run";
    finish(outcome: Outcome | undefined): Promise<void>;
  }
  | { readonly kind: "known"; readonly outcome: Outcome };

/** Handlers of a request with an idempotency key. */
export interface KeyedCallHandlers {
  /** Called with the outcome that the first request with the key had. */
  readonly onRecorded: (outcome: Outcome) => void;
  /** Runs the request, and records its outcome by calling `finish`. */
  readonly run: (
    signal: AbortSignal,
    finish: (outcome: Outcome) => Promise<void>,
  ) => Promise<void>;
}

/** Identifies one attempt to begin a request. */
interface BegunRequest {
  readonly epoch: bigint;
  readonly attemptId: string;
}

/** A request that this entry has begun, or may have. */
interface LocalRequest extends BegunRequest {
  readonly group: number;
  readonly call: KeyedCall;
}

const POLL_INTERVAL_MS = 100;

/** Maximum time that a response waits for its outcome to be recorded. */
const MAX_FINISH_WAIT_MS = 2_000;

/** Keyed requests of one entry host. */
export class IdempotencyStore {
  readonly #state: StateClient;
  readonly #sessions: ItemSessions;
  readonly #groupCount: number;
  readonly #clock: Clock;
  readonly #random: Random;

  constructor(options: {
    state: StateClient;
    sessions: ItemSessions;
    groupCount: number;
    clock: Clock;
    random: Random;
  }) {
    this.#state = options.state;
    this.#sessions = options.sessions;
    this.#groupCount = options.groupCount;
    this.#clock = options.clock;
    this.#random = options.random;
  }

  /**
   * Runs a request, or returns the outcome of the first request with its key. A
   * non-idempotent request continues after its caller disconnects, so that the
   * caller can still retrieve the outcome by repeating the request.
   */
  async runUnderKey(
    call: KeyedCall,
    handlers: KeyedCallHandlers,
  ): Promise<void> {
    const beginResult = await this.begin(call);
    if (beginResult.kind === "known") {
      handlers.onRecorded(beginResult.outcome);
      return;
    }
    const signal = call.isNonIdempotent
      ? AbortSignal.timeout(Math.ceil(this.#getRemainingMs(call)))
      : call.signal;
    try {
      await handlers.run(signal, (outcome) => beginResult.finish(outcome));
    } catch (error) {
      const failure = asServingError(error);
      const isFinal = call.isNonIdempotent &&
        failure.verdict !== Verdict.NOT_RUN;
      await beginResult.finish(
        isFinal ? createFailureOutcome(failure) : undefined,
      );
      throw failure;
    }
  }

  /**
   * Begins a request. Throws KEY_REUSED if the key was used with another body,
   * and STATE_UNREACHABLE with verdict MAY_HAVE_RUN, because an earlier request
   * with the key may have run.
   */
  async begin(call: KeyedCall): Promise<KeyedBeginResult> {
    const placement = getRequestPlacementKey(call.caller, call.key);
    const group = getItemGroup(placement, this.#groupCount);
    for (;;) {
      const request = await this.#tryBegin(group, call);
      if (request.begun) {
        return {
          kind: "run",
          finish: (outcome) =>
            this.#finish({ group, call, ...request }, outcome),
        };
      }
      if (request.outcome !== undefined) {
        return { kind: "known", outcome: request.outcome };
      }
      await this.#waitUntilFinished(group, call);
    }
  }

  async #tryBegin(
    group: number,
    call: KeyedCall,
  ): Promise<BegunRequest & { begun: boolean; outcome?: Outcome }> {
    const attemptId = this.#random.createId();
    const epoch = await this.#getEpoch(group, call);
    try {
      const reply = await this.#state.runItemCommand(group, {
        case: "beginRequest",
        value: {
          key: call.key,
          caller: call.caller,
          operator: call.operator,
          digest: call.digest,
          nonIdempotent: call.isNonIdempotent,
          epoch,
          attemptId,
        },
      }, this.#getRemainingMs(call));
      const { outcome } = reply.request ?? {};
      return { begun: reply.begun, epoch, attemptId, outcome };
    } catch (error) {
      if (isStaleEpoch(error)) {
        this.#sessions.discard(group, epoch);
        return { begun: false, epoch, attemptId };
      }
      if (isKeyReused(error)) throw error;
      // The command may have been committed. Release the request once the state
      // can be reached, so that a repeated request can run.
      this.#finish({ group, call, epoch, attemptId }, undefined)
        .catch(() => {});
      throw error;
    }
  }

  /** Returns the session's epoch; waits for it until the call's deadline. */
  async #getEpoch(group: number, call: KeyedCall): Promise<bigint> {
    const known = this.#sessions.tryGetEpoch(group);
    if (known !== undefined) return known;
    const epoch = await Promise.race([
      this.#sessions.getEpoch(group),
      this.#clock.delay(this.#getRemainingMs(call)),
    ]);
    if (typeof epoch === "bigint") return epoch;
    throw new ServingError(MessageCode.STATE_UNREACHABLE, {
      verdict: Verdict.MAY_HAVE_RUN,
      parameters: { reason: "no session could be opened in time" },
      retryAfterS: 1,
    });
  }

  async #waitUntilFinished(group: number, call: KeyedCall): Promise<void> {
    for (;;) {
      await this.#clock.delay(POLL_INTERVAL_MS);
      if (call.signal.aborted) {
        throw new ServingError(MessageCode.CALLER_LEFT, {
          verdict: Verdict.MAY_HAVE_RUN,
        });
      }
      if (this.#getRemainingMs(call) <= 0) {
        throw new ServingError(MessageCode.STILL_RUNNING, {
          verdict: Verdict.MAY_HAVE_RUN,
          retryAfterS: 1,
        });
      }
      const reply = await this.#state.query(group, {
        case: "request",
        value: { caller: call.caller, key: call.key },
      }, this.#getRemainingMs(call));
      if (isFinished(reply.request)) return;
    }
  }

  /**
   * Records an outcome, or releases the request if there is none. Retries in
   * the background until the state accepts it or the session ends, so that no
   * key remains DISPATCHED while its entry is running.
   */
  async #finish(
    request: LocalRequest,
    outcome: Outcome | undefined,
  ): Promise<void> {
    const finishing = this.#retryFinish(request, outcome);
    await Promise.race([finishing, this.#clock.delay(MAX_FINISH_WAIT_MS)]);
  }

  async #retryFinish(
    { group, call, epoch, attemptId }: LocalRequest,
    outcome: Outcome | undefined,
  ): Promise<void> {
    const { caller, key } = call;
    while (this.#sessions.tryGetEpoch(group) === epoch) {
      try {
        await this.#state.runItemCommand(group, {
          case: "finishRequest",
          value: { epoch, caller, key, attemptId, outcome },
        });
        return;
      } catch (error) {
        if (isStaleEpoch(error)) this.#sessions.discard(group, epoch);
      }
      await this.#clock.delay(POLL_INTERVAL_MS);
    }
  }

  #getRemainingMs(call: KeyedCall): number {
    return Math.max(0, call.deadlineMs - this.#clock.getMonotonicMs());
  }
}

function isFinished(request: KeyedRequest | undefined): boolean {
  return request === undefined || request.state !== ItemState.DISPATCHED;
}

function isKeyReused(error: unknown): boolean {
  return error instanceof ServingError && error.code === MessageCode.KEY_REUSED;
}
