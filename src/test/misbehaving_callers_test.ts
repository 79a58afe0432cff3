/**
 * Callers that misbehave, at the ports of a gateway that is a process of its own
 * with the options of the platform. The process must live, stay within the memory
 * and the descriptors of its settings, and answer an ordinary request while such
 * callers keep their connections open. Nothing here depends on times.
 */
import { expect } from "chai";
import { Path } from "../../platform/wire_names.ts";
import type { TestProcess } from "./daemon_process.ts";
import { GatewayProcess } from "./gateway_process.ts";
import {
  BODY_BYTES,
  BULK_KINDS,
  type CallerKind,
  type CallerPath,
  countFiles,
  MisbehavingCallers,
  readPeakBytes,
  SLOW_KINDS,
} from "./misbehaving_callers.ts";
import { sendHttpRequest } from "./platform_fleet.ts";
import { readNodeOptions } from "./platform_process.ts";

/** Memory of the smallest gateway that the operators have, in megabytes. */
const MEMORY_MB = 178;

/** Lower than in any deployment, so that few callers reach it. */
const MAX_FILES = 400;

/** Their bodies together are larger than the memory. */
const BULK_CALLERS = 64;

/** More than there are descriptors. */
const SLOW_CALLERS = 450;

/** Time for which callers send, in milliseconds. */
const ATTACK_MS = 4_000;

/** Interval between reads of the descriptors, in milliseconds. */
const CHECK_MS = 200;

const GRACE_MS = 3_000;

/** Characters of the output that a failure shows. */
const OUTPUT_CHARS = 4_000;

/** Paths of a gateway, by kind. */
const TARGETS: Readonly<
  Record<string, { method: string; target: string; isReady?: boolean }>
> = {
  "a route": { method: "POST", target: "/p/x" },
  "no route": { method: "POST", target: "/none" },
  "the readiness port": {
    method: "POST",
    target: Path.ready,
    isReady: true,
  },
  "submissions of jobs": { method: "POST", target: "/b/x" },
  "reads of jobs": { method: "GET", target: `${Path.job}none` },
};

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("callers that misbehave at a gateway", () => {
  const gateway = new GatewayProcess();
  let process: TestProcess;
  let callers: MisbehavingCallers | undefined;

  before(async () => {
    await gateway.open({
      servers: 1,
      graceMs: GRACE_MS,
      nodeOptions: await readNodeOptions("gateway"),
      settings: { memory_mb: MEMORY_MB, max_files: MAX_FILES },
      maxBodyBytes: BODY_BYTES,
    });
  });

  after(() => gateway.close());

  beforeEach(async () => {
    await gateway.registerServers();
    process = await gateway.start();
  });

  afterEach(async () => {
    callers?.close();
    if (process.isRunning) process.kill("SIGKILL");
    await process.ended;
  });

  /** Expects the gateway to run; a failure shows what it wrote last. */
  function expectRunning(): void {
    const lastOutput = process.output.slice(-OUTPUT_CHARS);
    expect(process.isRunning, `the gateway runs:\n${lastOutput}`).equal(true);
  }

  /** Waits until an ordinary request is answered; a refusal is tried again. */
  async function waitForAnswer(): Promise<void> {
    const { status } = await sendHttpRequest(gateway.address, "POST", "/p/", {
      headers: {
        "Host": "a.example",
        "X-Request-Id": gateway.createId(),
        "X-Deadline-Ms": "5000",
      },
      body: "an ordinary request",
    });
    expectRunning();
    if (status === 200) return;
    await delay(CHECK_MS);
    await waitForAnswer();
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
    expectRunning();
    await waitForAnswer();
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
    Object.entries(TARGETS).forEach(([place, { method, target, isReady }]) => {
      it(`withstands ${name} at ${place}`, async () => {
        const address = isReady ? gateway.readyAddress : gateway.address;
        const path = { address, method, target, host: "a.example" };
        await check(kind, count, path);
      });
    });
  });
});
