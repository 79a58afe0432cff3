/**
 * State machine of the control group, which entry hosts and operators use: the
 * configuration, the outcomes of operators' orders and the registered entries.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type Configuration,
  ConfigurationSchema,
  ControlCommandSchema,
  ControlReplySchema,
  ControlSnapshotSchema,
  type EntryRegistration,
  MessageCode,
  type Order,
  type OrderOutcome,
  OrderOutcomeSchema,
  OrderSchema,
} from "../../schema/mod.ts";
import { formatMessage } from "../../sys/errors.ts";
import { getDigest } from "../../sys/random.ts";
import { applyOrder } from "./orders.ts";
import {
  type CommandContext,
  decodeProposedCommand,
  StateMachine,
} from "./state_machine.ts";

/** Outcome of an order, and the digest that a resent order must have. */
interface RecordedOutcome {
  readonly digest: Uint8Array;
  readonly outcome: OrderOutcome;
}

/** Number of outcomes kept to answer resent orders; the oldest is evicted. */
const MAX_RECORDED_ORDERS = 100_000;

/** Replicated state of the control group. */
export class ControlMachine extends StateMachine {
  #configuration: Configuration = create(ConfigurationSchema);
  #recordedOutcomes = new Map<string, RecordedOutcome>();
  #entries = new Map<string, EntryRegistration>();
  #entriesVersion = 0;

  get configuration(): Configuration {
    return this.#configuration;
  }

  get entries(): EntryRegistration[] {
    return [...this.#entries.values()];
  }

  /** Incremented on each change to the registered entries. */
  get entriesVersion(): number {
    return this.#entriesVersion;
  }

  override checkCommand(command: Uint8Array): void {
    decodeProposedCommand(ControlCommandSchema, command);
  }

  override apply(command: Uint8Array, context: CommandContext): Uint8Array {
    const { command: body } = fromBinary(ControlCommandSchema, command);
    const outcome = body.case === "order"
      ? this.#applyOrder(body.value, context.index)
      : undefined;
    if (body.case === "registerEntry") this.#registerEntry(body.value);
    if (body.case === "removeEntry") this.#removeEntry(body.value);
    return toBinary(
      ControlReplySchema,
      create(ControlReplySchema, { outcome }),
    );
  }

  override capture(): Iterable<Uint8Array> {
    const snapshot = create(ControlSnapshotSchema, {
      configuration: this.#configuration,
      orders: [...this.#recordedOutcomes].map(([orderId, recorded]) => ({
        orderId,
        ...recorded,
      })),
      entries: this.entries,
      entriesVersion: BigInt(this.#entriesVersion),
    });
    return [toBinary(ControlSnapshotSchema, snapshot)];
  }

  override restore(parts: readonly Uint8Array[]): void {
    const snapshot = fromBinary(
      ControlSnapshotSchema,
      parts[0] ?? new Uint8Array(),
    );
    this.#configuration = snapshot.configuration ??
      create(ConfigurationSchema);
    this.#recordedOutcomes = new Map(
      snapshot.orders.map((order) => [order.orderId, {
        digest: order.digest,
        outcome: order.outcome ?? create(OrderOutcomeSchema),
      }]),
    );
    this.#entries = new Map(
      snapshot.entries.map((entry) => [entry.id, entry]),
    );
    this.#entriesVersion = Number(snapshot.entriesVersion);
  }

  #registerEntry(entry: EntryRegistration): void {
    this.#entries.set(entry.id, entry);
    this.#entriesVersion += 1;
  }

  #removeEntry(id: string): void {
    if (this.#entries.delete(id)) this.#entriesVersion += 1;
  }

  #applyOrder(order: Order, index: number): OrderOutcome {
    const digest = getDigest(toBinary(OrderSchema, order));
    const recorded = this.#recordedOutcomes.get(order.orderId);
    if (recorded !== undefined) {
      return Buffer.compare(recorded.digest, digest) === 0
        ? recorded.outcome
        : this.#createRefusedOutcome(order, MessageCode.ORDER_REUSED, "");
    }
    const outcome = this.#executeOrder(order, index);
    this.#recordedOutcomes.set(order.orderId, { digest, outcome });
    if (this.#recordedOutcomes.size > MAX_RECORDED_ORDERS) {
      const oldest = this.#recordedOutcomes.keys().next().value;
      if (oldest !== undefined) this.#recordedOutcomes.delete(oldest);
    }
    return outcome;
  }

  #executeOrder(order: Order, index: number): OrderOutcome {
    if (order.orderId === "") {
      return this.#createRefusedOutcome(
        order,
        MessageCode.ORDER_INVALID,
        "the order has no order id",
      );
    }
    if (order.expectedVersion !== this.#configuration.version) {
      return this.#createRefusedOutcome(order, MessageCode.ORDER_CONFLICT, "");
    }
    const result = applyOrder(this.#configuration, order, index);
    if (!result.ok) {
      return this.#createRefusedOutcome(
        order,
        result.refusal.code,
        result.refusal.reason,
      );
    }
    this.#configuration = result.configuration;
    return create(OrderOutcomeSchema, {
      orderId: order.orderId,
      accepted: true,
      version: this.#configuration.version,
    });
  }

  #createRefusedOutcome(
    order: Order,
    code: MessageCode,
    reason: string,
  ): OrderOutcome {
    const { version, lastOrderId, lastOperator } = this.#configuration;
    return create(OrderOutcomeSchema, {
      orderId: order.orderId,
      accepted: false,
      version,
      code,
      detail: reason || formatMessage(code, {
        expected: Number(order.expectedVersion),
        winner: lastOrderId,
        operator: lastOperator,
        version: Number(version),
      }),
      winnerOrderId: lastOrderId,
      winnerOperator: lastOperator,
    });
  }
}
