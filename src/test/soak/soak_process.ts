/** One real process of the fleet, under signals from outside. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { once } from "node:events";

/** None outlives the soak, even when that is interrupted. */
const RUNNING_CHILDREN = new Set<ChildProcess>();
process.once(
  "exit",
  () => RUNNING_CHILDREN.forEach((child) => child.kill("SIGKILL")),
);

/** How a {@linkcode SoakProcess} is made. */
export interface SoakProcessOptions {
  readonly name: string;
  readonly program: string;
  readonly settingsPath: string;
  readonly logPath: string;
}

/** The process, through all its starts. */
export class SoakProcess {
  readonly #options: SoakProcessOptions;
  #child: ChildProcess | undefined;
  #isStopping = false;
  #hasOutput = false;
  /** Ends that nobody asked for, as exit codes or signals. */
  readonly unexpectedExits: string[] = [];

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
    const { program, settingsPath, logPath } = this.#options;
    const log = createWriteStream(logPath, { flags: "a" });
    const child = spawn(process.execPath, [program, settingsPath], {
      stdio: ["ignore", "pipe", "pipe"],
    });
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
      log.end();
      if (this.#child === child) this.#child = undefined;
      if (!this.#isStopping) this.unexpectedExits.push(String(code ?? signal));
    });
  }

  /**
   * Sends a signal that doesn't end it. No program can take SIGHUP before the
   * runtime has loaded it, so that waits for the first line.
   */
  signal(signal: "SIGSTOP" | "SIGCONT" | "SIGHUP"): void {
    if (signal === "SIGHUP" && !this.#hasOutput) return;
    this.#child?.kill(signal);
  }

  /** Ends it and waits until it has ended. */
  async end(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    const child = this.#child;
    if (child === undefined) return;
    this.#isStopping = true;
    const exited = once(child, "exit");
    child.kill(signal);
    await exited;
  }
}
