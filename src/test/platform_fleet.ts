/** A small complete fleet on loopback, with the platform's dialects. */
import { mkdtemp, rm } from "node:fs/promises";
import http from "node:http";
import { tmpdir } from "node:os";
import path from "node:path";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { PlatformCallerDialect } from "../../platform/caller_dialect.ts";
import { ControlHttpServer } from "../../platform/control_http_server.ts";
import { ControlHost, GatewayHost, StoreHost } from "../fleet/mod.ts";
import { type FleetSettings, FleetSettingsSchema } from "../schema/mod.ts";
import { createProcessContext } from "../services/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { MemoryLog } from "../sys/log.ts";
import { findFreePorts } from "../sys/ports.ts";
import { createSettings } from "../sys/settings.ts";
import { type Behaviour, PlatformServer } from "./platform_server.ts";

const DIALECTS = {
  caller: new PlatformCallerDialect(),
  backend: new PlatformBackendDialect(),
};

/** A response, complete or truncated. */
export interface ReceivedResponse {
  /** HTTP status, or 0 if the connection failed before the response headers. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly isComplete: boolean;
}

/** Sends one HTTP request. Network errors are returned as status 0. */
export function sendHttpRequest(
  address: string,
  method: string,
  target: string,
  options: {
    headers?: Record<string, string>;
    body?: string;
    signal?: AbortSignal;
    /** Called with all of the body that has arrived, after each chunk. */
    onData?: (text: string) => void;
    /** Pools connections; without an agent each request opens its own. */
    agent?: http.Agent;
  } = {},
): Promise<ReceivedResponse> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const req = http.request({
      host,
      port,
      method,
      path: target,
      headers: options.headers,
      agent: options.agent ?? false,
      signal: options.signal,
    });
    const noResponse = { status: 0, headers: {}, text: "", isComplete: false };
    let hasResponse = false;
    // An answer that ends with its connection counts as complete for Node even if
    // the connection was reset.
    let hasFailed = false;
    req.on("error", () => {
      hasFailed = true;
      if (!hasResponse) resolve(noResponse);
    });
    req.on("response", (res) => {
      hasResponse = true;
      const chunks: Buffer[] = [];
      res.on("data", (chunk) => {
        chunks.push(chunk);
        options.onData?.(Buffer.concat(chunks).toString("utf8"));
      });
      res.on("error", () => {
        hasFailed = true;
      });
      res.on("close", () =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          text: Buffer.concat(chunks).toString("utf8"),
          isComplete: res.complete && !hasFailed,
        }));
    });
    req.end(options.body);
  });
}

/** Returns a configuration document with one route of each kind. */
export function createConfig(version: number, overrides = {}): string {
  const route = {
    Host: "a.example",
    TimeoutMs: 3_000,
    SloMs: 1_000,
    Priority: 0,
    Service: "s",
    Attempts: 2,
  };
  return JSON.stringify({
    Version: version,
    Routes: [
      { ...route, Name: "plain", PathPrefix: "/p/", Kind: "idempotent" },
      { ...route, Name: "once", PathPrefix: "/n/", Kind: "non_idempotent" },
      {
        ...route,
        Name: "stream",
        PathPrefix: "/s/",
        Kind: "streaming",
        Resumable: true,
        GapTargetMs: 300,
      },
      {
        ...route,
        Name: "live",
        PathPrefix: "/l/",
        Kind: "streaming",
        Resumable: false,
        GapTargetMs: 300,
      },
      {
        ...route,
        Name: "jobs",
        PathPrefix: "/b/",
        Kind: "batch",
        Attempts: 2,
        RunTargetMs: 10_000,
        RetentionS: 60,
        MaxCount: 1_000,
      },
    ],
    Services: [{ Name: "s", HealthPath: "/healthz", MaxConns: 100 }],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 100_000,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    ...overrides,
  });
}

/** The fleet: three control hosts, three store hosts, gateways and servers. */
export class PlatformFleet {
  readonly clock = new SystemClock();
  readonly log = new MemoryLog();
  readonly servers: PlatformServer[] = [];
  /** Behaviours for the next requests, whichever server receives them. */
  readonly behaviours: Behaviour[] = [];
  readonly controls: ControlHost[] = [];
  readonly stores: StoreHost[] = [];
  readonly gateways: GatewayHost[] = [];
  readonly controlAddresses: string[] = [];
  readonly gatewayAddresses: string[] = [];
  readonly readyAddresses: string[] = [];
  /** Indexes of gateways that reach no server; connections there hang. */
  readonly cutOffGateways = new Set<number>();
  /** Indexes of gateways whose calls to control and store hosts hang. */
  readonly isolatedGateways = new Set<number>();
  /** Links on which calls hang, as "CALLER/HOST". */
  readonly cutLinks = new Set<string>();
  /** Names of control and store hosts, by the address for other processes. */
  readonly #hostNames = new Map<string, string>();
  readonly #maxStreamMs: number | undefined;
  readonly #beatMs: number;
  readonly #gatewaySettings: Record<string, unknown>;
  readonly #settings: Record<string, unknown>;
  readonly #peerAddresses: string[] = [];
  readonly #controlFronts: ControlHttpServer[] = [];
  #folder = "";
  #seeds: string[] = [];

