/**
 * The fleet of a soak: real processes on loopback addresses of their own.
 * Others reach each of them only through its link, and backend servers too.
 */
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts } from "../../sys/ports.ts";
import { PlatformServer } from "../platform_server.ts";
import { type Fault, type FaultTargets, LinkMode } from "./fault_plan.ts";
import { LinkProxy } from "./link_proxy.ts";
import { SoakProcess } from "./soak_process.ts";

/** Processes and servers of a soak. */
export interface SoakSize {
  readonly controls: number;
  readonly stores: number;
  readonly gateways: number;
  readonly servers: number;
}

/** The usual size; one host of each group stands by. */
export const DEFAULT_SIZE: SoakSize = {
  controls: 4,
  stores: 4,
  gateways: 3,
  servers: 6,
};

/** Time between two registrations of a server, in milliseconds. */
const BEAT_MS = 500;

const PROGRAM = fileURLToPath(
  new URL("../../../platform/main.js", import.meta.url),
);

/** One host: its process, its link and its addresses. */
interface SoakHost {
  readonly process: SoakProcess;
  readonly link: LinkProxy;
  readonly folder: string;
  /** Address of its HTTP calls, for callers or operators. */
  readonly address: string;
}

/** The running fleet. */
export class SoakFleet {
  readonly #size: SoakSize;
  readonly #hosts = new Map<string, SoakHost>();
  readonly #serverLinks = new Map<string, LinkProxy>();
  readonly servers: PlatformServer[] = [];
  folder = "";
  #ports = { peer: 0, http: 0, ready: 0 };

  constructor(size: SoakSize = DEFAULT_SIZE) {
    this.#size = size;
  }

  get targets(): FaultTargets {
    return {
      controls: this.#getNames("control"),
      stores: this.#getNames("store"),
      gateways: this.#getNames("gateway"),
      servers: this.servers.map((server) => server.id),
    };
  }

  get processes(): SoakProcess[] {
    return [...this.#hosts.values()].map((host) => host.process);
  }

  getAddress(name: string): string {
    return this.#getHost(name).address;
  }

  async start(): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), "papayatally-soak-"));
    const [peer = 0, http = 0, ready = 0] = await findFreePorts(3);
    this.#ports = { peer, http, ready };
    const roles = {
      control: this.#size.controls,
      store: this.#size.stores,
      gateway: this.#size.gateways,
    };
    let number = 0;
    for (const [role, count] of Object.entries(roles)) {
      for (let index = 0; index < count; index += 1) {
        number += 1;
        await this.#addHost(role, `${role}-${index + 1}`, number);
      }
    }
    for (let index = 1; index <= this.#size.servers; index += 1) {
      await this.#addServer(index);
    }
    this.processes.forEach((process) => process.start());
  }

  /** Begins a fault; the result ends it. */
  begin(fault: Fault): () => Promise<void> {
    if (fault.kind === "link") return this.#disturbLink(fault);
    const { process, folder } = this.#getHost(fault.target);
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
        // A paused process would never see the signal to stop.
        process.signal("SIGCONT");
        const ended = process.end(
          fault.kind === "stop" ? "SIGTERM" : "SIGKILL",
        );
        return async () => {
          await ended;
          if (fault.kind === "wipe") await emptyFolder(folder);
          if (!process.isRunning) process.start();
        };
      }
    }
  }

  /** Ends all disturbances. */
  heal(): void {
    [...this.#hosts.values()].forEach(({ link, process }) => {
      link.setMode(LinkMode.pass);
      process.signal("SIGCONT");
    });
    this.#serverLinks.forEach((link) => link.setMode(LinkMode.pass));
  }

  /** Kills all processes at once and starts them again. */
  async restartAll(): Promise<void> {
    await Promise.all(this.processes.map((one) => one.end("SIGKILL")));
    this.processes.forEach((one) => one.start());
  }

  async close(options: { keepFolder: boolean }): Promise<void> {
    this.heal();
    await Promise.all(this.processes.map((one) => one.end("SIGKILL")));
    this.#hosts.forEach(({ link }) => link.close());
    this.#serverLinks.forEach((link) => link.close());
    this.servers.forEach((server) => server.close());
    if (options.keepFolder) return;
    await rm(this.folder, { recursive: true, force: true });
  }

  #getNames(role: string): string[] {
    return [...this.#hosts.keys()].filter((name) => name.startsWith(role));
  }

  #getHost(name: string): SoakHost {
    const host = this.#hosts.get(name);
    if (host === undefined) throw new Error(`no host "${name}"`);
    return host;
  }

  #disturbLink({ target, mode }: Fault): () => Promise<void> {
    const link = this.#serverLinks.get(target) ?? this.#getHost(target).link;
    link.setMode(mode);
    return () => {
      link.setMode(LinkMode.pass);
      return Promise.resolve();
    };
  }

  async #addHost(role: string, name: string, number: number): Promise<void> {
    const { peer, http, ready } = this.#ports;
    const ends = {
      fromHost: `127.1.0.${number}`,
      toHost: `127.2.0.${number}`,
      port: peer,
    };
    const link = new LinkProxy(ends);
    await link.start({ datagrams: true });
    const folder = path.join(this.folder, name);
    const address = `${ends.toHost}:${http}`;
    const settings: Record<string, unknown> = {
      role,
      id: name,
      data_centre: `dc-${number % 3 + 1}`,
      ip: ends.fromHost,
      bind_ip: ends.toHost,
      peer_port: peer,
      seeds: [1, 2, 3].map((seed) => `127.1.0.${seed}:${peer}`),
      first_start: true,
      beat_ms: BEAT_MS,
      grace_ms: 6_000,
      ...(role === "store" ? {} : { listen: address }),
      ...(role === "gateway"
        ? { ready_listen: `${ends.toHost}:${ready}` }
        : { data_folder: path.join(folder, "data") }),
    };
    await mkdir(path.join(folder, "data"), { recursive: true });
    const settingsPath = path.join(folder, "settings.toml");
    const lines = Object.entries(settings)
      .map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`);
    await writeFile(settingsPath, lines.join(""));
    const process = new SoakProcess({
      name,
      program: PROGRAM,
      settingsPath,
      logPath: path.join(folder, "log"),
    });
    this.#hosts.set(name, {
      process,
      link,
      folder: path.join(folder, "data"),
      address,
    });
  }

  async #addServer(index: number): Promise<void> {
    const server = new PlatformServer(`server-${index}`, []);
    await server.start();
    const port = Number(server.address.split(":")[1]);
    const link = new LinkProxy({
      fromHost: `127.3.0.${index}`,
      toHost: "127.0.0.1",
      port,
    });
    await link.start({ datagrams: false });
    server.address = `127.3.0.${index}:${port}`;
    server.gapMs = 5 + 10 * index;
    this.servers.push(server);
    this.#serverLinks.set(server.id, link);
  }
}

async function emptyFolder(folder: string): Promise<void> {
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
}
