/** Logs: one line of key=value pairs for each event, by winston. */
import winston from "winston";

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

class WinstonLog extends Log {
  readonly #logger: winston.Logger;

  constructor(level: string, process: string) {
    super();
    this.#logger = winston.createLogger({
      level,
      format: winston.format.combine(
        winston.format.timestamp(),
        winston.format.printf((row) =>
          `time=${row.timestamp} level=${row.level} process=${process} ${row.message}`
        ),
      ),
      transports: [new winston.transports.Console({ stderrLevels: ["error"] })],
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
