/**
 * A small whole fleet in one process, through the library: state replicas,
 * entries and stand-in backend servers on loopback and temporary folders.
 */
import { randomUUID } from "node:crypto";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  DeploymentKind,
  Emphasis,
  EntrySettingsSchema,
  type Member,
  MemberSchema,
  type Order,
  type OrderOutcome,
  OrderSchema,
  StateSettingsSchema,
} from "../schema/mod.ts";
import {
  createProcessContext,
  EntryHost,
  type ProcessContext,
  StateHost,
} from "../services/mod.ts";
import { type Clock, SystemClock } from "../sys/clock.ts";
import { createSettings } from "../sys/settings.ts";
import { findFreePorts } from "../sys/ports.ts";
import { StandInEngine, type StandInEngineOptions } from "./stand_in_engine.ts";
import { StandInService } from "./stand_in_service.ts";

/** How a {@linkcode Fleet} is made. */
export interface FleetOptions {
  readonly folder: string;
  readonly states?: number;
  readonly entries?: number;
  readonly engines?: number;
  readonly services?: number;
  readonly dataCentres?: number;
  readonly itemGroups?: number;
  readonly engine?: Partial<StandInEngineOptions>;
  readonly emphasis?: Emphasis;
  readonly tokenGapTargetMs?: number;
  readonly context?: Partial<ProcessContext>;
  /** Whether messages from a process, by its id, to an address vanish. */
  readonly isCut?: (from: string, address: string) => boolean;
  /** Changes to the entries' settings. */
  readonly entrySettings?: Record<string, unknown>;
  /** Changes to the state hosts' settings. */
  readonly stateSettings?: Record<string, unknown>;
}

const POLL_MS = 20;
const READY_TIMEOUT_MS = 20_000;

/** Names that the fleet's configuration uses. */
export const FleetName = {
  operator: "utility",
  engines: "assistant",
  services: "receipts",
  model: "refill-model",
  workload: "refill-questions",
  receiptWorkload: "fill-receipts",
} as const;

/** Waits until `test` holds, polling. */
export async function waitUntil(
  clock: Clock,
  label: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const endMs = clock.getMonotonicMs() + timeoutMs;
  while (!(await condition())) {
    if (clock.getMonotonicMs() > endMs) throw new Error(`no sign of: ${label}`);
    await clock.delay(POLL_MS);
  }
}

