/**
 * Log of the events of a completion, in order of arrival. They are kept as
 * bytes and parsed lazily, only when their text is needed: to resume the
 * completion on another server or to build a response that is not streamed.
 */
import { parseEvents } from "./event_stream.ts";

/** Output that a completion has produced so far. */
export interface Progress {
  readonly text: string;
  readonly tokens: number;
}

/** Data of the event that terminates a stream. */
export const DONE_DATA = "[DONE]";

/** Returns the text that an event adds to a completion. */
export function getTokenText(data: string): string {
  try {
    const choice = JSON.parse(data).choices?.[0];
    return choice?.text ?? choice?.delta?.content ?? "";
  } catch {
    return "";
  }
}

/** Events of one completion, across all of its attempts. */
export class EventLog {
  readonly #chunks: Buffer[] = [];
  #parsedCount = 0;
  #text: string;
  #tokens: number;
  #lastEvent = "";

  /** Continues from `progress`, which was made earlier. */
  constructor(progress: Progress = { text: "", tokens: 0 }) {
    this.#text = progress.text;
    this.#tokens = progress.tokens;
  }

  get isEmpty(): boolean {
    return this.#chunks.length === 0;
  }

  /** Appends blocks of events that an attempt accepted. */
  append(events: Buffer): void {
    this.#chunks.push(events);
  }

  /** Returns the text and the number of all tokens. */
  getProgress(): Progress {
    this.#parseNewChunks();
    return { text: this.#text, tokens: this.#tokens };
  }

  /** Returns the data of the last event before the terminating one. */
  getLastEvent(): string {
    this.#parseNewChunks();
    return this.#lastEvent;
  }

  /** Returns all events as they arrived. */
  getBytes(): Uint8Array {
    return Buffer.concat(this.#chunks);
  }

  #parseNewChunks(): void {
    this.#chunks.slice(this.#parsedCount).flatMap(parseEvents)
      .filter(({ data }) => data !== DONE_DATA)
      .forEach(({ data }) => {
        const token = getTokenText(data);
        this.#lastEvent = data;
        this.#text += token;
        if (token !== "") this.#tokens += 1;
      });
    this.#parsedCount = this.#chunks.length;
  }
}
