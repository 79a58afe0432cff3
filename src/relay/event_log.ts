/**
 * Events of a completion as they arrived. They are kept as bytes and read only
 * when somebody needs their text: to resume elsewhere, or for a whole answer.
 */
import { createParser } from "eventsource-parser";

/** What has been produced so far. */
export interface Progress {
  readonly text: string;
  readonly tokens: number;
}

/** Data of the event that ends a stream. */
const DONE_DATA = "[DONE]";

/** The text that an event of a completion adds. */
export function getTokenText(data: string): string {
  try {
    const choice = JSON.parse(data).choices?.[0];
    return choice?.text ?? choice?.delta?.content ?? "";
  } catch {
    return "";
  }
}

/** All events of one completion, over all attempts. */
export class EventLog {
  readonly #chunks: Uint8Array[] = [];
  #parsedCount = 0;
  #text: string;
  #tokens: number;
  #lastEvent = "";
  readonly #parser = createParser({
    onEvent: ({ data }) => {
      if (data === DONE_DATA) return;
      const token = getTokenText(data);
      this.#lastEvent = data;
      this.#text += token;
      if (token !== "") this.#tokens += 1;
    },
  });

  /** Starts after `progress` that was made before. */
  constructor(progress: Progress = { text: "", tokens: 0 }) {
    this.#text = progress.text;
    this.#tokens = progress.tokens;
  }

  get isEmpty(): boolean {
    return this.#chunks.length === 0;
  }

  /** Takes whole events. */
  append(events: Uint8Array): void {
    this.#chunks.push(events);
  }

  /** Text and number of all tokens. */
  getProgress(): Progress {
    this.#parseNewChunks();
    return { text: this.#text, tokens: this.#tokens };
  }

  /** Data of the newest event that was not the end mark. */
  getLastEvent(): string {
    this.#parseNewChunks();
    return this.#lastEvent;
  }

  /** All events as they arrived. */
  getBytes(): Uint8Array {
    return Buffer.concat(this.#chunks);
  }

  #parseNewChunks(): void {
    const decoder = new TextDecoder();
    this.#chunks.slice(this.#parsedCount).forEach((chunk) =>
      this.#parser.feed(decoder.decode(chunk))
    );
    this.#parsedCount = this.#chunks.length;
  }
}
