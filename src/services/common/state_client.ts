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
  type ProposeReply,
  type QueryReply,
  type RenewReply,
  State,
  Verdict,
  type ViewUpdate,
} from "../../schema/mod.ts";
import type { Clock, Timer } from "../../sys/clock.ts";
import { asServingError, getReason } from "../../sys/errors.ts";
import {
  type RpcClient,
  RpcClientPool,
  type RpcCredentials,
} from "../../sys/rpc.ts";
import {
  CommandRefusedError,
  createUnknownOutcomeError,
} from "./state_errors.ts";
import { CONTROL_GROUP } from "./groups.ts";
import { ProposalBatcher, type ProposalReply } from "./proposal_batcher.ts";
import { encodeControlCommand, encodeItemCommand } from "./commands.ts";

/** Options of a {@linkcode StateClient}. */
export interface StateClientOptions {
  /** Returns the addresses of the state hosts, which may change over time. */
  readonly getAddresses: () => readonly string[];
  /** Returns the leader's address if this process knows it by other means. */
  readonly tryGetLeader?: () => string | undefined;
  readonly credentials: RpcCredentials;
  readonly clock: Clock;
}

/** Calls one host; rejects if there is no reply within `callMs`. */
export type LeaderCall<R> = (client: RpcClient, callMs: number) => Promise<R>;

/** A call that has ended. */
interface EndedCall<R> {
  readonly address: string;
  /** Undefined if the call failed. */
  readonly reply: R | undefined;
  readonly reason: string;
  /** Whether the host may carry it out, or have done so, without a reply to it. */
  readonly isOutcomeUnknown: boolean;
}

/** A leader's reply to one of the attempts of a call. */
interface LeaderReply<R> {
  readonly reply: R;
  /** Whether another attempt, whose outcome is unknown, may still be carried out. */
  readonly mayRunLater: boolean;
}

const DEFAULT_TIMEOUT_MS = 5_000;
const ATTEMPT_TIMEOUT_MS = 1_500;
const RETRY_DELAY_MS = 30;

/**
 * Time without a reply after which another host is asked too, in milliseconds:
 * several times as long as a commit.
 */
