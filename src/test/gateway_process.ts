/**
 * A gateway as a process of its own, in a fleet whose other hosts and servers run
 * in the process of the test.
 */
import type { TestProcess } from "./daemon_process.ts";
import {
  createConfig,
  PlatformFleet,
  sendHttpRequest,
} from "./platform_fleet.ts";
import {
  HOST_IP,
  HostProcesses,
  type HostSettings,
} from "./platform_process.ts";
import {
  type RawAnswer,
  type RawRequest,
  sendRawRequest,
} from "./raw_caller.ts";

/** Timeout of all routes and requests, in milliseconds. */
const TIMEOUT_MS = 20_000;

/** All hosts of a deployment have the same peer port, so it has its own address. */
const GATEWAY_IP = "127.0.0.2";

/** Servers register once, at the start of the fleet. */
const BEAT_MS = 60_000;

/** Slots of each server. */
const SLOTS = 64;

/** A configuration whose routes have a long timeout. */
function createPatientConfig(version: number, maxBodyBytes?: number): string {
  const config = JSON.parse(createConfig(version));
  config.Limits.MaxBodyBytes = maxBodyBytes ?? config.Limits.MaxBodyBytes;
  config.Routes.forEach((route: { TimeoutMs: number }) => {
    route.TimeoutMs = TIMEOUT_MS;
  });
  return JSON.stringify(config);
}

/** Starts the gateway and sends requests to it. */
export class GatewayProcess {
  readonly fleet = new PlatformFleet();
  readonly #hosts = new HostProcesses();
  #settings: HostSettings | undefined;
  #nodeOptions: readonly string[] = [];
  #sentCount = 0;

  async open(options: {
    servers: number;
    graceMs: number;
    nodeOptions?: readonly string[];
    /** Further settings of the gateway. */
    settings?: Readonly<Record<string, unknown>>;
    /** Limit of a body in the configuration, in bytes. */
    maxBodyBytes?: number;
  }): Promise<void> {
    this.#nodeOptions = options.nodeOptions ?? [];
    await this.#hosts.open();
    await this.fleet.start({ servers: options.servers, gateways: 1 });
    await this.fleet.putConfig(createPatientConfig(2, options.maxBodyBytes));
    await this.registerServers();
    const [seed = ""] = this.fleet.seeds;
    this.#settings = await this.#hosts.createSettings("gateway", [seed], {
      ip: GATEWAY_IP,
      peer_port: Number(seed.split(":")[1]),
      grace_ms: options.graceMs,
      beat_ms: BEAT_MS,
      ...options.settings,
    });
  }

  async close(): Promise<void> {
    await this.#hosts.close();
    await this.fleet.close();
  }

  /** Registers the servers again, for tests that last longer than a registration interval. */
  async registerServers(): Promise<void> {
    await Promise.all(
      this.fleet.servers.map((server) =>
        this.fleet.registerServer(server, { Slots: SLOTS })
      ),
    );
  }

  /** Starts the gateway and waits until it serves. */
  async start(): Promise<TestProcess> {
    if (this.#settings === undefined) throw new Error("not opened");
    const process = this.#hosts.start(this.#settings, this.#nodeOptions);
    await process.waitFor(/event=ready/);
    await this.fleet.waitUntil("the gateway to serve", async () => {
      const { status, isComplete } = await sendHttpRequest(
        this.address,
        "POST",
        "/p/",
        { headers: this.#createHeaders(this.createId()) },
      );
      return status === 200 && isComplete;
    });
    return process;
  }

  get address(): string {
    return `${HOST_IP}:${this.#settings?.listen}`;
  }

  get readyAddress(): string {
    return `${HOST_IP}:${this.#settings?.ready}`;
  }

  /** Returns an id that no other request has. */
  createId(): string {
    this.#sentCount += 1;
    return `request-${this.#sentCount}`;
  }

  /** Sends a request that a caller has with raw bytes. */
  send(
    id: string,
    request: Omit<RawRequest, "address">,
  ): Promise<RawAnswer> {
    return sendRawRequest({
      ...request,
      address: this.address,
      headers: { ...this.#createHeaders(id), ...request.headers },
    });
  }

  #createHeaders(id: string): Record<string, string> {
    return {
      "Host": "a.example",
      "X-Request-Id": id,
      "X-Deadline-Ms": String(TIMEOUT_MS),
    };
  }
}
