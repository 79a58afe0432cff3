/** A fleet of the bench: each entry and each few engines in a thread. */
import { randomUUID } from "node:crypto";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  DeploymentKind,
  type Emphasis,
  Operators,
  OrderSchema,
  type Scenario,
  type SeparationRuleSchema,
} from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { findFreePorts } from "../sys/ports.ts";
import { createCredentials, RpcClient } from "../sys/rpc.ts";
import { FleetName, waitUntil } from "./fleet.ts";
import { sendRequest } from "./caller.ts";
import { WorkerHandle } from "./worker_handle.ts";
import type { WorkerCounts } from "./worker_messages.ts";

const STATE_HOSTS = 3;
const ENGINES_PER_THREAD = 4;
const US_PER_MS = 1_000;

/** Counts of all parts. */
export interface FleetCounts {
  readonly tokens: number;
  readonly entries: WorkerCounts[];
  readonly states: WorkerCounts[];
}

/** A running fleet of threads. */
export class BenchFleet {
  readonly #clock = new SystemClock();
  #stateWorkers: WorkerHandle[] = [];
  #entryWorkers: WorkerHandle[] = [];
  #engineWorkers: WorkerHandle[] = [];
  entryAddresses: string[] = [];
  peerAddresses: string[] = [];

  /** Starts all threads and orders the configuration. */
  async start(options: {
    scenario: Scenario;
    folder: string;
    emphasis: Emphasis;
    rule: MessageInitShape<typeof SeparationRuleSchema>;
  }): Promise<void> {
    const { scenario, folder } = options;
    const peers = await this.#startStateHosts(scenario, folder);
    await this.#startEntries(scenario, peers);
    await this.#configure(options);
    await this.#startEngines(scenario);
    await this.#waitForServing(scenario.engines ?? 1);
  }

  async count(): Promise<FleetCounts> {
    const [engines, entries, states] = await Promise.all(
      [this.#engineWorkers, this.#entryWorkers, this.#stateWorkers].map((
        parts,
      ) => Promise.all(parts.map((part) => part.count()))),
    );
    return {
      tokens: (engines ?? []).reduce((sum, one) => sum + one.tokens, 0),
      entries: entries ?? [],
      states: states ?? [],
    };
  }

  /** Ends engines at once. */
  crashEngines(count: number): void {
    this.#engineWorkers.forEach((part, index) =>
      part.send({
        kind: "crash",
        engines: Math.max(0, count - index * ENGINES_PER_THREAD),
      })
    );
  }

  async close(): Promise<void> {
    const workers = [
      ...this.#engineWorkers,
      ...this.#entryWorkers,
      ...this.#stateWorkers,
    ];
    await Promise.all(workers.map((part) => part.close()));
  }

  async #startStateHosts(scenario: Scenario, folder: string) {
    const ports = await findFreePorts(STATE_HOSTS);
    const peers = ports.map((port, index) => ({
      id: `state-${index + 1}`,
      address: `127.0.0.1:${port}`,
    }));
    this.#stateWorkers = peers.map((peer) =>
      new WorkerHandle({
        kind: "states",
        settings: [{
          id: peer.id,
          data_centre: "dc-1",
          listen: peer.address,
          data_folder: `${folder}/${peer.id}`,
          members: peers,
          item_groups: scenario.itemGroups,
        }],
      })
    );
    await Promise.all(this.#stateWorkers.map((part) => part.start()));
    return peers;
  }

  async #startEntries(
    scenario: Scenario,
    peers: { id: string; address: string }[],
  ): Promise<void> {
    const count = scenario.entries ?? 1;
    const dataCentres = scenario.dataCentres ?? 1;
    this.#entryWorkers = Array.from(
      { length: count },
      (_, index) =>
        new WorkerHandle({
          kind: "entry",
          settings: {
            id: `entry-${index + 1}`,
            data_centre: `dc-${1 + index % dataCentres}`,
            listen: "127.0.0.1:0",
            peer_listen: "127.0.0.1:0",
            state: peers,
            item_groups: scenario.itemGroups,
            limits: { caller_streams: 100_000 },
          },
        }),
    );
    const addresses = await Promise.all(
      this.#entryWorkers.map((part) => part.start()),
    );
    this.entryAddresses = addresses.map((pair) => pair[0] ?? "");
    this.peerAddresses = addresses.map((pair) => pair[1] ?? "");
  }

  async #startEngines(scenario: Scenario): Promise<void> {
    const count = scenario.engines ?? 1;
    const dataCentres = scenario.dataCentres ?? 1;
    const engineOptions = Array.from({ length: count }, (_, index) => ({
      name: `engine-${index + 1}`,
      deployment: FleetName.engines,
      dataCentre: `dc-${1 + index % dataCentres}`,
      models: [FleetName.model],
      entries: this.entryAddresses,
      baseStepMs: (scenario.baseStepUs ?? 0) / US_PER_MS,
      sequenceStepMs: (scenario.sequenceStepUs ?? 0) / US_PER_MS,
      prefillTokenMs: (scenario.prefillTokenUs ?? 0) / US_PER_MS,
      maxSequences: scenario.maxSequences,
      reportLagMs: scenario.reportLagMs,
    }));
    const workerCount = Math.ceil(count / ENGINES_PER_THREAD);
    this.#engineWorkers = Array.from(
      { length: workerCount },
      (_, index) =>
        new WorkerHandle({
          kind: "engines",
          engines: engineOptions.slice(
            index * ENGINES_PER_THREAD,
            (index + 1) * ENGINES_PER_THREAD,
          ),
        }),
    );
    await Promise.all(this.#engineWorkers.map((part) => part.start()));
  }

  async #configure(options: {
    scenario: Scenario;
    emphasis: Emphasis;
    rule: MessageInitShape<typeof SeparationRuleSchema>;
  }): Promise<void> {
    const client = new RpcClient(
      this.peerAddresses[0] ?? "",
      createCredentials(),
    );
    const { engines, model, workload, operator } = FleetName;
    const actions: MessageInitShape<typeof OrderSchema>["action"][] = [
      {
        case: "putDeployment",
        value: {
          name: engines,
          kind: DeploymentKind.MODEL_ENGINE,
          emphasis: options.emphasis,
          tokenGapTargetMs: options.scenario.tokenGapTargetMs,
        },
      },
      { case: "putModel", value: { name: model, deployment: engines } },
      {
        case: "putWorkload",
        value: {
          name: workload,
          deployment: engines,
          model,
          batchAllowed: true,
        },
      },
      { case: "putRule", value: { deployment: engines, ...options.rule } },
    ];
    let version = 0n;
    for (const action of actions) {
      const order = create(OrderSchema, {
        orderId: randomUUID(),
        operator,
        expectedVersion: version,
        action,
      });
      const outcome = await client.call(Operators.method.submit, order, {
        timeoutMs: 20_000,
      });
      if (!outcome.accepted) throw new Error(outcome.detail);
      version = outcome.version;
    }
    client.close();
  }

  async #waitForServing(engines: number): Promise<void> {
    const credentials = createCredentials();
    for (const address of this.peerAddresses) {
      const client = new RpcClient(address, credentials);
      await waitUntil(this.#clock, "all engines in every view", async () => {
        const reply = await client.call(Operators.method.dump, {});
        const dump = JSON.parse(reply.json);
        return dump.backendServers.length >= engines &&
          dump.configurationVersion >= 4;
      });
      client.close();
    }
    await sendRequest(this.entryAddresses[0] ?? "", "/readyz", undefined);
  }
}
