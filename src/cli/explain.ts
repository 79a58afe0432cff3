/**
 * What became of a request, a job, an item or a backend server, from the logs
 * of many processes: its lines in order, and the cause in one sentence as far
 * as the lines tell it.
 */

/** One line of a log. */
export interface LogLine {
  readonly timeMs: number;
  readonly process: string;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
  readonly text: string;
}

/** What the logs tell about one id. */
export interface Explanation {
  readonly lines: readonly LogLine[];
  /** One sentence. */
  readonly cause: string;
}

/** Fields that name what a line is about. */
const ID_FIELDS = ["request", "job", "item", "server", "host"];

/**
 * Time around the lines of an id in which lines about its backend servers
 * matter, in milliseconds: a server's silence is given up after a second.
 */
const SERVER_EVENT_WINDOW_MS = 3_000;

const KEY_VALUE_PATTERN = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Reads one line; undefined when it is none of ours. */
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

/** Explains an id by the lines of any number of logs, in any order. */
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
    `The logs name ${id} and tell no decision about it; the last line is ` +
      `${sorted.at(-1)?.event} at ${sorted.at(-1)?.process}.`;
}

/** Lines are written for what fails, and some are dropped under load. */
function describeMissingId(allLines: readonly LogLine[], id: string): string {
  const droppedCount = allLines.filter((line) => line.event === "lines_dropped")
    .reduce((sum, line) => sum + Number(line.fields.get("count") ?? 0), 0);
  const searchSummary = allLines.length === 0
    ? "no line of these files is a log line"
    : `${allLines.length} lines name it nowhere`;
  const droppedNote = droppedCount > 0
    ? ` ${droppedCount} lines were dropped under load, so it may have failed too.`
    : "";
  return `Nothing is known of ${id}: ${searchSummary}. A request that was served at ` +
    `its first attempt leaves no line.${droppedNote}`;
}

type SentenceFormatter = (line: LogLine, own: readonly LogLine[]) => string;

const get = (line: LogLine, field: string) => line.fields.get(field) ?? "?";

/** What happened before the end, for sentences that name it. */
function describeAttempts(
  finalLine: LogLine,
  idLines: readonly LogLine[],
): string {
  const attempts = idLines.filter((line) =>
    line.event.startsWith("attempt_") || line.event === "answer_broken"
  );
  if (attempts.length === 0) {
    return get(finalLine, "runs") === "0"
      ? "It reached no server."
      : "A server had it; no line tells which.";
  }
  const parts = attempts.map((line) =>
    `${get(line, "server")} (${line.event.replaceAll("_", " ")}: ${
      get(line, "reason")
    })`
  );
  return `It was sent to ${parts.join(", then to ")}.`;
}

/** Sentences by the event that ended a thing, or told most about it. */
const SENTENCE_FORMATTERS: ReadonlyMap<string, SentenceFormatter> = new Map<
  string,
  SentenceFormatter
>([
  [
    "request_failed",
    (line, own) =>
      `Gateway ${line.process} gave it up after ${get(line, "after_ms")} ms ` +
      `with ${get(line, "code")} (${get(line, "verdict")}): ` +
      `${get(line, "reason")}. ${describeAttempts(line, own)}`,
  ],
  [
    "request_refused",
    (line) =>
      `Gateway ${line.process} refused it before any server was chosen, ` +
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
    (line, own) => {
      const attempts = own.filter((one) => one.event === "item_attempt_ended");
      return `${attempts.length} attempts of its items ended early, the last ` +
        `one (${get(line, "item")}) at ${get(line, "server")} as ` +
        `${get(line, "ending")}: ${get(line, "reason")}. What came after ` +
        "went well, or these logs end before it.";
    },
  ],
  [
    "job_ended",
    (line) => `Its caller ended the job; gateway ${line.process} took that.`,
  ],
  [
    "job_accepted",
    (line) =>
      `Gateway ${line.process} accepted the job with ` +
      `${get(line, "items")} items; no line tells of a failure.`,
  ],
  [
    "backend_server_silent",
    (line) =>
      `${line.process} heard nothing from the server though requests were ` +
      "under way there, and took away what others may run.",
  ],
]);