export const SILENCE_MS = 250;

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

  /** Submits an order; a repeated order gets the outcome of the first one. */
  async submit(order: Order, timeoutMs?: number): Promise<OrderOutcome> {
    const command = encodeControlCommand({ case: "order", value: order });
    const reply = await this.propose(CONTROL_GROUP, command, timeoutMs);
    const { outcome } = fromBinary(ControlReplySchema, reply);
    return outcome ?? create(OrderOutcomeSchema);
  }

  /** Runs a command of an item group; throws a ServingError if it is refused. */
  async runItemCommand(
    group: number,
    command: MessageInitShape<typeof ItemCommandSchema>["command"],
    timeoutMs?: number,
  ): Promise<ItemReply> {
    const bytes = encodeItemCommand(command);
    const { reply, mayRunLater } = await this.proposeWithOutcome(
      group,
      bytes,
      timeoutMs,
    );
    const decoded = fromBinary(ItemReplySchema, reply);
    if (decoded.code === 0) return decoded;
    throw new CommandRefusedError(decoded, {
      verdict: mayRunLater ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
    });
  }

  /** Replicates a command and returns the state machine's reply. */
  async propose(
    group: number,
    command: Uint8Array,
    timeoutMs?: number,
  ): Promise<Uint8Array> {
    return (await this.proposeWithOutcome(group, command, timeoutMs)).reply;
  }

  /**
   * Replicates a command and returns the state machine's reply, and whether the
   * command may still be applied after a refusal.
   */
  proposeWithOutcome(
    group: number,
    command: Uint8Array,
    timeoutMs = DEFAULT_TIMEOUT_MS,
  ): Promise<ProposalReply> {
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

  /** Subscribes to the configuration and the entries on the next state host. */
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
  ): Promise<ProposalReply[]> {
    const { reply, mayRunLater } = await this.#callLeader<ProposeReply>({
      group,
      timeoutMs,
      silenceMs: SILENCE_MS,
      call: (client, callMs) =>
        client.call(State.method.propose, { group, commands }, {
          timeoutMs: callMs,
        }),
    });
    // An empty reply would be decoded as that of an accepted command.
    if (reply.code !== 0 || reply.replies.length !== commands.length) {
      throw createUnknownOutcomeError(
        reply.detail || `${reply.replies.length} outcomes arrived for ` +
            `${commands.length} commands`,
      );
    }
    return reply.replies.map((bytes) => ({ reply: bytes, mayRunLater }));
  }

  /**
   * Calls a group's leader, retrying until it replies. While a host does not
   * reply, others are asked too, so that a silent host delays a call by
   * `silenceMs` only. Throws STATE_UNREACHABLE (may have run) if there is no
   * reply within the timeout or the client is closed.
   */
  async callLeader<R extends RedirectableReply>(
    group: number,
    timeoutMs: number | undefined,
    call: LeaderCall<R>,
    silenceMs = SILENCE_MS,
  ): Promise<R> {
    const options = { group, timeoutMs, call, silenceMs };
    return (await this.#callLeader<R>(options)).reply;
  }

  async #callLeader<R extends RedirectableReply>(
    { group, timeoutMs, call, silenceMs }: {
      readonly group: number;
      readonly timeoutMs: number | undefined;
      readonly call: LeaderCall<R>;
      readonly silenceMs: number;
    },
  ): Promise<LeaderReply<R>> {
    const { clock } = this.#options;
    const deadlineMs = clock.getMonotonicMs() +
      (timeoutMs ?? DEFAULT_TIMEOUT_MS);
    /** Calls without a reply so far, by address. */
    const pending = new Map<string, Promise<EndedCall<R>>>();
    let reason = "no leader is known";
    let previous: EndedCall<R> | undefined;
    let hasUnknownOutcome = false;
    while (!this.#closed) {
      const remainingMs = deadlineMs - clock.getMonotonicMs();
      if (remainingMs <= 0) break;
      const address = this.#trySelectAddress(group, pending, previous);
      if (address !== undefined) {
        const callMs = Math.min(remainingMs, ATTEMPT_TIMEOUT_MS);
        pending.set(address, this.#call(address, call, callMs));
      }
      const ended = await this.#waitForReply(
        pending,
        Math.min(remainingMs, silenceMs),
      );
      if (ended === undefined) continue;
      pending.delete(ended.address);
      previous = ended;
      const { reply } = ended;
      if (reply !== undefined && !isRedirect(reply.code)) {
        this.#leaders.set(group, ended.address);
        return { reply, mayRunLater: hasUnknownOutcome || pending.size > 0 };
      }
      hasUnknownOutcome ||= ended.isOutcomeUnknown;
      reason = reply === undefined
        ? ended.reason
        : reply.detail || `the leader of group ${group} is not known`;
      this.#updateLeader(group, ended.address, reply?.leader ?? "");
      const leader = this.#leaders.get(group);
      if (leader === undefined) await clock.delay(RETRY_DELAY_MS);
      else if (pending.has(leader)) {
        await this.#waitForReply(pending, silenceMs);
      }
    }
    throw createUnknownOutcomeError(reason);
  }

  async #call<R extends RedirectableReply>(
    address: string,
    call: LeaderCall<R>,
    callMs: number,
  ): Promise<EndedCall<R>> {
    try {
      const reply = await call(this.#clients.get(address), callMs);
      const isOutcomeUnknown = reply.code === MessageCode.MAY_HAVE_COMMITTED;
      return { address, reply, reason: "", isOutcomeUnknown };
    } catch (error) {
      const isOutcomeUnknown =
        asServingError(error).verdict !== Verdict.NOT_RUN;
      const reason = getReason(error);
      return { address, reply: undefined, reason, isOutcomeUnknown };
    }
  }

  /** Resolves with the first call that ends; undefined after `ms`. */
  async #waitForReply<R>(
    pending: ReadonlyMap<string, Promise<EndedCall<R>>>,
    ms: number,
  ): Promise<EndedCall<R> | undefined> {
    let timer: Timer | undefined;
    const timeout = new Promise<undefined>((resolve) => {
      timer = this.#options.clock.startTimer(ms, () => resolve(undefined));
    });
    try {
      return await Promise.race([...pending.values(), timeout]);
    } finally {
      timer?.cancel();
    }
  }

  /**
   * Address to call next: a known leader, or else the next one; last the host
   * whose call has just ended. Undefined if all of them are being called.
   */
  #trySelectAddress(
    group: number,
    pending: ReadonlyMap<string, unknown>,
    previous: EndedCall<RedirectableReply> | undefined,
  ): string | undefined {
    const leaders = [
      previous?.reply?.leader ?? "",
      this.#options.tryGetLeader?.() ?? "",
      this.#leaders.get(group) ?? "",
    ].filter((address) => address !== "");
    const addresses = this.#options.getAddresses();
    const start = this.#nextAddressIndex % Math.max(1, addresses.length);
    const others = [...addresses.slice(start), ...addresses.slice(0, start)];
    const candidates = [...leaders, ...others]
      .filter((address) => !pending.has(address));
    const address =
      candidates.find((candidate) => candidate !== previous?.address) ??
        candidates[0];
    const index = addresses.indexOf(address ?? "");
    if (index >= 0) this.#nextAddressIndex = index + 1;
    return address;
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

/** Whether the called host does not lead the group, or no longer does. */
function isRedirect(code: number): boolean {
  return code === MessageCode.NOT_LEADER ||
    code === MessageCode.MAY_HAVE_COMMITTED;
}