  /** Without `maxStreamMs`, hosts assume that streams last as long as they may. */
  constructor(
    options: {
      maxStreamMs?: number;
      beatMs?: number;
      /** Settings of all gateways in addition to those that they need. */
      gatewaySettings?: Record<string, unknown>;
      /** Further settings of all hosts. */
      settings?: Record<string, unknown>;
    } = {},
  ) {
    this.#gatewaySettings = options.gatewaySettings ?? {};
    this.#settings = options.settings ?? {};
    this.#maxStreamMs = options.maxStreamMs;
    this.#beatMs = options.beatMs ?? 60_000;
  }

  /** Starts hosts and servers, and puts the first configuration in force. */
  async start(options: { servers: number; gateways: number }): Promise<void> {
    this.#folder = await mkdtemp(path.join(tmpdir(), "papayatally-fleet-"));
    const ports = await findFreePorts(9 + 3 * options.gateways);
    const takePort = () => ports.shift() ?? 0;
    const controlPorts = [takePort(), takePort(), takePort()];
    this.#seeds = controlPorts.map((port) => `127.0.0.1:${port}`);
    await Promise.all(
      controlPorts.map((port, index) =>
        this.#startControl(index, port, takePort())
      ),
    );
    await Promise.all(
      [0, 1, 2].map((index) => this.#startStore(index, takePort())),
    );
    for (let index = 0; index < options.gateways; index += 1) {
      await this.#startGateway(index, [takePort(), takePort(), takePort()]);
    }
    await this.waitUntil(
      "the first configuration to be acknowledged",
      async () => (await this.putConfig(createConfig(1))).status === 200,
    );
    await this.waitUntil(
      "the gateways to be ready",
      () => this.gateways.every((gateway) => gateway.isReady),
    );
    for (let index = 0; index < options.servers; index += 1) {
      await this.addServer(`i-${index}`);
    }
    await this.waitUntil(
      "the store hosts to be ready",
      () => this.stores.every((store) => store.isReady),
    );
  }

  async addServer(id: string): Promise<PlatformServer> {
    const server = new PlatformServer(id, this.behaviours);
    await server.start();
    this.servers.push(server);
    await this.registerServer(server);
    await this.waitUntil(
      `the gateways to know server ${id}`,
      () =>
        this.gateways.every((gateway) =>
          JSON.stringify(gateway.getDump()).includes(id)
        ),
    );
    return server;
  }

  /** Starts another gateway and waits until it is ready. */
  async addGateway(): Promise<number> {
    const index = this.gateways.length;
    await this.#startGateway(index, await findFreePorts(3));
    await this.waitUntil(
      "the new gateway to be ready",
      () => this.gateways[index]?.isReady === true,
    );
    return index;
  }

  /** Starts a control host in addition to the members of the group. */
  async addControl(): Promise<string> {
    const index = this.controls.length;
    const ports = await findFreePorts(2);
    await this.#startControl(index, ports[0] ?? 0, ports[1] ?? 0);
    return this.controlAddresses[index] ?? "";
  }

  /** Addresses at which other hosts reach the first control hosts. */
  get seeds(): readonly string[] {
    return this.#seeds;
  }

  /** Address at which other gateways reach a gateway. */
  getPeerAddress(index: number): string {
    return this.#peerAddresses[index] ?? "";
  }

  registerServer(
    server: PlatformServer,
    overrides = {},
    controlIndex = 0,
  ): Promise<ReceivedResponse> {
    return sendHttpRequest(
      this.controlAddresses[controlIndex] ?? "",
      "PUT",
      `/-/instances/${server.id}`,
      { body: server.createRegistration(overrides) },
    );
  }

  putConfig(body: string, controlIndex = 0): Promise<ReceivedResponse> {
    return sendHttpRequest(
      this.controlAddresses[controlIndex] ?? "",
      "PUT",
      "/-/config",
      { body },
    );
  }

  /** Sends one request of a caller to a gateway. */
  sendRequest(
    id: string,
    target: string,
    options: {
      body?: string;
      gatewayIndex?: number;
      signal?: AbortSignal;
      headers?: Record<string, string>;
      onData?: (text: string) => void;
    } = {},
  ): Promise<ReceivedResponse> {
    return sendHttpRequest(
      this.gatewayAddresses[options.gatewayIndex ?? 0] ?? "",
      "POST",
      target,
      {
        headers: {
          Host: "a.example",
          "X-Request-Id": id,
          "X-Deadline-Ms": "2500",
          ...options.headers,
        },
        body: options.body ?? `body of ${id}`,
        signal: options.signal,
        onData: options.onData,
      },
    );
  }

  /** Sends a request about a job to a gateway. */
  sendJobRequest(
    method: string,
    target: string,
    gatewayIndex = 0,
  ): Promise<ReceivedResponse> {
    return sendHttpRequest(
      this.gatewayAddresses[gatewayIndex] ?? "",
      method,
      target,
      {
        headers: { Host: "a.example", "X-Wait-Ms": "1000" },
      },
    );
  }

  /** Returns the requests with an id that any server received. */
  getReceivedRequests(id: string) {
    return this.servers.flatMap((server) =>
      server.receivedRequests.filter((request) => request.id === id)
    );
  }

  async waitUntil(
    description: string,
    condition: () => boolean | Promise<boolean>,
  ): Promise<void> {
    for (let poll = 0; poll < 1_500; poll += 1) {
      if (await condition()) return;
      await this.clock.delay(20);
    }
    throw new Error(`timed out waiting for ${description}`);
  }

  async close(): Promise<void> {
    this.gateways.forEach((gateway) => gateway.halt());
    this.servers.forEach((server) => server.close());
    this.#controlFronts.forEach((front) => front.close());
    await Promise.all(
      [...this.stores, ...this.controls].map((host) => host.stop()),
    );
    await rm(this.#folder, { recursive: true, force: true });
  }

  #createSettings(values: Record<string, unknown>): FleetSettings {
    return createSettings(FleetSettingsSchema, {
      data_centre: "dc-1",
      ip: "127.0.0.1",
      seeds: this.#seeds,
      first_start: true,
      beat_ms: this.#beatMs,
      ...this.#settings,
      ...values,
    });
  }

  #createContext(name: string) {
    return createProcessContext({ name, log: this.log });
  }

