/** The items that one process has at backend servers, and who leaves them. */
import {
  type BatchRun,
  countRunsToPreempt,
  isUrgent,
  selectRunsToPreempt,
  type ServerCandidate,
} from "../policy/mod.ts";

/** An item at a server. */
export interface ItemRun extends BatchRun {
  readonly job: string;
  readonly server: string;
  readonly stop: AbortController;
}

/** The runs of one process, by the items' keys. */
export class ItemRuns {
  readonly #rows = new Map<string, ItemRun>();

  get size(): number {
    return this.#rows.size;
  }

  has(key: string): boolean {
    return this.#rows.has(key);
  }

  add(key: string, run: ItemRun): void {
    this.#rows.set(key, run);
  }

  delete(key: string): void {
    this.#rows.delete(key);
  }

  stop(key: string): void {
    this.#rows.get(key)?.stop.abort();
  }

  stopAll(): void {
    this.#rows.forEach((run) => run.stop.abort());
  }

  /** Stops items that are open no more. */
  keepOnly(open: ReadonlySet<string>): void {
    this.#rows.forEach((run, key) => {
      if (!open.has(key)) run.stop.abort();
    });
  }

  /** Stops what has to make room for online requests; returns it. */
  giveWay<S extends ServerCandidate>(
    servers: readonly S[],
    wallMs: number,
  ): { run: ItemRun; server: S }[] {
    const byServer = new Map<string, ItemRun[]>();
    this.#rows.forEach((run) => {
      if (run.stop.signal.aborted) return;
      byServer.set(run.server, [...byServer.get(run.server) ?? [], run]);
    });
    const leaving = servers.flatMap((server) => {
      const runs = byServer.get(server.id) ?? [];
      const urgent = runs.filter((run) => isUrgent(run, wallMs)).length;
      const patient = runs.length - urgent;
      const count = countRunsToPreempt(server, { nonUrgent: patient, urgent });
      return selectRunsToPreempt(runs, count, wallMs)
        .map((run) => ({ run, server }));
    });
    leaving.forEach(({ run }) => run.stop.abort());
    return leaving;
  }
}
