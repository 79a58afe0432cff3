/** The runs that one process has in progress, and their preemption. */
import {
  type BatchRun,
  countRunsToPreempt,
  isUrgent,
  isWithinMinimumStay,
  selectRunsToPreempt,
  type ServerCandidate,
} from "../policy/mod.ts";

/** Reasons for which a process stops a run of its own. */
export const StopReason = {
  /** An online request needs the slot. */
  gaveWay: "gave_way",
  /** The item is closed, or another process runs it now. */
  notOwned: "not_owned",
  /** The time slice of the run is over. */
  sliceOver: "slice_over",
  /** The server has been silent for too long. */
  silent: "silent",
  expired: "expired",
  hostStops: "host_stops",
} as const;
export type StopReason = typeof StopReason[keyof typeof StopReason];

/** An item that is running on a backend server. */
export interface ActiveRun extends BatchRun {
  readonly job: string;
  readonly server: string;
  /** Number of the run in the log of this process. */
  readonly number: number;
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

  stop(key: string, reason: StopReason): void {
    this.#runs.get(key)?.abortController.abort(reason);
  }

  stopAll(reason: StopReason): void {
    this.#runs.forEach((run) => run.abortController.abort(reason));
  }

  /** Stops the runs of all items except the given ones. */
  stopAllExcept(keys: ReadonlySet<string>): void {
    this.#runs.forEach((run, key) => {
      if (!keys.has(key)) run.abortController.abort(StopReason.notOwned);
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
    preempted.forEach(({ run }) =>
      run.abortController.abort(StopReason.gaveWay)
    );
    return preempted;
  }
}
