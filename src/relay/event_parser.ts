/** Reads server-sent events as far as a resumed or collected stream needs. */

/** One event. */
export interface ServerSentEvent {
  /** Number of the event; undefined when it carries none. */
  readonly id: number | undefined;
  readonly data: string;
}

const EVENT_DELIMITER = "\n\n";

/** The events of bytes that hold whole events only. */
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
  const id = fields.find((field) => field.name === "id")?.value;
  return {
    id: id === undefined || !/^\d+$/.test(id) ? undefined : Number(id),
    data: fields.filter((field) => field.name === "data")
      .map((field) => field.value).join("\n"),
  };
}

/**
 * Checks that a stream goes on where it stopped: numbered events follow each
 * other without a gap and without one that came before.
 */
export class EventSequence {
  #last: number | undefined;

  constructor(last: number | undefined) {
    this.#last = last;
  }

  /** Number of the last event; undefined before the first. */
  get last(): number | undefined {
    return this.#last;
  }

  /** Takes the next event; false when it is not the one that is due. */
  accept(id: number | undefined): boolean {
    if (id === undefined) return true;
    if (this.#last !== undefined && id !== this.#last + 1) return false;
    this.#last = id;
    return true;
  }
}
