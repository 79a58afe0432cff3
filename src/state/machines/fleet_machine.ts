/**
 * State machine of the fleet group, which runs on the control hosts: the
 * current route table, the hosts that hold replicated state and the backend servers
 * that have left. The route table with the highest version wins, regardless of the
 * order in which versions arrive. A server that has left stays so in its start.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  FleetCommandSchema,
  type FleetReply,
  FleetReplySchema,
  FleetSnapshotSchema,
  type HostList,
  HostListSchema,
  type HostRecord,
  HostRecordSchema,
  HostRole,
  MessageCode,
  type ReadState,
  type RouteTable,
  RouteTableSchema,
  type ServerStart,
  type StoreMembers,
} from "../../schema/mod.ts";
import {
  type CommandContext,
  decodeProposedCommand,
  StateMachine,
} from "./state_machine.ts";

/** Options of a {@linkcode FleetMachine}; must be the same on all replicas. */
export interface FleetMachineOptions {
  /** Minimum number of store hosts that must remain when one is retired. */
  readonly minStoreHosts?: number;
  /** Called for each server that leaves, also at a start; may be called repeatedly. */
  readonly onServerLeft?: (server: ServerStart) => void;
}

/**
 * Maximum number of starts of servers that have left; the oldest are dropped. Exceeds
 * those of a large fleet for as long as any process may know them from before.
 */
const MAX_LEFT_STARTS = 4_096;

/** Replicated state of the fleet group. */
export class FleetMachine extends StateMachine {
  readonly #minStoreHosts: number;
  #routes: RouteTable = create(RouteTableSchema);
  #hosts: HostList = create(HostListSchema);
  readonly #onServerLeft: (server: ServerStart) => void;
  /** Servers that leave or have left, by start. */
  readonly #left = new Map<string, ServerStart>();

  constructor(options: FleetMachineOptions = {}) {
    super();
    this.#minStoreHosts = options.minStoreHosts ?? 1;
    this.#onServerLeft = options.onServerLeft ?? (() => {});
  }

  /** The current route table; its version is 0 until one is set. */
  get routes(): RouteTable {
    return this.#routes;
  }

  get hosts(): HostList {
    return this.#hosts;
  }

  /** Servers that leave or have left, oldest first. */
  get left(): ServerStart[] {
    return [...this.#left.values()];
  }

  hasLeft(server: ServerStart): boolean {
    return this.#left.has(getStartKey(server));
  }

  override checkCommand(command: Uint8Array): void {
    decodeProposedCommand(FleetCommandSchema, command);
  }

  /**
   * A server that said that it leaves does so even if that is not committed. Until the
   * group has a leader, nothing else tells that it does.
   */
  override foreseeCommand(command: Uint8Array): void {
    const { command: body } = fromBinary(FleetCommandSchema, command);
    if (body.case === "recordLeft") this.#onServerLeft(body.value);
  }

  override apply(command: Uint8Array, context: CommandContext): Uint8Array {
    const { command: body } = fromBinary(FleetCommandSchema, command);
    let code = 0;
    let newerState: Partial<FleetReply> = {};
    switch (body.case) {
      case "readState":
        newerState = this.#getNewerState(body.value);
        break;
      case "putRoutes":
        if (body.value.version > this.#routes.version) {
          this.#routes = body.value;
        }
        break;
      case "registerHost":
        this.#registerHost(body.value, context.index);
        break;
      case "formStore":
        this.#formStore(body.value.ids);
        break;
      case "retireHost":
        code = this.#retireHost(body.value);
        break;
      case "reportStore":
        this.#reportStore(body.value);
        break;
      case "recordLeft":
        this.#recordLeft(body.value);
        break;
      default:
        break;
    }
    const { version } = this.#routes;
    return toBinary(
      FleetReplySchema,
      create(FleetReplySchema, { version, code, ...newerState }),
    );
  }

  override capture(): Iterable<Uint8Array> {
    const snapshot = create(FleetSnapshotSchema, {
      routes: this.#routes,
      hosts: this.#hosts,
      left: this.left,
    });
    return [toBinary(FleetSnapshotSchema, snapshot)];
  }

  override restore(parts: readonly Uint8Array[]): void {
    const snapshot = fromBinary(
      FleetSnapshotSchema,
      parts[0] ?? new Uint8Array(),
    );
    this.#routes = snapshot.routes ?? create(RouteTableSchema);
    this.#hosts = snapshot.hosts ?? create(HostListSchema);
    this.#left.clear();
    snapshot.left.forEach((server) => this.#recordLeft(server));
  }

  /**
   * Returns the state that is newer than the reader's versions. The read is a
   * committed command, so it is linearizable.
   */
  #getNewerState(readerVersions: ReadState): Partial<FleetReply> {
    return {
      routes: this.#routes.version > readerVersions.routesVersion
        ? this.#routes
        : undefined,
      hosts: this.#hosts.version > readerVersions.hostsVersion
        ? this.#hosts
        : undefined,
    };
  }

  /**
   * Adds a host, and removes the records with the same id or address: a host
   * that lost its disk has a new id, and a host that moved has a new address.
   */
  #registerHost(host: HostRecord, index: number): void {
    const isKnown = this.#hosts.hosts.some((known) =>
      known.id === host.id && known.address === host.address
    );
    if (isKnown) return;
    const record = create(HostRecordSchema, { ...host, index: BigInt(index) });
    const others = this.#hosts.hosts.filter((known) =>
      known.id !== host.id && known.address !== host.address
    );
    this.#updateHosts({ hosts: [...others, record] });
  }

  /** Sets the initial members of the store group; they are set only once. */
  #formStore(ids: readonly string[]): void {
    if (this.#hosts.storeMembers.length > 0) return;
    this.#updateHosts({ storeMembers: [...ids] });
  }

  /** Retires a store host by name; idempotent. Returns 0 on success. */
  #retireHost(name: string): MessageCode | 0 {
    const stores = this.#hosts.hosts.filter((host) =>
      host.role === HostRole.STORE
    );
    const host = stores.find((store) => store.name === name);
    if (host === undefined) return MessageCode.UNKNOWN_HOST;
    const { retired } = this.#hosts;
    if (retired.includes(host.id)) return 0;
    const remaining = stores.filter((other) =>
      other.id !== host.id && !retired.includes(other.id)
    );
    if (remaining.length < this.#minStoreHosts) {
      return MessageCode.TOO_FEW_HOSTS;
    }
    this.#updateHosts({ retired: [...retired, host.id] });
    return 0;
  }

  #recordLeft(server: ServerStart): void {
    if (this.hasLeft(server)) return;
    this.#left.set(getStartKey(server), server);
    if (this.#left.size > MAX_LEFT_STARTS) {
      const [oldest = ""] = this.#left.keys();
      this.#left.delete(oldest);
    }
    this.#onServerLeft(server);
  }

  /** Stores the store group's members unless a newer report is known. */
  #reportStore(report: StoreMembers): void {
    const current = this.#hosts.storeNow;
    const isStale = current !== undefined && (report.term < current.term ||
      (report.term === current.term && report.index <= current.index));
    if (!isStale) this.#updateHosts({ storeNow: report });
  }

  #updateHosts(change: Partial<Omit<HostList, "$typeName">>): void {
    this.#hosts = create(HostListSchema, {
      ...this.#hosts,
      ...change,
      version: this.#hosts.version + 1n,
    });
  }
}

function getStartKey({ id, bornMs }: ServerStart): string {
  return `${id}/${bornMs}`;
}
