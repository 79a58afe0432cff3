/**
 * State of the control group: the configuration, the answers to orders and the
 * entries of the fleet.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { ConfigurationSchema, ControlCommandSchema, ControlReplySchema, ControlSnapshotSchema, MessageCode, OrderOutcomeSchema, OrderSchema, } from "../../schema/mod.js";
import { formatMessage } from "../../sys/errors.js";
import { getDigest } from "../../sys/random.js";
import { applyOrder } from "./orders.js";
import { StateMachine } from "./state_machine.js";
/** Answers kept for resent orders; the oldest go first. */
const MAX_RECORDED_ORDERS = 100_000;
/** The control group's state. */
export class ControlMachine extends StateMachine {
    #configuration = create(ConfigurationSchema);
    #orders = new Map();
    #entries = new Map();
    #entriesVersion = 0;
    get configuration() {
        return this.#configuration;
    }
    get entries() {
        return [...this.#entries.values()];
    }
    /** Rises with each change of the entries. */
    get entriesVersion() {
        return this.#entriesVersion;
    }
    apply(command, context) {
        const { command: body } = fromBinary(ControlCommandSchema, command);
        const outcome = body.case === "order"
            ? this.#applyOrder(body.value, context.index)
            : undefined;
        if (body.case === "registerEntry")
            this.#registerEntry(body.value);
        if (body.case === "removeEntry")
            this.#removeEntry(body.value);
        return toBinary(ControlReplySchema, create(ControlReplySchema, { outcome }));
    }
    *capture() {
        const snapshot = create(ControlSnapshotSchema, {
            configuration: this.#configuration,
            orders: [...this.#orders].map(([orderId, answer]) => ({
                orderId,
                ...answer,
            })),
            entries: this.entries,
            entriesVersion: BigInt(this.#entriesVersion),
        });
        yield toBinary(ControlSnapshotSchema, snapshot);
    }
    restore(parts) {
        const snapshot = fromBinary(ControlSnapshotSchema, parts[0] ?? new Uint8Array());
        this.#configuration = snapshot.configuration ??
            create(ConfigurationSchema);
        this.#orders = new Map(snapshot.orders.map((order) => [order.orderId, {
                digest: order.digest,
                outcome: order.outcome ?? create(OrderOutcomeSchema),
            }]));
        this.#entries = new Map(snapshot.entries.map((entry) => [entry.id, entry]));
        this.#entriesVersion = Number(snapshot.entriesVersion);
    }
    #registerEntry(entry) {
        this.#entries.set(entry.id, entry);
        this.#entriesVersion += 1;
    }
    #removeEntry(id) {
        if (this.#entries.delete(id))
            this.#entriesVersion += 1;
    }
    #applyOrder(order, index) {
        const digest = getDigest(toBinary(OrderSchema, order));
        const recorded = this.#orders.get(order.orderId);
        if (recorded !== undefined) {
            return Buffer.compare(recorded.digest, digest) === 0
                ? recorded.outcome
                : this.#createRefusal(order, MessageCode.ORDER_REUSED, "");
        }
        const outcome = this.#decide(order, index);
        this.#orders.set(order.orderId, { digest, outcome });
        if (this.#orders.size > MAX_RECORDED_ORDERS) {
            const oldest = this.#orders.keys().next().value;
            if (oldest !== undefined)
                this.#orders.delete(oldest);
        }
        return outcome;
    }
    #decide(order, index) {
        if (order.orderId === "") {
            return this.#createRefusal(order, MessageCode.ORDER_INVALID, "the order has no order id");
        }
        if (order.expectedVersion !== this.#configuration.version) {
            return this.#createRefusal(order, MessageCode.ORDER_CONFLICT, "");
        }
        const result = applyOrder(this.#configuration, order, index);
        if (!result.ok) {
            return this.#createRefusal(order, result.refusal.code, result.refusal.reason);
        }
        this.#configuration = result.configuration;
        return create(OrderOutcomeSchema, {
            orderId: order.orderId,
            accepted: true,
            version: this.#configuration.version,
        });
    }
    #createRefusal(order, code, reason) {
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
//# sourceMappingURL=control_machine.js.map