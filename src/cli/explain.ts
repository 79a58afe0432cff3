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
const NAME_FIELDS = ["request", "job", "item", "server", "host"];

/**
 * Time around the lines of an id in which lines about its backend servers
 * matter, in milliseconds: a server's silence is given up after a second.
 */
const NEIGHBOURHOOD_MS = 3_000;

const PAIR = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Reads one line; undefined when it is none of ours. */
export function tryParseLine(text: string): LogLine | undefined {
  const fields = new Map<string, string>();
  for (const [, key = "", value = ""] of text.matchAll(PAIR)) {
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
  const all = texts.map(tryParseLine).filter((line) => line !== undefined);
  const own = all.filter((line) => isAbout(line, id));
  const servers = new Set(
    own.flatMap((line) => line.fields.get("server") ?? []),
  );
  const firstMs = Math.min(...own.map((line) => line.timeMs));
  const lastMs = Math.max(...own.map((line) => line.timeMs));
  const near = all.filter((line) =>
    line.event.startsWith("backend_server") &&
    servers.has(line.fields.get("server") ?? "") &&
    line.timeMs >= firstMs - NEIGHBOURHOOD_MS &&
    line.timeMs <= lastMs + NEIGHBOURHOOD_MS
  );
  const lines = [...new Set([...own, ...near])]
    .sort((a, b) => a.timeMs - b.timeMs);
  return { lines, cause: getCause(own, all, id) };
}

function isAbout(line: LogLine, id: string): boolean {
  return NAME_FIELDS.some((field) => line.fields.get(field) === id);
}

function getCause(
  own: readonly LogLine[],
  all: readonly LogLine[],
  id: string,
): string {
  if (own.length === 0) return explainAbsence(all, id);
  const sorted = [...own].sort((a, b) => a.timeMs - b.timeMs);
  const last = sorted.findLast((line) => SENTENCES.has(line.event));
  const sentence = last === undefined
    ? undefined
    : SENTENCES.get(last.event)?.(last, sorted);
  return sentence ??
    `The logs name ${id} and tell no decision about it; the last line is ` +
      `${sorted.at(-1)?.event} at ${sorted.at(-1)?.process}.`;
}

/** Lines are written for what fails, and some are dropped under load. */
function explainAbsence(all: readonly LogLine[], id: string): string {
  const dropped = all.filter((line) => line.event === "lines_dropped")
    .reduce((sum, line) => sum + Number(line.fields.get("count") ?? 0), 0);
  const known = all.length === 0
    ? "no line of these files is a log line"
    : `${all.length} lines name it nowhere`;
  const doubt = dropped > 0
    ? ` ${dropped} lines were dropped under load, so it may have failed too.`
    : "";
  return `Nothing is known of ${id}: ${known}. A request that was served at ` +
    `its first attempt leaves no line.${doubt}`;
}

type Sentence = (line: LogLine, own: readonly LogLine[]) => string;

const get = (line: LogLine, field: string) => line.fields.get(field) ?? "?";

/** What happened before the end, for sentences that name it. */
function describeAttempts(end: LogLine, own: readonly LogLine[]): string {
  const attempts = own.filter((line) =>
    line.event.startsWith("attempt_") || line.event === "answer_broken"
  );
  if (attempts.length === 0) {
    return get(end, "runs") === "0"
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
const SENTENCES: ReadonlyMap<string, Sentence> = new Map<string, Sentence>([
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
