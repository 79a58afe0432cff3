/** Announces a stand-in to entries, as a backend server would. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create, toJson } from "@bufbuild/protobuf";
import { AnnouncementSchema } from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import { sendHttp } from "../sys/http.ts";

/** Fields of an announcement that the stand-in fills anew each time. */
export type AnnouncementFields = Partial<
  Omit<MessageInitShape<typeof AnnouncementSchema>, "$typeName">
>;

/** How an {@linkcode Announcer} is made. */
export interface AnnouncerOptions {
  /** Addresses of entries; each announcement goes to the next of them. */
  readonly entries: readonly string[];
  readonly clock: Clock;
  readonly intervalMs: number;
  readonly fields: () => AnnouncementFields;
}

const ANNOUNCE_TIMEOUT_MS = 1_000;

/** Sends announcements until it is stopped. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  #entries: readonly string[];
  #timer: Timer | undefined;
  #sequence = 0;
  #nextEntryIndex = 0;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
    this.#entries = options.entries;
  }

  /** Goes on with other entries. */
  setEntries(entries: readonly string[]): void {
    this.#entries = entries;
  }

  async start(): Promise<void> {
    const { clock, intervalMs } = this.#options;
    this.#timer = clock.startInterval(intervalMs, () => {
      this.#announce({}).catch(() => {});
    });
    await this.#announce({});
  }

  /** Says that the server takes no new work. */
  async announceLeaving(): Promise<void> {
    this.#timer?.cancel();
    await this.#announce({ leaving: true });
  }

  /** Falls silent, as a crash would. */
  stop(): void {
    this.#timer?.cancel();
  }

  async #announce(fields: AnnouncementFields): Promise<void> {
    const entries = this.#entries;
    this.#sequence += 1;
    const announcement = create(AnnouncementSchema, {
      sequence: BigInt(this.#sequence),
      ...this.#options.fields(),
      ...fields,
    });
    const body = JSON.stringify(toJson(AnnouncementSchema, announcement));
    // The balancer takes another entry when one can't be reached.
    for (let attempt = 0; attempt < entries.length; attempt += 1) {
      const address = entries[this.#nextEntryIndex % entries.length] ?? "";
      this.#nextEntryIndex += 1;
      try {
        const response = await sendHttp({
          address,
          method: "POST",
          path: "/v1/backend-servers/announce",
          headers: { "content-type": "application/json" },
          body,
          headersTimeoutMs: ANNOUNCE_TIMEOUT_MS,
        });
        response.body.resume();
        if (response.status === 200) return;
      } catch {
        // Tried at the next entry.
      }
    }
  }
}
