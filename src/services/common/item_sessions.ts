/**
 * The entry's sessions in the item groups. A session is opened when it is
 * first needed and renewed as long as the process runs; a session that ended
 * is replaced by a new one with a higher epoch.
 */
import { MessageCode, type RenewReply } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { ServingError } from "../../sys/errors.ts";
import {
  type Routine,
  settle,
  sleep,
  spawnRoutine,
} from "../../sys/routines.ts";
import type { Log } from "../../sys/log.ts";
import { getItemGroups } from "./groups.ts";
import type { StateClient } from "./state_client.ts";

/** Options of {@linkcode ItemSessions}. */
export interface ItemSessionsOptions {
  readonly entryId: string;
  readonly incarnation: string;
  readonly groupCount: number;
  readonly renewIntervalMs: number;
  readonly state: StateClient;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the ids of the jobs whose items this entry holds. */
  readonly getJobIds: (group: number) => string[];
  readonly onRenewed: (group: number, reply: RenewReply) => void;
  /** Called when a session ended; other entries may take over its work. */
  readonly onEnded: (group: number, epoch: bigint) => void;
}

const RENEW_TIMEOUT_MS = 1_000;

/** Opens, renews and closes one session per item group. */
export class ItemSessions {
  readonly #options: ItemSessionsOptions;
  readonly #epochs = new Map<number, bigint>();
  readonly #pendingEpochs = new Map<number, Promise<bigint>>();
  #openAttempts = 0;
  #closed = false;

  constructor(options: ItemSessionsOptions) {
    this.#options = options;
  }

  /** Starts opening and renewing the sessions of all groups. */
  start(): void {
    getItemGroups(this.#options.groupCount).forEach((group) =>
      spawnRoutine(
        () => this.#runRenewalLoop(group),
        (error) =>
          this.#options.log.error("renewal_failed", {
            group,
            reason: String(error),
          }),
      )
    );
  }

  /** Returns the epoch of the session; opens one if there is none. */
  getEpoch(group: number): Promise<bigint> {
    const known = this.#epochs.get(group);
    if (known !== undefined) return Promise.resolve(known);
    const opening = this.#pendingEpochs.get(group) ?? this.#open(group);
    this.#pendingEpochs.set(group, opening);
    return opening;
  }

  tryGetEpoch(group: number): bigint | undefined {
    return this.#epochs.get(group);
  }

  /** Notes that the group refused the epoch because the session has ended. */
  discard(group: number, epoch: bigint): void {
    if (this.#epochs.get(group) !== epoch) return;
    this.#epochs.delete(group);
    this.#options.log.warn("session_ended", { group, epoch: Number(epoch) });
    this.#options.onEnded(group, epoch);
  }

  /** Ends all sessions, so that other entries can take over immediately. */
  async close(): Promise<void> {
    this.#closed = true;
    const ending = [...this.#epochs].map(([group, epoch]) =>
      this.#options.state.runItemCommand(group, {
        case: "endSession",
        value: { epoch },
      }, RENEW_TIMEOUT_MS)
    );
    await Promise.allSettled(ending);
  }

  /** Stops renewing; the sessions end when their leases expire. */
  halt(): void {
    this.#closed = true;
    this.#epochs.clear();
  }

  async #open(group: number): Promise<bigint> {
    const { entryId, incarnation, state } = this.#options;
    this.#openAttempts += 1;
    try {
      const reply = await state.runItemCommand(group, {
        case: "openSession",
        value: {
          entry: entryId,
          incarnation: `${incarnation}/${this.#openAttempts}`,
        },
      });
      this.#epochs.set(group, reply.epoch);
      return reply.epoch;
    } finally {
      this.#pendingEpochs.delete(group);
    }
  }

  *#runRenewalLoop(group: number): Routine<void> {
    const { clock, renewIntervalMs } = this.#options;
    while (!this.#closed) {
      const epoch = yield* settle(this.getEpoch(group));
      if (epoch.ok && !this.#closed) yield* this.#renew(group, epoch.value);
      yield* sleep(clock, renewIntervalMs);
    }
  }

  *#renew(group: number, epoch: bigint): Routine<void> {
    const { state, getJobIds, onRenewed } = this.#options;
    const reply = yield* settle(
      state.renew(group, epoch, getJobIds(group), RENEW_TIMEOUT_MS),
    );
    if (!reply.ok || this.#closed) return;
    if (reply.value.code === MessageCode.STALE_EPOCH) {
      this.discard(group, epoch);
    } else onRenewed(group, reply.value);
  }
}

/** Whether an error indicates that the session has ended. */
export function isStaleEpoch(error: unknown): boolean {
  return error instanceof ServingError &&
    error.code === MessageCode.STALE_EPOCH;
}
