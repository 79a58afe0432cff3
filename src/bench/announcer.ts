/** Announces a stand-in to entries, as a backend server does. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create, toJson } from "@bufbuild/protobuf";
import { AnnouncementSchema } from "../schema/mod.ts";
import type { Clock, Timer } from "../sys/clock.ts";
import { sendHttp } from "../sys/http.ts";

/** Fields of an announcement, computed again for each one. */
export type AnnouncementFields = Partial<
  Omit<MessageInitShape<typeof AnnouncementSchema>, "$typeName">
>;

/** Options of an {@linkcode Announcer}. */
export interface AnnouncerOptions {
  /** Addresses of entries, to which announcements go in rotation. */
  readonly entries: readonly string[];
  readonly clock: Clock;
  readonly intervalMs: number;
  readonly fields: () => AnnouncementFields;
}

const ANNOUNCE_TIMEOUT_MS = 1_000;

/** Sends announcements at an interval until it is stopped. */
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

  /** Replaces the entries that later announcements are sent to. */
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

  /** Announces that the server is leaving and takes no new work. */
  async announceLeaving(): Promise<void> {
    this.#timer?.cancel();
    await this.#announce({ leaving: true });
  }

  /** Stops announcing without notice, as a crash would. */
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
    // Tries each entry once, as a load balancer would when one is unreachable.
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
        // Retried with the next entry.
      }
    }
  }
}
