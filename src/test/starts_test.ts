/**
 * Starts of real processes on hosts where not everything is there yet. Guards
 * against a process that does not start because the one before still ends.
 */
import { existsSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { expect } from "chai";
import { MessageCode } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import { LISTEN_LIMIT_MS, openPort } from "../sys/listening.ts";
import { MemoryLog } from "../sys/log.ts";
import { findFreePorts } from "../sys/ports.ts";
import { TestProcess } from "./daemon_process.ts";
import { sendHttpRequest } from "./platform_fleet.ts";

const MAIN_PATH = fileURLToPath(
  new URL("../../platform/main.js", import.meta.url),
);

const HOST = "127.0.0.1";

/** Listens on a port in place of a process that still ends. */
function holdPort(port: number): Promise<() => void> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, HOST, () => resolve(() => server.close()));
  });
}

function holdUdpPort(port: number): Promise<() => void> {
  const socket = createSocket("udp4");
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(port, HOST, () => resolve(() => socket.close()));
  });
}

function createBusyError(reason: string): ServingError {
  return new ServingError(MessageCode.PORT_BUSY, {
    parameters: { address: "a:1", reason },
  });
}

describe("starts", () => {
  let folder = "";
  let processes: TestProcess[] = [];
  let releases: (() => void)[] = [];

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), "papayatally-starts-"));
  });

  afterEach(async () => {
    processes.filter((process) => process.isRunning)
      .forEach((process) => process.kill("SIGKILL"));
    await Promise.all(processes.map((process) => process.ended));
    processes = [];
    releases.forEach((release) => release());
    releases = [];
    await rm(folder, { recursive: true, force: true });
  });

  /** Writes settings like those of deploy/; returns them and their file. */
  async function createSettings(role: string) {
    const [peer = 0, listen = 0, ready = 0, metrics = 0] = await findFreePorts(
      4,
    );
    const dataFolder = path.join(folder, "data");
    const settings = {
      role,
      id: `${role}-1`,
      data_centre: "a",
      ip: HOST,
      peer_port: peer,
      metrics_port: metrics,
      seeds: [`${HOST}:${listen}`],
      first_start: true,
      ...role === "store" ? {} : { listen: `${HOST}:${listen}` },
      ...role === "gateway"
        ? { ready_listen: `${HOST}:${ready}` }
        : { data_folder: dataFolder },
    };
    const file = path.join(folder, `${role}.conf`);
    const lines = Object.entries(settings)
      .map(([name, value]) => `${name} = ${JSON.stringify(value)}\n`);
    await writeFile(file, lines.join(""));
    return { file, dataFolder, peer, listen, ready, metrics };
  }

  function start(file: string): TestProcess {
    const process = new TestProcess([MAIN_PATH, file]);
    processes.push(process);
    return process;
  }

  for (const role of ["gateway", "control", "store"]) {
    // Guards against exit code 4 of a start whose ports are held for a while.
    it(`of a ${role} wait for their ports`, async () => {
      const { file, peer, listen, ready, metrics } = await createSettings(role);
      const held = new Map([
        ["peer", await holdPort(peer)],
        ["udp", await holdUdpPort(peer)],
        ["listen", await holdPort(listen)],
        ["ready", await holdPort(ready)],
        ["metrics", await holdPort(metrics)],
      ]);
      releases = [...held.values()];
      const process = start(file);
      const order = {
        gateway: ["udp", "ready", "peer", "listen"],
        control: ["peer", "listen"],
        store: ["peer", "udp"],
      }[role] ?? [];
      // The page of metrics waits on its own, from the start on.
      for (const [index, name] of order.entries()) {
        const waits = new RegExp(`(event=port_waits[^]*){${index + 2}}`);
        await process.waitFor(waits);
        expect(process.output).not.match(/event=ready/);
        held.get(name)?.();
        held.delete(name);
      }
      // Guards against a host that does not serve for want of its metrics.
      await process.waitFor(/event=ready/);
      held.get("metrics")?.();
      held.delete("metrics");
      releases = [...held.values()];
      await process.waitFor(
        new RegExp(`(event=port_opened[^]*){${order.length + 1}}`),
      );
      const page = await sendHttpRequest(`${HOST}:${metrics}`, "GET", "/");
      expect(page.status).equal(404);
    });
  }

  for (const role of ["control", "store"]) {
    // Guards against two processes that write to one data folder, when a start
    // begins while the process before still ends.
    it(`of a ${role} leave the data folder to the process before`, async () => {
      const { file, dataFolder, peer } = await createSettings(role);
      const release = await holdPort(peer);
      releases = [release];
      const first = start(file);
      await first.waitFor(/event=port_waits/);
      expect(existsSync(dataFolder)).equal(false);
      release();
      releases = [];
      await first.waitFor(/event=ready/);
      const second = start(file);
      await second.waitFor(/event=port_waits/);
      expect(first.isRunning).equal(true);
      first.kill("SIGKILL");
      await second.waitFor(/event=ready/);
    });
  }

  it("wait for an address that is not there yet, but not for ever", async () => {
    const clock = new ManualClock();
    const log = new MemoryLog();
    let attempts = 0;
    const opened = openPort(() => {
      attempts += 1;
      return Promise.reject(createBusyError("listen EADDRNOTAVAIL: a:1"));
    }, { clock, log }).catch((error) => error);
    let outcome: unknown;
    opened.then((error) => outcome = error);
    for (let ms = 0; outcome === undefined; ms += 100) {
      expect(ms).lessThan(LISTEN_LIMIT_MS + 1_000);
      await new Promise((resolve) => setImmediate(resolve));
      clock.advance(100);
    }
    expect(outcome).instanceOf(ServingError);
    expect((outcome as ServingError).code).equal(MessageCode.PORT_BUSY);
    expect(attempts).greaterThan(100);
    expect(log.lines.length).greaterThan(1).and.lessThan(10);
  });

  it("don't wait for what does not pass", async () => {
    const error = createBusyError("listen EACCES: permission denied a:1");
    const opened = openPort(() => Promise.reject(error), {
      clock: new ManualClock(),
      log: new MemoryLog(),
    });
    expect(await opened.catch((thrown) => thrown)).equal(error);
  });
});
