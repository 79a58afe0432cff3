/** The runs that one process has in progress, and their preemption. */
import {
  type BatchRun,
  countRunsToPreempt,
  isUrgent,
  isWithinMinimumStay,
  selectRunsToPreempt,
  type ServerCandidate,
} from "../policy/mod.ts";

/** An item that is running on a backend server. */
export interface ActiveRun extends BatchRun {
  readonly job: string;
  readonly server: string;
  readonly abortController: AbortController;
}

/** Runs in progress, by the key of their item. */
export class ActiveRuns {
  readonly #runs = new Map<string, ActiveRun>();

  get size(): number {
    return this.#runs.size;
  }

  has(key: string): boolean {
    return this.#runs.has(key);
  }

  add(key: string, run: ActiveRun): void {
    this.#runs.set(key, run);
  }

  delete(key: string): void {
    this.#runs.delete(key);
  }

  stop(key: string): void {
    this.#runs.get(key)?.abortController.abort();
  }

  stopAll(): void {
    this.#runs.forEach((run) => run.abortController.abort());
  }

  /** Stops the runs of all items except the given ones. */
  stopAllExcept(keys: ReadonlySet<string>): void {
    this.#runs.forEach((run, key) => {
      if (!keys.has(key)) run.abortController.abort();
    });
  }

  /** Stops runs to free slots for online requests, and returns them. */
  preempt<S extends ServerCandidate>(
    servers: readonly S[],
    wallMs: number,
    nowMs = Infinity,
  ): { run: ActiveRun; server: S }[] {
    const byServer = new Map<string, ActiveRun[]>();
    this.#runs.forEach((run) => {
      if (run.abortController.signal.aborted) return;
      byServer.set(run.server, [...byServer.get(run.server) ?? [], run]);
    });
    const preempted = servers.flatMap((server) => {
      const runs = byServer.get(server.id) ?? [];
      const urgent = runs.filter((run) => isUrgent(run, wallMs)).length;
      const deferrable = runs.length - urgent;
      const count = countRunsToPreempt(server, {
        nonUrgent: deferrable,
        urgent,
      });
      const isBlocking = server.busy > server.slots;
      const preemptible = isBlocking
        ? runs
        : runs.filter((run) => !isWithinMinimumStay(server, run, nowMs));
      return selectRunsToPreempt(preemptible, count, wallMs)
        .map((run) => ({ run, server }));
    });
    preempted.forEach(({ run }) => run.abortController.abort());
    return preempted;
  }
}
