/** Starts one process of the fleet and sends signals to it. */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
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
}

/** A process that can be stopped and started again. */
export class SoakProcess {
  readonly #options: SoakProcessOptions;
  #child: ChildProcess | undefined;
  #isStopping = false;
  #hasOutput = false;
  /** Exits that the soak did not cause, as exit codes or signal names. */
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
    const exited = once(child, "exit");
    child.kill(signal);
    await exited;
  }
}
