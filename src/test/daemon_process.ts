/** Runs a daemon whose host is a few lines of a test, as a process of its own. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";

const SOURCE_URL = new URL("../", import.meta.url).href;

/** Settings of a daemon of a test; the last line is needed. */
export const SETTINGS = `
role = "gateway"
id = "host-1"
data_centre = "a"
ip = "127.0.0.1"
peer_port = 1
seeds = ["127.0.0.1:4"]
listen = "127.0.0.1:2"
ready_listen = "127.0.0.1:3"
`;

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: string | null;
}

/** A process and what it wrote. */
export class TestProcess {
  readonly child: ChildProcess;
  readonly ended: Promise<ProcessEnd>;
  output = "";

  constructor(args: readonly string[]) {
    this.child = spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const collect = (text: Buffer) => {
      this.output += text;
    };
    this.child.stdout?.on("data", collect);
    this.child.stderr?.on("data", collect);
    this.ended = new Promise((resolve) =>
      this.child.on("close", (code, signal) => resolve({ code, signal }))
    );
  }

  /** Whether the process has not ended. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Waits until the output matches; fails if the process ends before. */
  async waitFor(pattern: RegExp): Promise<void> {
    const ended = this.ended.then((end) => {
      if (pattern.test(this.output)) return;
      throw new Error(
        `ended with ${JSON.stringify(end)} before ${pattern}:\n${this.output}`,
      );
    });
    while (!pattern.test(this.output)) {
      await Promise.race([
        ended,
        new Promise((resolve) => setTimeout(resolve, 10)),
      ]);
    }
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }
}

/** A daemon with a host of a test. */
export interface TestDaemon {
  readonly process: TestProcess;
  readonly settingsPath: string;
  close(): Promise<void>;
}

/**
 * Starts a daemon. `host` is the source of an object literal that implements
 * DaemonHost; `context` is in scope.
 */
export async function startDaemon(
  host: string,
  options: { settings?: string } = {},
): Promise<TestDaemon> {
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-daemon-"));
  const settingsPath = path.join(folder, "settings.toml");
  const scriptPath = path.join(folder, "main.mjs");
  const settings = options.settings ?? SETTINGS;
  if (settings !== "") await writeFile(settingsPath, settings);
  await writeFile(
    scriptPath,
    `import "${SOURCE_URL}daemons/early_signals.js";
    const { runDaemon } = await import("${SOURCE_URL}daemons/daemon.js");
    const { FleetSettingsSchema } = await import("${SOURCE_URL}schema/mod.js");
    const { findMissingKeys } = await import("${SOURCE_URL}fleet/mod.js");
    await runDaemon({
      name: "test",
      description: "",
      schema: FleetSettingsSchema,
      findMissingKeys,
      createHost: (settings, context) => (${host}),
    });`,
  );
  const daemon = new TestProcess([scriptPath, settingsPath]);
  return {
    process: daemon,
    settingsPath,
    close: async () => {
      if (daemon.isRunning) daemon.kill("SIGKILL");
      await daemon.ended;
      await rm(folder, { recursive: true, force: true });
    },
  };
}
