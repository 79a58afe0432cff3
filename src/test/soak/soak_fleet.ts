/**
 * The fleet of a soak run: real processes, each on a loopback address of its
 * own. Hosts reach each other and the backend servers only through the link in
 * front of each; callers and operators connect to hosts directly.
 */
import { mkdir, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts } from "../../sys/ports.ts";
import { Framing, PlatformServer } from "../platform_server.ts";
import { type Fault, type FaultTargets, LinkMode } from "./fault_plan.ts";
import { LinkProxy } from "./link_proxy.ts";
import { SoakProcess } from "./soak_process.ts";

/** Numbers of hosts by role, and of backend servers. */
export interface SoakFleetSize {
  readonly controls: number;
  readonly stores: number;
  readonly gateways: number;
  readonly servers: number;
}

/** The default size. One control host and one store host are spares. */
export const DEFAULT_SIZE: SoakFleetSize = {
  controls: 4,
  stores: 4,
  gateways: 3,
  servers: 6,
};

/** Value of the setting `beat_ms`: time between registrations of a server. */
const HEARTBEAT_MS = 500;

/**
 * Options of each role's processes, as in deploy/system.toml, and the limit of their
 * resident memory, in MB.
 */
const MEMORY_LIMITS = {
  control: { options: ["--max-old-space-size=160"], residentMb: 346 },
  store: {
    options: ["--max-old-space-size=120", "--max-semi-space-size=4"],
    residentMb: 220,
  },
  gateway: { options: ["--max-old-space-size=90"], residentMb: 200 },
};

type Role = keyof typeof MEMORY_LIMITS;

const PROGRAM_PATH = fileURLToPath(
  new URL("../../../platform/main.js", import.meta.url),
);

/** One host: its process, the link in front of it, its folder and address. */
interface SoakHost {
  readonly role: Role;
  readonly process: SoakProcess;
  readonly link: LinkProxy;
  readonly settingsPath: string;
  readonly logPath: string;
  readonly dataFolder: string;
  /** HTTP address for callers or operators. */
  readonly address: string;
}

/** Starts and stops the fleet, and injects faults into it. */
export class SoakFleet {
  readonly #size: SoakFleetSize;
  readonly #settings: Readonly<Record<string, unknown>>;
  readonly #hosts = new Map<string, SoakHost>();
  readonly #serverLinks = new Map<string, LinkProxy>();
  readonly servers: PlatformServer[] = [];
  folder = "";
  #ports = { peer: 0, http: 0, ready: 0 };

  /** `settings` are further settings of all hosts. */
  constructor(
    size: SoakFleetSize = DEFAULT_SIZE,
    settings: Readonly<Record<string, unknown>> = {},
  ) {
    this.#size = size;
    this.#settings = settings;
  }

  get targets(): FaultTargets {
    return {
      controls: this.#getHostNames("control"),
      stores: this.#getHostNames("store"),
      gateways: this.#getHostNames("gateway"),
      servers: this.servers.map((server) => server.id),
    };
  }

  get processes(): SoakProcess[] {
    return [...this.#hosts.values()].map((host) => host.process);
  }

  /** Describes each process that held more memory than its host has. */
  getMemoryViolations(): string[] {
    return [...this.#hosts.values()]
      .filter(({ role, process }) =>
        process.peakResidentMb > MEMORY_LIMITS[role].residentMb
      )
      .map(({ role, process: { name, peakResidentMb } }) =>
        `${name} held ${peakResidentMb} MB, over ${
          MEMORY_LIMITS[role].residentMb
        }`
      );
  }

  getAddress(name: string): string {
    return this.#getHost(name).address;
  }

  /** Reads the lines that all starts of a host have logged. */
  async readLog(name: string): Promise<string[]> {
    return (await readFile(this.#getHost(name).logPath, "utf8")).split("\n");
  }

  async start(): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), "papayatally-soak-"));
    const [peer = 0, http = 0, ready = 0] = await findFreePorts(3);
    this.#ports = { peer, http, ready };
    const { controls, stores, gateways } = this.#size;
    const counts: [Role, number][] = [
      ["control", controls],
      ["store", stores],
      ["gateway", gateways],
    ];
    let hostNumber = 0;
    for (const [role, count] of counts) {
      for (let index = 0; index < count; index += 1) {
        hostNumber += 1;
        await this.#addHost(role, `${role}-${index + 1}`, hostNumber);
      }
    }
    for (let index = 1; index <= this.#size.servers; index += 1) {
      await this.#addServer(index);
    }
    this.processes.forEach((process) => process.start());
  }

  /** Has two thirds of the servers frame their answers by a length or not at all. */
  varyFramings(): void {
    const framings = Object.values(Framing);
    this.servers.forEach((server, index) => {
      server.framing = framings[index % framings.length] ?? Framing.chunks;
    });
  }