  async #startControl(
    index: number,
    port: number,
    frontPort: number,
  ): Promise<void> {
    const id = `control-${index}`;
    const settings = this.#createSettings({
      id,
      role: "control",
      peer_port: port,
      data_folder: path.join(this.#folder, id),
    });
    const host = new ControlHost(settings, this.#createContext(id), {
      ...this.#maxStreamMs === undefined
        ? {}
        : { maxStreamMs: this.#maxStreamMs },
    });
    this.#hostNames.set(`127.0.0.1:${port}`, id);
    this.controls[index] = host;
    const front = new ControlHttpServer(host, {
      log: this.log,
      clock: new SystemClock(),
    });
    this.#controlFronts.push(front);
    this.controlAddresses[index] = `127.0.0.1:${frontPort}`;
    await host.start();
    await front.listen(`127.0.0.1:${frontPort}`);
  }

  async #startStore(index: number, port: number): Promise<void> {
    const id = `store-${index}`;
    const settings = this.#createSettings({
      id,
      role: "store",
      peer_port: port,
      data_folder: path.join(this.#folder, id),
    });
    const host = new StoreHost(settings, this.#createContext(id), DIALECTS);
    this.#hostNames.set(`127.0.0.1:${port}`, id);
    this.stores[index] = host;
    await host.start();
  }

  async #startGateway(index: number, ports: number[]): Promise<void> {
    const id = `gateway-${index}`;
    const [peer, listen, ready] = ports;
    const settings = this.#createSettings({
      id,
      role: "gateway",
      peer_port: peer,
      listen: `127.0.0.1:${listen}`,
      ready_listen: `127.0.0.1:${ready}`,
      ...this.#gatewaySettings,
    });
    const context = createProcessContext({
      name: id,
      log: this.log,
      isPartitioned: (address) =>
        this.cutOffGateways.has(index) &&
          this.servers.some((server) => server.address === address) ||
        this.isolatedGateways.has(index) && this.#hostNames.has(address) ||
        this.cutLinks.has(`${id}/${this.#hostNames.get(address)}`),
    });
    const host = new GatewayHost(settings, context, DIALECTS);
    this.gateways[index] = host;
    this.gatewayAddresses[index] = `127.0.0.1:${listen}`;
    this.#peerAddresses[index] = `127.0.0.1:${peer}`;
    this.readyAddresses[index] = `127.0.0.1:${ready}`;
    await host.start();
  }
}
