/** Keeps an entry registered among the entries of the fleet. */
import type { EntryRegistration } from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import {
  type Routine,
  settle,
  sleep,
  spawnRoutine,
} from "../../sys/routines.ts";
import { encodeControlCommand } from "../common/commands.ts";
import { CONTROL_GROUP } from "../common/groups.ts";
import type { StateClient } from "../common/state_client.ts";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { EntryRegistrationSchema } from "../../schema/mod.ts";

const RENEW_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 2_000;

/** Registers one entry and renews its place. */
export class EntryRegistrar {
  readonly #entry: MessageInitShape<typeof EntryRegistrationSchema>;
  readonly #state: StateClient;
  readonly #clock: Clock;
  #closed = false;

  constructor(options: {
    entry: Omit<EntryRegistration, "$typeName">;
    state: StateClient;
    clock: Clock;
  }) {
    this.#entry = options.entry;
    this.#state = options.state;
    this.#clock = options.clock;
  }

  start(): void {
    spawnRoutine(() => this.#runRenewalLoop(), () => {});
  }

  /** Takes the entry out of the fleet. */
  async close(): Promise<void> {
    this.#closed = true;
    const command = encodeControlCommand({
      case: "removeEntry",
      value: this.#entry.id ?? "",
    });
    await this.#state.propose(CONTROL_GROUP, command, CALL_TIMEOUT_MS)
      .catch(() => {});
  }

  /** Stops renewing; the entry leaves the fleet when its lease ends. */
  halt(): void {
    this.#closed = true;
  }

  *#runRenewalLoop(): Routine<void> {
    yield* settle(this.#register());
    while (!this.#closed) {
      yield* sleep(this.#clock, RENEW_INTERVAL_MS);
      const renewal = yield* settle(
        this.#state.renewEntry(this.#entry.id ?? "", CALL_TIMEOUT_MS),
      );
      const wasRemoved = renewal.ok && !renewal.value && !this.#closed;
      if (wasRemoved) yield* settle(this.#register());
    }
  }

  #register(): Promise<unknown> {
    const command = encodeControlCommand({
      case: "registerEntry",
      value: this.#entry,
    });
    return this.#state.propose(CONTROL_GROUP, command);
  }
}
