/**
 * Parses the fields of server-sent events that are needed to resume a stream or
 * to collect its data, and checks that what continues a stream belongs to it.
 */
import type { IncomingHttpHeaders } from "../sys/http.ts";

/** A server-sent event. */
export interface ServerSentEvent {
  /** Id of the event; undefined if it has none that is a number of 53 bits. */
  readonly id: number | undefined;
  readonly data: string;
  /** Whether it has neither an id nor data, as a comment, which is no event. */
  readonly isEmpty: boolean;
  /** Whether all of its lines are fields that the format defines, or comments. */
  readonly isWellFormed: boolean;
}

const EVENT_STREAM_TYPE = /^text\/event-stream\b/i;

/**
 * Whether a body may consist of events: it is encoded in no other way, and of that
 * type or of none.
 */
export function isEventStreamType(headers: IncomingHttpHeaders): boolean {
  const type = headers["content-type"];
  const encoding = headers["content-encoding"] ?? "identity";
  return (type === undefined || EVENT_STREAM_TYPE.test(type)) &&
    encoding === "identity";
}

const EVENT_DELIMITER = "\n\n";

/** Names of fields; the name of a comment is empty. */
const FIELD_NAMES: readonly string[] = ["", "data", "event", "id", "retry"];

/** Parses `bytes`, which must contain complete events only. */
export function parseEvents(bytes: Buffer): ServerSentEvent[] {
  return bytes.toString("utf8").split(EVENT_DELIMITER)
    .filter((text) => text !== "")
    .map(parseEvent);
}

function parseEvent(text: string): ServerSentEvent {
  const fields = text.split("\n").map((line) => {
    const colon = line.indexOf(":");
    // A line without a colon is a field without a value.
    if (colon < 0) return { name: line, value: "" };
    const value = line.slice(colon + 1);
    return {
      name: line.slice(0, colon),
      value: value.startsWith(" ") ? value.slice(1) : value,
    };
  });
  const id = fields.find((field) => field.name === "id")?.value ?? "";
  const dataFields = fields.filter((field) => field.name === "data");
  return {
    id: /^\d+$/.test(id) && Number.isSafeInteger(Number(id))
      ? Number(id)
      : undefined,
    data: dataFields.map((field) => field.value).join("\n"),
    isEmpty: id === "" && dataFields.length === 0,
    isWellFormed: fields.every(({ name }) => FIELD_NAMES.includes(name)),
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
   * Accepts the next event; returns false if it is not the expected one. Once events
   * have ids, one without an id must have no data, as a comment has none.
   */
  accept({ id, data, isWellFormed }: ServerSentEvent): boolean {
    if (id === undefined) {
      return this.#last === undefined || (data === "" && isWellFormed);
    }
    if (this.#last !== undefined && id !== this.#last + 1) return false;
    this.#last = id;
    return true;
  }
}
