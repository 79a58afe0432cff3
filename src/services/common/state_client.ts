/**
 * Client of the replicated state: locates each group's leader and retries
 * calls until their deadline. Commands are idempotent, so retries are safe.
 */
import { create, fromBinary, type MessageInitShape } from "@bufbuild/protobuf";
import {
  ControlReplySchema,
  type ItemCommandSchema,
  type ItemReply,
  ItemReplySchema,
  MessageCode,
  type Order,
  type OrderOutcome,
  OrderOutcomeSchema,
  type QueryReply,
  type RenewReply,
  State,
  Verdict,
  type ViewUpdate,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { getReason, ServingError } from "../../sys/errors.ts";
import {
  type RpcClient,
  RpcClientPool,
  type RpcCredentials,
} from "../../sys/rpc.ts";
import { CONTROL_GROUP } from "./groups.ts";
import { ProposalBatcher } from "./proposal_batcher.ts";
import { encodeControlCommand, encodeItemCommand } from "./commands.ts";

/** Options of a {@linkcode StateClient}. */
export interface StateClientOptions {
  /** Returns the addresses of the state hosts, which may change over time. */
  readonly getAddresses: () => readonly string[];
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
}

const DEFAULT_TIMEOUT_MS = 5_000;
const ATTEMPT_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 30;

type QueryInit = NonNullable<
  MessageInitShape<typeof State.method.query.input>["query"]
>;

/** Replies that may redirect the client to the group's leader. */
export interface RedirectableReply {
  readonly code: number;
  readonly leader: string;
  readonly detail?: string;
}

/** Calls the leaders of the groups on the state hosts. */
export class StateClient {
  readonly #options: StateClientOptions;
  readonly #clients: RpcClientPool;
  readonly #leaders = new Map<number, string>();
  readonly #batchers = new Map<number, ProposalBatcher>();
  #nextAddressIndex = 0;
  #closed = false;

  constructor(options: StateClientOptions) {
    this.#options = options;
    this.#clients = new RpcClientPool(options.credentials);
  }

  /** Submits an order; a resent order gets the outcome of the first attempt. */
  async submit(order: Order, timeoutMs?: number): Promise<OrderOutcome> {
    const command = encodeControlCommand({ case: "order", value: order });
    const reply = await this.propose(CONTROL_GROUP, command, timeoutMs);
    const { outcome } = fromBinary(ControlReplySchema, reply);
    return outcome ?? create(OrderOutcomeSchema);
  }

  /** Runs a command of an item group; throws with the code of a refusal. */
  async runItemCommand(
    group: number,
    command: MessageInitShape<typeof ItemCommandSchema>["command"],
    timeoutMs?: number,
  ): Promise<ItemReply> {
    const bytes = encodeItemCommand(command);
    const reply = await this.propose(group, bytes, timeoutMs);
    const decoded = fromBinary(ItemReplySchema, reply);
    if (decoded.code === 0) return decoded;
    throw new CommandRefusedError(decoded.code, decoded.detail);
  }

  /** Replicates a command and returns the state machine's reply. */
  propose(
    group: number,
    command: Uint8Array,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<Uint8Array> {
    const existing = this.#batchers.get(group);
    const batcher = existing ?? new ProposalBatcher({
      clock: this.#options.clock,
      send: (commands, ms) => this.#sendBatch(group, commands, ms),
    });
    if (existing === undefined) this.#batchers.set(group, batcher);
    return batcher.add(command, timeoutMs);
  }

  /** Runs a query on a group's leader. */
  query(
    group: number,
    query: QueryInit,
    timeoutMs?: number,
  ): Promise<QueryReply> {
    return this.callLeader(
      group,
      timeoutMs,
      (client, callMs) =>
        client.call(State.method.query, { group, query }, {
          timeoutMs: callMs,
        }),
    );
  }

  /** Renews the session of an entry in an item group. */
  renew(
    group: number,
    epoch: bigint,
    jobIds: readonly string[],
    timeoutMs?: number,
  ): Promise<RenewReply> {
    return this.callLeader(
      group,
      timeoutMs,
      (client, callMs) =>
        client.call(State.method.renew, {
          group,
          epoch,
          jobIds: [...jobIds],
        }, { timeoutMs: callMs }),
    );
  }

  /** Renews an entry's registration; returns false if it is not registered. */
  async renewEntry(entry: string, timeoutMs?: number): Promise<boolean> {
    const reply = await this.callLeader(
      CONTROL_GROUP,
      timeoutMs,
      (client, callMs) =>
        client.call(State.method.renew, { group: CONTROL_GROUP, entry }, {
          timeoutMs: callMs,
        }),
    );
    return reply.code === 0;
  }

  /** Subscribes to the configuration and the entries at any state host. */
  watch(
    from: { entry: string; version: bigint; entriesVersion: bigint },
    on: { update: (update: ViewUpdate) => void; end: () => void },
  ): { cancel(): void } {
    const client = this.#clients.get(this.#getNextAddress());
    return client.openStream(State.method.watch, from, {
      message: on.update,
      end: on.end,
    });
  }

  /** Returns the address index of a group's last known leader, or -1. */
  getLeaderIndex(group: number): number {
    const leader = this.#leaders.get(group) ?? "";
    return this.#options.getAddresses().indexOf(leader);
  }

  close(): void {
    this.#closed = true;
    this.#clients.close();
  }

  async #sendBatch(
    group: number,
    commands: Uint8Array[],
    timeoutMs: number,
  ): Promise<Uint8Array[]> {
    const reply = await this.callLeader(
      group,
      timeoutMs,
      (client, callMs) =>
        client.call(State.method.propose, { group, commands }, {
          timeoutMs: callMs,
        }),
    );
    return reply.replies;
  }

  /**
   * Calls a group's leader, retrying until it replies. Throws STATE_UNREACHABLE
   * (may have run) if there is no reply within the timeout or the client is
   * closed.
   */
  async callLeader<R extends RedirectableReply>(
    group: number,
    timeoutMs: number | undefined,
    call: (client: RpcClient, callMs: number) => Promise<R>,
  ): Promise<R> {
    const { clock } = this.#options;
    const deadlineMs = clock.getMonotonicMs() +
      (timeoutMs ?? DEFAULT_TIMEOUT_MS);
    let reason = "no leader is known";
    while (!this.#closed) {
      const remainingMs = deadlineMs - clock.getMonotonicMs();
      if (remainingMs <= 0) break;
      const address = this.#leaders.get(group) || this.#getNextAddress();
      const callMs = Math.min(remainingMs, ATTEMPT_TIMEOUT_MS);
      try {
        const reply = await call(this.#clients.get(address), callMs);
        if (!isRedirect(reply.code)) {
          this.#leaders.set(group, address);
          return reply;
        }
        reason = reply.detail || `the leader of group ${group} is not known`;
        this.#updateLeader(group, address, reply.leader);
      } catch (error) {
        reason = getReason(error);
        this.#leaders.delete(group);
      }
      const delayMs = this.#leaders.has(group) ? 0 : RETRY_DELAY_MS;
      if (delayMs > 0) await clock.delay(delayMs);
    }
    throw new ServingError(MessageCode.STATE_UNREACHABLE, {
      verdict: Verdict.MAY_HAVE_RUN,
      parameters: { reason },
      retryAfterS: 1,
    });
  }

  #updateLeader(group: number, calledAddress: string, leader: string): void {
    if (leader === "" || leader === calledAddress) this.#leaders.delete(group);
    else this.#leaders.set(group, leader);
  }

  #getNextAddress(): string {
    const addresses = this.#options.getAddresses();
    const address = addresses[this.#nextAddressIndex % addresses.length] ?? "";
    this.#nextAddressIndex += 1;
    return address;
  }
}

function isRedirect(code: number): boolean {
  return code === MessageCode.NOT_LEADER ||
    code === MessageCode.MAY_HAVE_COMMITTED;
}

/** A command refused by the state machine, with the detail of its reply. */
class CommandRefusedError extends ServingError {
  constructor(code: MessageCode, detail: string) {
    super(code, { verdict: Verdict.NOT_RUN });
    this.message = detail;
  }
}
