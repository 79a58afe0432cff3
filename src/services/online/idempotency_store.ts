/**
 * Idempotency keys in the replicated state: the first request under a key
 * runs, a resent one reads its outcome through whatever entry it comes.
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

/** A request under a key. */
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

/** The right to run a request, or the outcome of the first one. */
export type KeyedBeginResult =
  | {
    readonly kind: "run";
    finish(outcome: Outcome | undefined): Promise<void>;
  }
  | { readonly kind: "known"; readonly outcome: Outcome };

/** What is done with a request under a key. */
export interface KeyedCallHandlers {
  /** The first request under the key has this outcome. */
  readonly onRecorded: (outcome: Outcome) => void;
  /** Runs the request; `finish` records its outcome. */
  readonly run: (
    signal: AbortSignal,
    finish: (outcome: Outcome) => Promise<void>,
  ) => Promise<void>;
}

/** What names one beginning of a request. */
interface BegunRequest {
  readonly epoch: bigint;
  readonly attemptId: string;
}

/** A request that this entry has begun. */
interface LocalRequest extends BegunRequest {
  readonly group: number;
  readonly call: KeyedCall;
}

const POLL_INTERVAL_MS = 100;

/** Longest time that an answer waits for its outcome to be recorded. */
const MAX_FINISH_WAIT_MS = 2_000;

/** Keyed requests of one entry. */
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
   * Runs a request under its key, or answers with the outcome of the first. A
   * non-idempotent request goes on without its caller: the outcome is there
   * when the caller asks again.
   */
  async runUnderKey(
    call: KeyedCall,
    handlers: KeyedCallHandlers,
  ): Promise<void> {
    const start = await this.begin(call);
    if (start.kind === "known") {
      handlers.onRecorded(start.outcome);
      return;
    }
    const signal = call.isNonIdempotent
      ? AbortSignal.timeout(Math.ceil(this.#getRemainingMs(call)))
      : call.signal;
    try {
      await handlers.run(signal, (outcome) => start.finish(outcome));
    } catch (error) {
      const failure = asServingError(error);
      const isFinal = call.isNonIdempotent &&
        failure.verdict !== Verdict.NOT_RUN;
      await start.finish(isFinal ? createFailureOutcome(failure) : undefined);
      throw failure;
    }
  }

  /**
   * Starts a request under its key. Throws KEY_REUSED for another body, and
   * STATE_UNREACHABLE with the verdict that an earlier request under the key
   * may have run.
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
        this.#sessions.noteEnded(group, epoch);
        return { begun: false, epoch, attemptId };
      }
      if (isKeyReused(error)) throw error;
      // The command may have been committed: give the request back as soon as
      // the state can be reached, so that a resent one can run.
      this.#finish({ group, call, epoch, attemptId }, undefined)
        .catch(() => {});
      throw error;
    }
  }

  /** The session's epoch, as far as the call's deadline lets it wait. */
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
   * Records an outcome, or gives the request back when there is none. It goes
   * on in the background until the state takes it or the session is over, so
   * that no key stays dispatched while its entry lives.
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
        if (isStaleEpoch(error)) this.#sessions.noteEnded(group, epoch);
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