  /** Starts a fault, and returns a function that ends it. */
  startFault(fault: Fault): () => Promise<void> {
    if (fault.kind === "link") return this.#startLinkFault(fault);
    const { process, dataFolder, settingsPath } = this.#getHost(fault.target);
    switch (fault.kind) {
      case "pause":
        process.signal("SIGSTOP");
        return () => {
          process.signal("SIGCONT");
          return Promise.resolve();
        };
      case "reload":
        process.signal("SIGHUP");
        return () => Promise.resolve();
      case "stop":
      case "kill":
      case "wipe": {
        // A process under SIGSTOP handles SIGTERM only after SIGCONT.
        process.signal("SIGCONT");
        const exited = process.end(
          fault.kind === "stop" ? "SIGTERM" : "SIGKILL",
        );
        return async () => {
          await exited;
          if (fault.kind === "wipe") {
            await emptyFolder(dataFolder);
            await endFirstStart(settingsPath);
          }
          if (!process.isRunning) process.start();
        };
      }
    }
  }

  /** Restores all links and continues all paused processes. */
  clearFaults(): void {
    [...this.#hosts.values()].forEach(({ link, process }) => {
      link.setMode(LinkMode.pass);
      process.signal("SIGCONT");
    });
    this.#serverLinks.forEach((link) => link.setMode(LinkMode.pass));
  }

  /** Kills all processes at once, then restarts them. */
  async restartAll(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.end("SIGKILL")));
    this.processes.forEach((process) => process.start());
  }

  async close(options: { keepFolder: boolean }): Promise<void> {
    this.clearFaults();
    await Promise.all(this.processes.map((process) => process.end("SIGKILL")));
    this.#hosts.forEach(({ link }) => link.close());
    this.#serverLinks.forEach((link) => link.close());
    this.servers.forEach((server) => server.close());
    if (options.keepFolder) return;
    await rm(this.folder, { recursive: true, force: true });
  }

  #getHostNames(role: string): string[] {
    return [...this.#hosts.keys()].filter((name) => name.startsWith(role));
  }

  #getHost(name: string): SoakHost {
    const host = this.#hosts.get(name);
    if (host === undefined) throw new Error(`unknown soak host "${name}"`);
    return host;
  }

  #startLinkFault({ target, mode }: Fault): () => Promise<void> {
    const link = this.#serverLinks.get(target) ?? this.#getHost(target).link;
    link.setMode(mode);
    return () => {
      link.setMode(LinkMode.pass);
      return Promise.resolve();
    };
  }

  async #addHost(
    role: Role,
    name: string,
    hostNumber: number,
  ): Promise<void> {
    const { peer, http, ready } = this.#ports;
    const endpoints = {
      listenHost: `127.1.0.${hostNumber}`,
      targetHost: `127.2.0.${hostNumber}`,
      port: peer,
    };
    const link = new LinkProxy(endpoints);
    await link.start({ forwardsDatagrams: true });
    const hostFolder = path.join(this.folder, name);
    const address = `${endpoints.targetHost}:${http}`;
    const settings: Record<string, unknown> = {
      role,
      id: name,
      data_centre: `dc-${hostNumber % 3 + 1}`,
      ip: endpoints.listenHost,
      bind_ip: endpoints.targetHost,
      peer_port: peer,
      seeds: [1, 2, 3].map((seed) => `127.1.0.${seed}:${peer}`),
      first_start: true,
      beat_ms: HEARTBEAT_MS,
      grace_ms: 6_000,
      ...(role === "store" ? {} : { listen: address }),
      ...(role === "gateway"
        ? { ready_listen: `${endpoints.targetHost}:${ready}` }
        : { data_folder: path.join(hostFolder, "data") }),
      ...this.#settings,
    };
    await mkdir(path.join(hostFolder, "data"), { recursive: true });
    const settingsPath = path.join(hostFolder, "settings.toml");
    const lines = Object.entries(settings)
      .map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`);
    await writeFile(settingsPath, lines.join(""));
    const logPath = path.join(hostFolder, "log");
    const process = new SoakProcess({
      name,
      program: PROGRAM_PATH,
      settingsPath,
      logPath,
      options: MEMORY_LIMITS[role].options,
    });
    this.#hosts.set(name, {
      role,
      process,
      link,
      settingsPath,
      logPath,
      dataFolder: path.join(hostFolder, "data"),
      address,
    });
  }

  async #addServer(index: number): Promise<void> {
    const server = new PlatformServer(`server-${index}`, []);
    await server.start();
    const port = Number(server.address.split(":")[1]);
    const link = new LinkProxy({
      listenHost: `127.3.0.${index}`,
      targetHost: "127.0.0.1",
      port,
    });
    await link.start({ forwardsDatagrams: false });
    server.address = `127.3.0.${index}:${port}`;
    server.eventIntervalMs = 5 + 10 * index;
    server.version = index % 2 === 0 ? "v1" : "v2";
    server.marksEvents = true;
    this.servers.push(server);
    this.#serverLinks.set(server.id, link);
  }
}

/** The platform starts a host with an empty disk as one that forms no group. */
async function endFirstStart(settingsPath: string): Promise<void> {
  const settings = await readFile(settingsPath, "utf8");
  await writeFile(
    settingsPath,
    settings.replace("first_start = true", "first_start = false"),
  );
}

async function emptyFolder(folder: string): Promise<void> {
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
}
