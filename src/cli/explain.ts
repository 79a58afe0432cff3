/**
 * Explains from the logs of several processes what happened to a request, a
 * job, an item or a backend server: collects its log lines in order and derives
 * the cause as far as the lines show it.
 */

/** A parsed log line. */
export interface LogLine {
  readonly timeMs: number;
  readonly process: string;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
  readonly text: string;
}

/** Log lines and cause for one id. */
export interface Explanation {
  readonly lines: readonly LogLine[];
  /** A short explanation in full sentences. */
  readonly cause: string;
}

/** Log fields that contain ids. */
const ID_FIELDS = ["request", "job", "item", "server", "host"];

/**
 * Time before the first and after the last line of an id, in milliseconds, in
 * which events of its backend servers are included. A server that is silent for
 * one second is considered failed.
 */
const SERVER_EVENT_WINDOW_MS = 3_000;

const KEY_VALUE_PATTERN = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Parses a log line; undefined if the text is not one. */
export function tryParseLine(text: string): LogLine | undefined {
  const fields = new Map<string, string>();
  for (const [, key = "", value = ""] of text.matchAll(KEY_VALUE_PATTERN)) {
    fields.set(key, value.startsWith('"') ? unquote(value) : value);
  }
  const timeMs = Date.parse(fields.get("time") ?? "");
  const event = fields.get("event");
  if (event === undefined || Number.isNaN(timeMs)) return undefined;
  const process = fields.get("process") ?? "";
  return { timeMs, process, event, fields, text: text.trim() };
}

function unquote(value: string): string {
  try {
    return String(JSON.parse(value));
  } catch {
    return value;
  }
}

/** Explains an id from the lines of any number of logs, in any order. */
export function explain(texts: readonly string[], id: string): Explanation {
  const allLines = texts.map(tryParseLine).filter((line) => line !== undefined);
  const idLines = allLines.filter((line) => refersToId(line, id));
  const servers = new Set(
    idLines.flatMap((line) => line.fields.get("server") ?? []),
  );
  const firstMs = Math.min(...idLines.map((line) => line.timeMs));
  const lastMs = Math.max(...idLines.map((line) => line.timeMs));
  const serverLines = allLines.filter((line) =>
    line.event.startsWith("backend_server") &&
    servers.has(line.fields.get("server") ?? "") &&
    line.timeMs >= firstMs - SERVER_EVENT_WINDOW_MS &&
    line.timeMs <= lastMs + SERVER_EVENT_WINDOW_MS
  );
  const lines = [...new Set([...idLines, ...serverLines])]
    .sort((a, b) => a.timeMs - b.timeMs);
  return { lines, cause: describeCause(idLines, allLines, id) };
}

function refersToId(line: LogLine, id: string): boolean {
  return ID_FIELDS.some((field) => line.fields.get(field) === id);
}

function describeCause(
  idLines: readonly LogLine[],
  allLines: readonly LogLine[],
  id: string,
): string {
  if (idLines.length === 0) return describeMissingId(allLines, id);
  const sorted = [...idLines].sort((a, b) => a.timeMs - b.timeMs);
  const decisiveLine = sorted.findLast((line) =>
    SENTENCE_FORMATTERS.has(line.event)
  );
  const sentence = decisiveLine === undefined
    ? undefined
    : SENTENCE_FORMATTERS.get(decisiveLine.event)?.(decisiveLine, sorted);
  return sentence ??
    `The logs mention ${id} but record no outcome for it; the last line is ` +
      `${sorted.at(-1)?.event} at ${sorted.at(-1)?.process}.`;
}

/**
 * Explains why an id may be missing: only failures are logged, and lines may be
 * dropped under load.
 */
function describeMissingId(allLines: readonly LogLine[], id: string): string {
  const droppedCount = allLines.filter((line) => line.event === "lines_dropped")
    .reduce((sum, line) => sum + Number(line.fields.get("count") ?? 0), 0);
  const searchSummary = allLines.length === 0
    ? "these files contain no log lines"
    : `${allLines.length} lines do not mention it`;
  const droppedNote = droppedCount > 0
    ? ` ${droppedCount} lines were dropped under load; one may have named it.`
    : "";
  return `Nothing is known of ${id}: ${searchSummary}. A request that ` +
    `succeeds at its first attempt is not logged.${droppedNote}`;
}

type SentenceFormatter = (
  line: LogLine,
  idLines: readonly LogLine[],
) => string;

const get = (line: LogLine, field: string) => line.fields.get(field) ?? "?";

/** Describes the attempts that preceded the final log line. */
function describeAttempts(
  finalLine: LogLine,
  idLines: readonly LogLine[],
): string {
  const attempts = idLines.filter((line) =>
    line.event.startsWith("attempt_") || line.event === "answer_broken"
  );
  if (attempts.length === 0) {
    return get(finalLine, "runs") === "0"
      ? "It was not sent to any server."
      : "It was sent to a server that no line identifies.";
  }
  const parts = attempts.map((line) =>
    `${get(line, "server")} (${line.event.replaceAll("_", " ")}: ${
      get(line, "reason")
    })`
  );
  return `It was sent to ${parts.join(", then to ")}.`;
}

/** Formatters by the event that ended something or that says most about it. */
const SENTENCE_FORMATTERS: ReadonlyMap<string, SentenceFormatter> = new Map<
  string,
  SentenceFormatter
>([
  [
    "request_failed",
    (line, idLines) =>
      `Gateway ${line.process} failed it after ${get(line, "after_ms")} ms ` +
      `with ${get(line, "code")} (${get(line, "verdict")}): ` +
      `${get(line, "reason")}. ${describeAttempts(line, idLines)}`,
  ],
  [
    "request_refused",
    (line) =>
      `Gateway ${line.process} rejected it before selecting a server, ` +
      `with ${get(line, "code")} under routes version ` +
      `${get(line, "routes")}: ${get(line, "reason")}.`,
  ],
  [
    "item_given_up",
    (line) =>
      `Item ${get(line, "item")} of job ${get(line, "job")} became a dead ` +
      `letter at ${line.process}: ${get(line, "reason")}.`,
  ],
  [
    "item_attempt_ended",
    (line, idLines) => {
      const attempts = idLines.filter((one) =>
        one.event === "item_attempt_ended"
      );
      return `${attempts.length} attempts of its items ended early, the last ` +
        `one (${get(line, "item")}) at ${get(line, "server")} as ` +
        `${get(line, "ending")}: ${get(line, "reason")}. Later attempts ` +
        "succeeded, or these logs end before them.";
    },
  ],
  [
    "job_ended",
    (line) => `Its caller ended the job through gateway ${line.process}.`,
  ],
  [
    "job_accepted",
    (line) =>
      `Gateway ${line.process} accepted the job with ` +
      `${get(line, "items")} items; no line reports a failure.`,
  ],
  [
    "backend_server_silent",
    (line) =>
      `${line.process} received nothing from the server during open ` +
      "requests, and withdrew those that may run on another server.",
  ],
]);
