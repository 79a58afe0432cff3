/**
 * Starts of real processes on hosts where not everything is there yet. Guards
 * against a process that does not start because the one before still ends.
 */
import { existsSync } from "node:fs";
import { rm, writeFile } from "node:fs/promises";
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { expect } from "chai";
import { MessageCode } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import { openPort, START_LIMIT_MS } from "../sys/listening.ts";
import { MemoryLog } from "../sys/log.ts";
import { sendHttpRequest } from "./platform_fleet.ts";
import { HOST_IP, HostProcesses } from "./platform_process.ts";

/** Listens on a port in place of a process that still ends. */
function holdPort(port: number): Promise<() => void> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, HOST_IP, () => resolve(() => server.close()));
  });
}

function holdUdpPort(port: number): Promise<() => void> {
  const socket = createSocket("udp4");
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(port, HOST_IP, () => resolve(() => socket.close()));
  });
}

function createBusyError(reason: string): ServingError {
  return new ServingError(MessageCode.PORT_BUSY, {
    parameters: { address: "a:1", reason },
  });
}

describe("starts", () => {
  const hosts = new HostProcesses();
  let releases: (() => void)[] = [];

  beforeEach(() => hosts.open());

  afterEach(async () => {
    releases.forEach((release) => release());
    releases = [];
    await hosts.close();
  });

  for (const role of ["gateway", "control", "store"]) {
    // Guards against exit code 4 of a start whose ports are held for a while.
    it(`of a ${role} wait for their ports`, async () => {
      const settings = await hosts.createSettings(role);
      const { peer, listen, ready, metrics } = settings;
      const held = new Map([
        ["peer", await holdPort(peer)],
        ["udp", await holdUdpPort(peer)],
        ["listen", await holdPort(listen)],
        ["ready", await holdPort(ready)],
        ["metrics", await holdPort(metrics)],
      ]);
      releases = [...held.values()];
      const process = hosts.start(settings);
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
      const page = await sendHttpRequest(`${HOST_IP}:${metrics}`, "GET", "/");
      expect(page.status).equal(404);
    });
  }

  for (const role of ["control", "store"]) {
    // Guards against two processes that write to one data folder, when a start
    // begins while the process before still ends.
    it(`of a ${role} leave the data folder to the process before`, async () => {
      const settings = await hosts.createSettings(role);
      const release = await holdPort(settings.peer);
      releases = [release];
      const first = hosts.start(settings);
      await first.waitFor(/event=port_waits/);
      expect(existsSync(settings.dataFolder)).equal(false);
      release();
      releases = [];
      await first.waitFor(/event=ready/);
      const second = hosts.start(settings);
      await second.waitFor(/event=port_waits/);
      expect(first.isRunning).equal(true);
      first.kill("SIGKILL");
      await second.waitFor(/event=ready/);
    });
  }

  // Guards against exit code 4 of a start on a host whose disk is not there yet.
  it("of a store wait for their data folder", async () => {
    const settings = await hosts.createSettings("store");
    await writeFile(settings.dataFolder, "in place of a folder");
    const process = hosts.start(settings);
    await process.waitFor(/event=folder_waits .*cannot write/);
    await rm(settings.dataFolder);
    await process.waitFor(/event=folder_opened/);
    await process.waitFor(/event=ready/);
  });

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
      expect(ms).lessThan(START_LIMIT_MS + 1_000);
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
