/**
 * Persists a control host's last view of the fleet. After a restart the host
 * serves routes, hosts and backend servers from the file until its group has a
 * leader and the servers have registered again. The saved state was in force at
 * an earlier time, so a follower that starts with it is at worst out of date.
 */
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { type FleetUpdate, FleetUpdateSchema } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason } from "../sys/errors.ts";
import type { Folder } from "../sys/files.ts";
import type { Log } from "../sys/log.ts";
import { removeUnencodableParts } from "./update_parts.ts";
import { logRejection } from "../sys/unexpected_errors.ts";

const FILE_NAME = "last-view";

/** Time for which changes are batched before a write, in milliseconds. */
const WRITE_DELAY_MS = 200;

/** Reads the file; undefined if it does not exist or cannot be decoded. */
export async function tryReadLastView(
  folder: Folder,
  log: Log,
): Promise<FleetUpdate | undefined> {
  const bytes = await folder.tryRead(FILE_NAME);
  if (bytes === undefined) return undefined;
  try {
    return fromBinary(FleetUpdateSchema, bytes);
  } catch (error) {
    log.warn("last_view_unreadable", { reason: getReason(error) });
    return undefined;
  }
}

/** Encodes a view; parts that cannot be encoded don't keep back the others. */
function encodeView(view: FleetUpdate, log: Log): Uint8Array {
  try {
    return toBinary(FleetUpdateSchema, view);
  } catch (error) {
    log.warn("last_view_incomplete", { reason: getReason(error) });
    const rest = removeUnencodableParts(
      view,
      (part, reason) =>
        log.warn("last_view_part_left_out", { ...part, reason }),
    );
    return toBinary(FleetUpdateSchema, rest);
  }
}

/** Writes the file after changes, one write at a time. */
export class LastViewWriter {
  readonly #options: {
    folder: Folder;
    clock: Clock;
    log: Log;
    getView: () => FleetUpdate;
  };
  #isDirty = false;
  #isClosed = false;
  /** Resolve the flushes that wait for the next write. */
  #flushes: (() => void)[] = [];
  /** Resolves when no write is in progress. */
  #written: Promise<void> | undefined;

  constructor(
    options: {
      folder: Folder;
      clock: Clock;
      log: Log;
      getView: () => FleetUpdate;
    },
  ) {
    this.#options = options;
  }

  /** Schedules a write of the current view. */
  scheduleWrite(): void {
    if (this.#isClosed) return;
    this.#isDirty = true;
    if (this.#written !== undefined) return;
    this.#written = this.#writeWhileDirty().finally(() => {
      this.#written = undefined;
    });
    logRejection(this.#written, this.#options.log, "write of the last view");
  }

  /**
   * Writes the current view; resolves once it is on the disk, or can't be written. What
   * changes during that write doesn't delay it.
   */
  async flush(): Promise<void> {
    if (this.#isClosed) return await this.#written;
    const flushed = new Promise<void>((resolve) => this.#flushes.push(resolve));
    this.scheduleWrite();
    await flushed;
  }

  /** Writes what is left; the file is not touched once this has resolved. */
  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#written;
  }

  async #writeWhileDirty(): Promise<void> {
    const { folder, clock, log, getView } = this.#options;
    while (this.#isDirty) {
      await clock.delay(WRITE_DELAY_MS);
      this.#isDirty = false;
      const flushes = this.#flushes;
      this.#flushes = [];
      try {
        await folder.replace(FILE_NAME, encodeView(getView(), log));
      } catch (error) {
        // The file only speeds up a restart; the group holds the durable state.
        log.warn("last_view_not_written", { reason: getReason(error) });
      }
      flushes.forEach((resolve) => resolve());
    }
  }
}
