/** Starts one process of the fleet and sends signals to it. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, readFileSync } from "node:fs";
import { once } from "node:events";

/** Running children; none may outlive the soak, even if it is interrupted. */
const RUNNING_CHILDREN = new Set<ChildProcess>();
process.once(
  "exit",
  () => RUNNING_CHILDREN.forEach((child) => child.kill("SIGKILL")),
);

/** Options of a {@linkcode SoakProcess}. */
export interface SoakProcessOptions {
  readonly name: string;
  readonly program: string;
  readonly settingsPath: string;
  readonly logPath: string;
  /** Options of the runtime. */
  readonly options: readonly string[];
}

/** Interval at which the memory of a process is read, in milliseconds. */
const MEMORY_INTERVAL_MS = 500;

const KB_PER_MB = 1_024;

/** A process that can be stopped and started again. */
export class SoakProcess {
  readonly #options: SoakProcessOptions;
  #child: ChildProcess | undefined;
  #isStopping = false;
  #hasOutput = false;
  /** Exits that the soak did not cause, as exit codes or signal names. */
  readonly unexpectedExits: string[] = [];
  /** Largest resident memory of any start of the process, in MB. */
  peakResidentMb = 0;

  constructor(options: SoakProcessOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  start(): void {
    const { program, settingsPath, logPath, options } = this.#options;
    const log = createWriteStream(logPath, { flags: "a" });
    const args = [...options, program, settingsPath];
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const memoryTimer = setInterval(
      () => this.#recordMemory(child),
      MEMORY_INTERVAL_MS,
    );
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#child = child;
    this.#isStopping = false;
    this.#hasOutput = false;
    child.stdout.once("data", () => {
      this.#hasOutput = true;
    });
    RUNNING_CHILDREN.add(child);
    child.on("exit", (code, signal) => {
      RUNNING_CHILDREN.delete(child);
      clearInterval(memoryTimer);
      log.end();
      if (this.#child === child) this.#child = undefined;
      if (!this.#isStopping) this.unexpectedExits.push(String(code ?? signal));
    });
  }

  /**
   * Sends a signal that doesn't terminate the process. SIGHUP is skipped until
   * the process has written its first output, since no program can handle it
   * before the runtime has loaded the program.
   */
  signal(signal: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
    if (signal === "SIGHUP" && !this.#hasOutput) return;
    this.#child?.kill(signal);
  }

  /** Terminates the process and waits until it has exited. */
  async end(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    this.#isStopping = true;
    this.#recordMemory(child);
    const exited = once(child, "exit");
    child.kill(signal);
    await exited;
  }

  #recordMemory({ pid }: ChildProcess): void {
    this.peakResidentMb = Math.max(
      this.peakResidentMb,
      readPeakResidentMb(pid),
    );
  }
}

/**
 * Largest resident memory of a running process, in MB; 0 if it has exited or the
 * system has no /proc.
 */
function readPeakResidentMb(pid: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const [, kb] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
    return Math.round(Number(kb ?? 0) / KB_PER_MB);
  } catch {
    return 0;
  }
}
