/**
 * Callers that misbehave, at the ports of a control host that is a process of its
 * own with the options of the platform. The process must live, stay within the
 * memory and the descriptors of its settings, and answer an ordinary request while
 * such callers keep their connections open. Nothing here depends on times.
 */
import { expect } from "chai";
import { Path } from "../../platform/wire_names.ts";
import type { TestProcess } from "./daemon_process.ts";
import {
  BULK_KINDS,
  type CallerKind,
  type CallerPath,
  countFiles,
  MisbehavingCallers,
  readPeakBytes,
  SLOW_KINDS,
} from "./misbehaving_callers.ts";
import { createConfig, sendHttpRequest } from "./platform_fleet.ts";
import {
  HOST_IP,
  HostProcesses,
  type HostSettings,
  readNodeOptions,
} from "./platform_process.ts";

/** Memory of a control host, in megabytes. */
const MEMORY_MB = 346;

/** Lower than in any deployment, so that few callers reach it. */
const MAX_FILES = 400;

/** Their bodies together are larger than the memory. */
const BULK_CALLERS = 100;

/** More than there are descriptors. */
const SLOW_CALLERS = 450;

/** Time for which callers send, in milliseconds. */
const ATTACK_MS = 4_000;

/** Interval between reads of the descriptors, in milliseconds. */
const CHECK_MS = 200;

/** Paths of a control host, by kind. */
const TARGETS: Readonly<
  Record<string, { method: string; target: string; isMetrics?: boolean }>
> = {
  "the configuration": { method: "PUT", target: Path.config },
  "a registration": { method: "PUT", target: `${Path.server}x` },
  "no path": { method: "POST", target: "/none" },
  "the metrics port": { method: "POST", target: "/metrics", isMetrics: true },
};

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("callers that misbehave at a control host", () => {
  const hosts = new HostProcesses();
  let settings: HostSettings;
  let nodeOptions: readonly string[];
  let process: TestProcess;
  let callers: MisbehavingCallers | undefined;

  beforeEach(async () => {
    await hosts.open();
    nodeOptions = await readNodeOptions("control");
    settings = await hosts.createSettings("control", undefined, {
      memory_mb: MEMORY_MB,
      max_files: MAX_FILES,
      lost_hosts: 0,
    });
    process = hosts.start(settings, nodeOptions);
    await waitForAnswer("PUT", createConfig(1));
  });

  afterEach(async () => {
    callers?.close();
    await hosts.close();
  });

  /** Waits until an ordinary request is answered; a refusal is tried again. */
  async function waitForAnswer(method: string, body?: string): Promise<void> {
    const address = `${HOST_IP}:${settings.listen}`;
    const { status } = await sendHttpRequest(address, method, Path.config, {
      body,
    });
    expect(process.isRunning, "the control host runs").equal(true);
    if (status === 200) return;
    await delay(CHECK_MS);
    await waitForAnswer(method, body);
  }

  async function check(
    kind: CallerKind,
    count: number,
    path: CallerPath,
  ): Promise<void> {
    const pid = process.child.pid ?? 0;
    callers = new MisbehavingCallers(count, kind, path);
    let peakFiles = 0;
    for (let ms = 0; ms < ATTACK_MS && process.isRunning; ms += CHECK_MS) {
      await delay(CHECK_MS);
      peakFiles = Math.max(peakFiles, await countFiles(pid).catch(() => 0));
    }
    callers.stopSending();
    expect(process.isRunning, "the control host runs").equal(true);
    await waitForAnswer("GET");
    const peakMb = await readPeakBytes(pid) / (1 << 20);
    expect(peakMb, "resident MB").below(MEMORY_MB);
    expect(peakFiles, "descriptors").below(MAX_FILES);
  }

  const kinds = [
    ...Object.entries(BULK_KINDS).map(([name, kind]) => ({
      name,
      kind,
      count: BULK_CALLERS,
    })),
    ...Object.entries(SLOW_KINDS).map(([name, kind]) => ({
      name,
      kind,
      count: SLOW_CALLERS,
    })),
  ];
  kinds.forEach(({ name, kind, count }) => {
    Object.entries(TARGETS).forEach(
      ([place, { method, target, isMetrics }]) => {
        it(`withstands ${name} at ${place}`, async () => {
          const port = isMetrics ? settings.metrics : settings.listen;
          const address = `${HOST_IP}:${port}`;
          await check(kind, count, { address, method, target, host: address });
        });
      },
    );
  });
});
