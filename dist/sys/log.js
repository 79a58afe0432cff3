/** Logs: one line of key=value pairs for each event, by winston. */
import winston from "winston";
/** Writes events. */
export class Log {
    info(event, fields = {}) {
        this.write("info", event, fields);
    }
    warn(event, fields = {}) {
        this.write("warn", event, fields);
    }
    error(event, fields = {}) {
        this.write("error", event, fields);
    }
    debug(event, fields = {}) {
        this.write("debug", event, fields);
    }
}
function formatValue(value) {
    const text = String(value);
    return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
/** One line of key=value pairs. */
export function formatEvent(event, fields) {
    const pairs = Object.entries(fields).map(([key, value]) => `${key}=${formatValue(value)}`);
    return [`event=${formatValue(event)}`, ...pairs].join(" ");
}
class WinstonLog extends Log {
    #logger;
    constructor(level, process) {
        super();
        this.#logger = winston.createLogger({
            level,
            format: winston.format.combine(winston.format.timestamp(), winston.format.printf((row) => `time=${row.timestamp} level=${row.level} process=${process} ${row.message}`)),
            transports: [new winston.transports.Console({ stderrLevels: ["error"] })],
        });
    }
    write(level, event, fields) {
        this.#logger.log(level, formatEvent(event, fields));
    }
}
class SilentLog extends Log {
    write() { }
}
/** Keeps lines in memory; for baselines of whole sessions. */
export class MemoryLog extends Log {
    lines = [];
    write(level, event, fields) {
        this.lines.push(`level=${level} ${formatEvent(event, fields)}`);
    }
}
/** Creates the log of a daemon. */
export function createLog(options) {
    return new WinstonLog(options.level, options.process);
}
/** Creates a log that drops everything. */
export function createSilentLog() {
    return new SilentLog();
}
//# sourceMappingURL=log.js.map