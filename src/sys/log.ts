/** Logs: one line of key=value pairs for each event, by winston. */
import { Writable } from "node:stream";
import winston from "winston";
import { FileSink, LineWriter } from "./line_writer.ts";

/** Fields of one event. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes events. */
export abstract class Log {
  abstract write(level: LogLevel, event: string, fields: LogFields): void;

  info(event: string, fields: LogFields = {}): void {
    this.write("info", event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.write("warn", event, fields);
  }

  error(event: string, fields: LogFields = {}): void {
    this.write("error", event, fields);
  }

  debug(event: string, fields: LogFields = {}): void {
    this.write("debug", event, fields);
  }
}

/** Levels, the most urgent first. */
export type LogLevel = "error" | "warn" | "info" | "debug";

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** One line of key=value pairs. */
export function formatEvent(event: string, fields: LogFields): string {
  const pairs = Object.entries(fields).map(([key, value]) =>
    `${key}=${formatValue(value)}`
  );
  return [`event=${formatValue(event)}`, ...pairs].join(" ");
}

/** Key under which winston keeps the text of a line. */
const MESSAGE_KEY = Symbol.for("message");

const STDOUT_FD = 1;

/** Lines about failures outlast others when too many come. */
const HIGH_PRIORITY_LEVELS = new Set(["error", "warn"]);

/** A winston stream that hands lines to a writer and never makes it wait. */
function createLogStream(writer: LineWriter): Writable {
  return new Writable({
    objectMode: true,
    write: (info: winston.Logform.TransformableInfo, _encoding, done) => {
      const isHighPriority = HIGH_PRIORITY_LEVELS.has(info.level);
      writer.write(String(info[MESSAGE_KEY]), isHighPriority ? 1 : 0);
      done();
    },
  });
}

class WinstonLog extends Log {
  readonly #logger: winston.Logger;

  constructor(level: string, name: string) {
    super();
    const writer = new LineWriter({
      sink: new FileSink(STDOUT_FD),
      formatDroppedLine: (count) =>
        `time=${new Date().toISOString()} level=warn process=${name} ` +
        formatEvent("lines_dropped", { count }),
    });
    process.once("exit", () => writer.flushSync());
    this.#logger = winston.createLogger({
      level,
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.printf((info) =>
          `time=${info.timestamp} level=${info.level} process=${name} ${info.message}`
        ),
      ),
      transports: [
        new winston.transports.Stream({ stream: createLogStream(writer) }),
      ],
    });
  }

  override write(level: LogLevel, event: string, fields: LogFields): void {
    this.#logger.log(level, formatEvent(event, fields));
  }
}

class SilentLog extends Log {
  override write(): void {}
}

/** Keeps lines in memory; for baselines of whole sessions. */
export class MemoryLog extends Log {
  readonly lines: string[] = [];

  override write(level: LogLevel, event: string, fields: LogFields): void {
    this.lines.push(`level=${level} ${formatEvent(event, fields)}`);
  }
}

/** Creates the log of a daemon. */
export function createLog(options: { level: string; process: string }): Log {
  return new WinstonLog(options.level, options.process);
}

/** Creates a log that drops everything. */
export function createSilentLog(): Log {
  return new SilentLog();
}