/** A running fleet. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly clock: Clock;
  readonly states: StateHost[] = [];
  readonly entries: EntryHost[] = [];
  readonly engines: StandInEngine[] = [];
  readonly services: StandInService[] = [];
  readonly receiptCounts = new Map<string, number>();
  #statePeers: { id: string; address: string; data_centre: string }[] = [];

  constructor(options: FleetOptions) {
    this.#options = options;
    this.clock = options.context?.clock ?? new SystemClock();
  }

  /** Starts everything and puts the configuration in force. */
  async start(): Promise<void> {
    await this.startStateHosts();
    await this.startEntries();
    await this.configure();
    await this.startBackendServers();
  }

  getDataCentre(index: number): string {
    return `dc-${1 + index % (this.#options.dataCentres ?? 2)}`;
  }

  async startStateHosts(): Promise<void> {
    const count = this.#options.states ?? 3;
    const ports = await findFreePorts(count);
    this.#statePeers = ports.map((port, index) => ({
      id: `state-${index + 1}`,
      address: `127.0.0.1:${port}`,
      data_centre: this.getDataCentre(index),
    }));
    const hosts = this.#statePeers.map((_, index) =>
      this.#createStateHost(index)
    );
    await Promise.all(hosts.map((host) => host.listen()));
    await Promise.all(hosts.map((host) => host.start()));
    this.states.push(...hosts);
  }

  /** Starts a state host again on its folder. */
  async restartStateHost(index: number): Promise<StateHost> {
    const host = this.#createStateHost(index);
    await host.listen();
    await host.start();
    this.states[index] = host;
    return host;
  }

  getStateFolder(index: number): string {
    return `${this.#options.folder}/${this.#statePeers[index]?.id}`;
  }

  /** Starts a state host that belongs to no group yet. */
  async startJoiningStateHost(id: string): Promise<StateHost> {
    const [port] = await findFreePorts(1);
    const peer = {
      id,
      address: `127.0.0.1:${port}`,
      data_centre: this.getDataCentre(this.#statePeers.length),
    };
    this.#statePeers.push(peer);
    const index = this.#statePeers.length - 1;
    const host = this.#createStateHost(index, { join: true });
    await host.listen();
    await host.start();
    this.states[index] = host;
    return host;
  }

  createMember(fields: { id: string; address: string }): Member {
    return create(MemberSchema, fields);
  }

  async startEntries(): Promise<void> {
    const count = this.#options.entries ?? 2;
    for (let index = 0; index < count; index += 1) {
      await this.startEntry(index);
    }
    await waitUntil(
      this.clock,
      "all entries in every view",
      () => this.entries.every((entry) => entry.view.entries.length >= count),
    );
  }

  /** Starts the entry of an index, in place of one that ended. */
  async startEntry(index: number): Promise<EntryHost> {
    const settings = createSettings(EntrySettingsSchema, {
      id: `entry-${index + 1}`,
      data_centre: this.getDataCentre(index),
      listen: "127.0.0.1:0",
      peer_listen: "127.0.0.1:0",
      state: this.#statePeers,
      entries: this.entries.map((entry) => entry.peerAddress),
      item_groups: this.#options.itemGroups ?? 2,
      ...this.#options.entrySettings,
    });
    const name = `entry-${index + 1}`;
    const context = this.#createContext(name);
    const entry = new EntryHost(settings, context);
    await entry.start();
    this.entries[index] = entry;
    return entry;
  }

  /** Orders the deployments, the model and the workloads. */
  async configure(): Promise<void> {
    const { engines, services, model, workload, receiptWorkload } = FleetName;
    await this.order({
      case: "putDeployment",
      value: {
        name: engines,
        kind: DeploymentKind.MODEL_ENGINE,
        emphasis: this.#options.emphasis ?? Emphasis.THROUGHPUT,
        firstTokenTargetMs: 1_200,
        tokenGapTargetMs: this.#options.tokenGapTargetMs ?? 26,
      },
    });
    await this.order({
      case: "putDeployment",
      value: { name: services, kind: DeploymentKind.PLAIN_SERVICE },
    });
    await this.order({
      case: "putModel",
      value: { name: model, deployment: engines, version: "1" },
    });
    await this.order({
      case: "putWorkload",
      value: {
        name: workload,
        deployment: engines,
        model,
        timeoutMs: 60_000,
        batchAllowed: true,
      },
    });
    const outcome = await this.order({
      case: "putWorkload",
      value: {
        name: receiptWorkload,
        deployment: services,
        pathPrefix: "/receipts",
        nonIdempotent: true,
        timeoutMs: 10_000,
        batchAllowed: true,
      },
    });
    await waitUntil(
      this.clock,
      "the configuration in force everywhere",
      () =>
        this.entries.every((entry) =>
          entry.view.configuration.version >= outcome.version
        ),
    );
  }

  /** Submits an order on top of the newest configuration. */
  async order(
    action: MessageInitShape<typeof OrderSchema>["action"],
    changes: Partial<Pick<Order, "orderId" | "operator">> = {},
  ): Promise<OrderOutcome> {
    const entry = this.entries[0];
    if (entry === undefined) throw new Error("the fleet has no entries");
    const reply = await entry.state.query(0, {
      case: "configuration",
      value: true,
    });
    const outcome = await entry.state.submit(create(OrderSchema, {
      orderId: randomUUID(),
      operator: FleetName.operator,
      expectedVersion: reply.configuration?.version ?? 0n,
      action,
      ...changes,
    }));
    if (!outcome.accepted) throw new Error(outcome.detail);
    return outcome;
  }

  async startBackendServers(): Promise<void> {
    const engines = this.#options.engines ?? 3;
    const services = this.#options.services ?? 1;
    for (let index = 0; index < engines; index += 1) {
      await this.startEngine(index);
    }
    for (let index = 0; index < services; index += 1) {
      const service = new StandInService({
        name: `service-${index + 1}`,
        deployment: FleetName.services,
        dataCentre: this.getDataCentre(index),
        entries: this.getEntryAddresses(),
        clock: this.clock,
        receiptCounts: this.receiptCounts,
      });
      await service.start();
      this.services.push(service);
    }
    await waitUntil(
      this.clock,
      "all backend servers in every view",
      () =>
        this.entries.every((entry) =>
          entry.view.backends.getAll().length >= engines + services
        ),
    );
  }

  async startEngine(index: number): Promise<StandInEngine> {
    const engine = new StandInEngine({
      name: `engine-${index + 1}`,
      deployment: FleetName.engines,
      dataCentre: this.getDataCentre(index),
      models: [FleetName.model],
      entries: this.getEntryAddresses(),
      clock: this.clock,
      ...this.#options.engine,
    });
    await engine.start();
    this.engines[index] = engine;
    return engine;
  }

  getEntryAddresses(): string[] {
    return this.entries.map((entry) => entry.address);
  }

  /** Ends everything at once. */
  async close(): Promise<void> {
    this.engines.forEach((engine) => engine.crash());
    this.services.forEach((service) => service.crash());
    this.entries.forEach((entry) => entry.halt());
    await Promise.all(this.states.map((state) => state.halt()));
  }

  #createStateHost(
    index: number,
    changes: Record<string, unknown> = {},
  ): StateHost {
    const peer = this.#statePeers[index];
    if (peer === undefined) throw new Error(`no state host ${index}`);
    const settings = createSettings(StateSettingsSchema, {
      id: peer.id,
      data_centre: peer.data_centre,
      listen: peer.address,
      data_folder: `${this.#options.folder}/${peer.id}`,
      members: this.#statePeers,
      item_groups: this.#options.itemGroups ?? 2,
      ...this.#options.stateSettings,
      ...changes,
    });
    return new StateHost(settings, this.#createContext(peer.id));
  }

  #createContext(name: string): ProcessContext {
    const { context, isCut } = this.#options;
    return createProcessContext({
      ...context,
      name,
      isPartitioned: (address) => isCut?.(name, address) ?? false,
    });
  }
}
