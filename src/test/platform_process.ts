/** Hosts of a fleet on the platform as processes of their own, on loopback. */
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { findFreePorts } from "../sys/ports.ts";
import { TestProcess } from "./daemon_process.ts";

const MAIN_PATH = fileURLToPath(
  new URL("../../platform/main.js", import.meta.url),
);

export const HOST_IP = "127.0.0.1";

/** How the platform starts each role. */
const SYSTEM_PATH = fileURLToPath(
  new URL("../../../deploy/system.toml", import.meta.url),
);

/** Returns the options of Node.js with which the platform starts a role. */
export async function readNodeOptions(role: string): Promise<string[]> {
  const system = parse(await readFile(SYSTEM_PATH, "utf8")) as {
    roles: Record<string, { run: string }>;
  };
  const words = system.roles[role]?.run.split(" ") ?? [];
  return words.filter((word) => word.startsWith("--"));
}

/** The settings file of a host, its data folder and its ports. */
export interface HostSettings {
  readonly role: string;
  readonly file: string;
  readonly text: string;
  readonly dataFolder: string;
  readonly peer: number;
  readonly listen: number;
  readonly ready: number;
  readonly metrics: number;
}

/** Starts hosts, and ends them and removes their folders after a test. */
export class HostProcesses {
  #folder = "";
  #processes: TestProcess[] = [];

  async open(): Promise<void> {
    this.#folder = await mkdtemp(path.join(tmpdir(), "papayatally-hosts-"));
  }

  async close(): Promise<void> {
    const running = this.#processes.filter((process) => process.isRunning);
    running.forEach((process) => {
      process.kill("SIGCONT");
      process.kill("SIGKILL");
    });
    await Promise.all(this.#processes.map((process) => process.ended));
    this.#processes = [];
    await rm(this.#folder, { recursive: true, force: true });
  }

  /**
   * Writes settings like those of deploy/, with the own address as seed unless
   * `seeds` are given. `overrides` are further settings.
   */
  async createSettings(
    role: string,
    seeds?: readonly string[],
    overrides: Readonly<Record<string, unknown>> = {},
  ): Promise<HostSettings> {
    const ports = await findFreePorts(4);
    const [peer = 0, listen = 0, ready = 0, metrics = 0] = ports;
    const dataFolder = path.join(this.#folder, `${role}-data`);
    const settings = {
      role,
      id: `${role}-1`,
      data_centre: "a",
      ip: HOST_IP,
      peer_port: peer,
      metrics_port: metrics,
      seeds: seeds ?? [`${HOST_IP}:${listen}`],
      first_start: true,
      ...role === "store" ? {} : { listen: `${HOST_IP}:${listen}` },
      ...role === "gateway"
        ? { ready_listen: `${HOST_IP}:${ready}` }
        : { data_folder: dataFolder },
      ...overrides,
    };
    const file = path.join(this.#folder, `${role}.conf`);
    const text = Object.entries(settings)
      .map(([name, value]) => `${name} = ${JSON.stringify(value)}\n`).join("");
    await writeFile(file, text);
    return { role, file, text, dataFolder, peer, listen, ready, metrics };
  }

  start(
    { file }: HostSettings,
    nodeOptions: readonly string[] = [],
  ): TestProcess {
    const process = new TestProcess([...nodeOptions, MAIN_PATH, file]);
    this.#processes.push(process);
    return process;
  }
}
