/**
 * A storm of starts: hosts of all roles are killed, stopped and started at random
 * moments, also beside a process that still runs or ends, and with settings that
 * are being written. Guards against processes that end by themselves.
 */
import { writeFile } from "node:fs/promises";
import { expect } from "chai";
import { SystemClock } from "../sys/clock.ts";
import { SeededRandom } from "../sys/random.ts";
import type { TestProcess } from "./daemon_process.ts";
import {
  HOST_IP,
  HostProcesses,
  type HostSettings,
} from "./platform_process.ts";

const SEED = 1;

/** Number of disturbances; each starts a process. */
const ROUNDS = 24;

/** Maximum pause within a disturbance, in milliseconds: the time of a start. */
const MAX_PAUSE_MS = 700;

/** Time of the test on a machine that is ten times as slow, in milliseconds. */
const TIMEOUT_MS = 180_000;

interface Started {
  readonly process: TestProcess;
  /** Whether a signal was sent that ends it. */
  isToEnd: boolean;
}

/** A host, whose last process is the one that is to run. */
interface Host {
  readonly settings: HostSettings;
  readonly started: Started[];
}

describe("a storm of starts", () => {
  const hosts = new HostProcesses();
  const clock = new SystemClock();
  const random = new SeededRandom(SEED);

  const pause = (maxMs = MAX_PAUSE_MS) =>
    clock.delay(random.getFraction() * maxMs);

  function start({ settings, started }: Host): void {
    started.push({ process: hosts.start(settings), isToEnd: false });
  }

  function end(started: Started | undefined, signal: NodeJS.Signals): void {
    if (started === undefined) return;
    started.isToEnd = true;
    started.process.kill(signal);
  }

  /** Writes the settings as a program does that is slow and not atomic. */
  async function rewriteSettings({ settings }: Host): Promise<void> {
    const { file, text } = settings;
    await writeFile(file, "");
    await pause(100);
    await writeFile(
      file,
      text.slice(0, Math.floor(random.getFraction() * text.length)),
    );
    await pause(50);
    await writeFile(file, text);
  }

  const DISTURBANCES: ((host: Host) => Promise<void>)[] = [
    // A kill, and the next start.
    async (host) => {
      end(host.started.at(-1), "SIGKILL");
      start(host);
      await pause();
    },
    // A stop, and a start beside the process that ends.
    async (host) => {
      end(host.started.at(-1), "SIGTERM");
      await pause(100);
      start(host);
      await pause();
    },
    // A stop that is cut short.
    async (host) => {
      const last = host.started.at(-1);
      end(last, "SIGTERM");
      await pause();
      end(last, "SIGKILL");
      start(host);
    },
    // A start beside a process that runs, while the settings are written.
    async (host) => {
      const last = host.started.at(-1);
      const written = rewriteSettings(host);
      start(host);
      await pause();
      end(last, "SIGKILL");
      await written;
    },
    // A stop while the process starts.
    async (host) => {
      end(host.started.at(-1), "SIGKILL");
      start(host);
      await pause();
      end(host.started.at(-1), "SIGTERM");
      start(host);
    },
  ];

  before(() => hosts.open());
  after(() => hosts.close());

  it("ends no process that was not to end, and all hosts start in the end", async () => {
    const control = await hosts.createSettings("control");
    const seeds = [`${HOST_IP}:${control.listen}`];
    const all: Host[] = [
      { settings: control, started: [] },
      { settings: await hosts.createSettings("store", seeds), started: [] },
      { settings: await hosts.createSettings("gateway", seeds), started: [] },
    ];
    all.forEach(start);
    for (let round = 0; round < ROUNDS; round += 1) {
      const host = all[random.getIntegerBelow(all.length)] as Host;
      const disturb = DISTURBANCES[random.getIntegerBelow(DISTURBANCES.length)];
      await disturb?.(host);
    }
    for (const { started } of all) {
      await started.at(-1)?.process.waitFor(/event=ready/);
    }
    const processes = all.flatMap(({ settings, started }) =>
      started.map((entry) => ({ ...entry, role: settings.role }))
    );
    for (const { process, isToEnd, role } of processes) {
      if (!isToEnd) {
        expect(process.isRunning, `${role}: ${process.output}`).equal(true);
        continue;
      }
      const { code, signal } = await process.ended;
      // A signal that comes while the runtime itself starts has no handler yet.
      expect(code === 0 || signal !== null, `${role}: ${process.output}`)
        .equal(true);
    }
  }).timeout(TIMEOUT_MS);
});
