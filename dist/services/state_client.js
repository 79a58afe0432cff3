/**
 * Client of the replicated state: finds each group's leader and repeats calls
 * until their deadline. Commands are made so that a repeated one has the
 * effect of one.
 */
import { create, fromBinary } from "@bufbuild/protobuf";
import { ControlReplySchema, ItemReplySchema, MessageCode, OrderOutcomeSchema, State, Verdict, } from "../schema/mod.js";
import { getReason, ServingError } from "../sys/errors.js";
import { RpcClients } from "../sys/rpc.js";
import { CONTROL_GROUP } from "./groups.js";
import { ProposalBatch } from "./proposal_batch.js";
import { encodeControlCommand, encodeItemCommand } from "./commands.js";
const DEFAULT_TIMEOUT_MS = 5_000;
const ATTEMPT_TIMEOUT_MS = 1_500;
const RETRY_PAUSE_MS = 30;
/** A connection to all state hosts. */
export class StateClient {
    #options;
    #clients;
    #leaders = new Map();
    #batches = new Map();
    #next = 0;
    #closed = false;
    constructor(options) {
        this.#options = options;
        this.#clients = new RpcClients(options.credentials);
    }
    /** Submits an order; a resent one gets its first answer. */
    async submit(order, timeoutMs) {
        const command = encodeControlCommand({ case: "order", value: order });
        const reply = await this.propose(CONTROL_GROUP, command, timeoutMs);
        const { outcome } = fromBinary(ControlReplySchema, reply);
        return outcome ?? create(OrderOutcomeSchema);
    }
    /** Runs a command of an item group; a refusal is thrown with its code. */
    async runItemCommand(group, command, timeoutMs) {
        const bytes = encodeItemCommand(command);
        const reply = await this.propose(group, bytes, timeoutMs);
        const decoded = fromBinary(ItemReplySchema, reply);
        if (decoded.code === 0)
            return decoded;
        throw new RefusedError(decoded.code, decoded.detail);
    }
    /** Replicates a command and returns the reply of the state machine. */
    propose(group, command, timeoutMs = DEFAULT_TIMEOUT_MS) {
        const known = this.#batches.get(group);
        const batch = known ?? new ProposalBatch({
            clock: this.#options.clock,
            send: (commands, ms) => this.#sendBatch(group, commands, ms),
        });
        if (known === undefined)
            this.#batches.set(group, batch);
        return batch.add(command, timeoutMs);
    }
    /** Reads from a group's leader. */
    query(group, query, timeoutMs) {
        return this.#callLeader(group, timeoutMs, (client, callMs) => client.call(State.method.query, { group, query }, {
            timeoutMs: callMs,
        }));
    }
    /** Renews a session. */
    renew(group, epoch, jobIds, timeoutMs) {
        return this.#callLeader(group, timeoutMs, (client, callMs) => client.call(State.method.renew, {
            group,
            epoch,
            jobIds: [...jobIds],
        }, { timeoutMs: callMs }));
    }
    /** Renews an entry's place in the fleet; false when it has none. */
    async renewEntry(entry, timeoutMs) {
        const reply = await this.#callLeader(CONTROL_GROUP, timeoutMs, (client, callMs) => client.call(State.method.renew, { group: CONTROL_GROUP, entry }, {
            timeoutMs: callMs,
        }));
        return reply.code === 0;
    }
    /** Follows the configuration and the entries at any one state host. */
    watch(from, on) {
        const client = this.#clients.get(this.#getNextAddress());
        return client.openStream(State.method.watch, from, {
            message: on.update,
            end: on.end,
        });
    }
    /** Place of a group's leader among the addresses, as last known. */
    getLeaderIndex(group) {
        return this.#options.addresses.indexOf(this.#leaders.get(group) ?? "");
    }
    close() {
        this.#closed = true;
        this.#clients.close();
    }
    async #sendBatch(group, commands, timeoutMs) {
        const reply = await this.#callLeader(group, timeoutMs, (client, callMs) => client.call(State.method.propose, { group, commands }, {
            timeoutMs: callMs,
        }));
        return reply.replies;
    }
    async #callLeader(group, timeoutMs, call) {
        const { clock } = this.#options;
        const endMs = clock.getMonotonicMs() + (timeoutMs ?? DEFAULT_TIMEOUT_MS);
        let reason = "no leader is known";
        while (!this.#closed) {
            const leftMs = endMs - clock.getMonotonicMs();
            if (leftMs <= 0)
                break;
            const address = this.#leaders.get(group) || this.#getNextAddress();
            const callMs = Math.min(leftMs, ATTEMPT_TIMEOUT_MS);
            try {
                const reply = await call(this.#clients.get(address), callMs);
                if (!isRedirect(reply.code)) {
                    this.#leaders.set(group, address);
                    return reply;
                }
                reason = reply.detail || `the leader of group ${group} is not known`;
                this.#followHint(group, address, reply.leader);
            }
            catch (error) {
                reason = getReason(error);
                this.#leaders.delete(group);
            }
            const pauseMs = this.#leaders.has(group) ? 0 : RETRY_PAUSE_MS;
            if (pauseMs > 0)
                await clock.delay(pauseMs);
        }
        throw new ServingError(MessageCode.STATE_UNREACHABLE, {
            verdict: Verdict.MAY_HAVE_RUN,
            parameters: { reason },
            retryAfterS: 1,
        });
    }
    #followHint(group, asked, leader) {
        if (leader === "" || leader === asked)
            this.#leaders.delete(group);
        else
            this.#leaders.set(group, leader);
    }
    #getNextAddress() {
        const { addresses } = this.#options;
        const address = addresses[this.#next % addresses.length] ?? "";
        this.#next += 1;
        return address;
    }
}
function isRedirect(code) {
    return code === MessageCode.NOT_LEADER ||
        code === MessageCode.MAY_HAVE_COMMITTED;
}
/** A refusal by the state machine, with its text. */
class RefusedError extends ServingError {
    constructor(code, detail) {
        super(code, { verdict: Verdict.NOT_RUN });
        this.message = detail;
    }
}
//# sourceMappingURL=state_client.js.map