/**
 * Parses the fields of server-sent events that are needed to resume a stream or
 * to collect its data.
 */

/** A server-sent event. */
export interface ServerSentEvent {
  /** Id of the event; undefined if it has none that is a number of 53 bits. */
  readonly id: number | undefined;
  readonly data: string;
}

const EVENT_DELIMITER = "\n\n";

/** Parses `bytes`, which must contain complete events only. */
export function parseEvents(bytes: Buffer): ServerSentEvent[] {
  return bytes.toString("utf8").split(EVENT_DELIMITER)
    .filter((text) => text !== "")
    .map(parseEvent);
}

function parseEvent(text: string): ServerSentEvent {
  const fields = text.split("\n").map((line) => {
    const colon = line.indexOf(":");
    const value = line.slice(colon + 1);
    return {
      name: line.slice(0, Math.max(0, colon)),
      value: value.startsWith(" ") ? value.slice(1) : value,
    };
  });
  const id = fields.find((field) => field.name === "id")?.value ?? "";
  return {
    id: /^\d+$/.test(id) && Number.isSafeInteger(Number(id))
      ? Number(id)
      : undefined,
    data: fields.filter((field) => field.name === "data")
      .map((field) => field.value).join("\n"),
  };
}

/**
 * Checks that a stream continues where it stopped: the ids of its events must
 * be consecutive, without gaps or repetitions.
 */
export class EventSequence {
  #last: number | undefined;

  constructor(last: number | undefined) {
    this.#last = last;
  }

  /** Id of the last accepted event; undefined before the first. */
  get last(): number | undefined {
    return this.#last;
  }

  /**
   * Accepts the id of the next event; returns false if it is not the expected
   * one. Events without an id are always accepted.
   */
  accept(id: number | undefined): boolean {
    if (id === undefined) return true;
    if (this.#last !== undefined && id !== this.#last + 1) return false;
    this.#last = id;
    return true;
  }
}
