/**
 * What both daemons do around their host: read settings, log, answer signals
 * and end with the exit code of the message table.
 */
import { readFileSync } from "node:fs";
import { Command } from "commander";
import { MessageCode } from "../schema/mod.js";
import { createProcessContext } from "../services/mod.js";
import { asServingError, formatCode, getReason, ServingError, } from "../sys/errors.js";
import { createLog } from "../sys/log.js";
import { Metrics } from "../sys/metrics.js";
import { parseSettings } from "../sys/settings.js";
/** Reads a settings file; each fault becomes a line of the error. */
export function readSettings(schema, path) {
    let text;
    try {
        text = readFileSync(path, "utf8");
    }
    catch (error) {
        throw new ServingError(MessageCode.SETTINGS_FILE_MISSING, {
            parameters: { path, reason: getReason(error) },
        });
    }
    const result = parseSettings(schema, text);
    if (result.ok)
        return result.settings;
    throw new SettingsError(path, result.faults.map((fault) => fault.text));
}
/** All faults of a settings file. */
export class SettingsError extends ServingError {
    faults;
    constructor(path, faults) {
        super(MessageCode.SETTINGS_SYNTAX);
        this.faults = faults;
        this.message = faults.map((fault) => `${path}: ${fault}`).join("\n");
    }
}
/** The line that a person sees of an error. */
export function formatFailure(thrown) {
    const error = asServingError(thrown);
    if (error instanceof SettingsError)
        return error.message;
    return `${formatCode(error.code)} ${error.message}`;
}
/** Runs a daemon from its command line until a signal ends it. */
export async function runDaemon(options) {
    const program = new Command(options.name)
        .description(options.description)
        .argument("<settings>", "path of the TOML settings file")
        .addHelpText("after", "\nExit codes: 0 stopped, 1 internal error, 2 usage, 3 settings, " +
        "4 port or folder, 5 damaged or lost state.");
    program.exitOverride((error) => {
        process.exit(error.exitCode === 0 ? 0 : 2);
    });
    program.parse();
    try {
        const settings = readSettings(options.schema, program.args[0] ?? "");
        await serve(options, settings);
    }
    catch (error) {
        process.stderr.write(`${formatFailure(error)}\n`);
        process.exit(asServingError(error).exitCode);
    }
}
const LOOPBACK = /^(127\.|\[::1\]|localhost)/;
/** Without certificates anybody who reaches the port is believed. */
function warnOfPlainConnections(log, settings, addresses) {
    if (settings.tls !== undefined)
        return;
    Object.entries(addresses)
        .filter(([, address]) => !LOOPBACK.test(address))
        .forEach(([name, address]) => log.warn("no_certificates", { name, address }));
}
async function serve(options, settings) {
    const common = settings;
    const log = createLog({
        level: common.log?.level ?? "info",
        process: common.id,
    });
    const metrics = new Metrics({ ...common.metrics, prefix: options.name });
    const context = createProcessContext({ name: options.name, log, metrics });
    const host = options.createHost(settings, context);
    host.onFailure = (error) => {
        log.error("failed", { reason: formatFailure(error) });
        process.exit(asServingError(error).exitCode);
    };
    process.on("uncaughtException", (error) => {
        log.error("uncaught", { reason: getReason(error) });
        process.exit(1);
    });
    const stop = (signal) => {
        log.info("signal", { signal });
        host.stop().then(() => process.exit(0), () => process.exit(1));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    const fields = await host.start();
    warnOfPlainConnections(log, common, fields);
    log.info("ready", fields);
}
//# sourceMappingURL=daemon.js.map