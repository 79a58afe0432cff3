/** Fields of one event. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;
/** Writes events. */
export declare abstract class Log {
    abstract write(level: LogLevel, event: string, fields: LogFields): void;
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
    debug(event: string, fields?: LogFields): void;
}
/** Levels, the most urgent first. */
export type LogLevel = "error" | "warn" | "info" | "debug";
/** One line of key=value pairs. */
export declare function formatEvent(event: string, fields: LogFields): string;
/** Keeps lines in memory; for baselines of whole sessions. */
export declare class MemoryLog extends Log {
    readonly lines: string[];
    write(level: LogLevel, event: string, fields: LogFields): void;
}
/** Creates the log of a daemon. */
export declare function createLog(options: {
    level: string;
    process: string;
}): Log;
/** Creates a log that drops everything. */
export declare function createSilentLog(): Log;
