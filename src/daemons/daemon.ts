/**
 * Runs the host of a daemon process: reads its settings, sets up logging,
 * handles signals and exits with the code that the message table defines.
 */
import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import { Command } from "commander";
import { createProcessContext, type ProcessContext } from "../services/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { asServingError } from "../sys/errors.ts";
import { createLog, type Log } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { logRejection, UnexpectedErrors } from "../sys/unexpected_errors.ts";
import { setStopHandler } from "./early_signals.ts";
import { logMemory } from "./memory_log.ts";
import { formatError, SettingsFile } from "./settings_file.ts";

/** Interface between a daemon process and its host. */
export interface DaemonHost {
  /**
   * Opens the ports and starts the host; resolves to the fields of the `ready`
   * log event.
   */
  start(): Promise<Record<string, string>>;
  /** Stops gracefully, without aborting requests. Not called before `start` has. */
  stop(): Promise<void>;
  /** Time after which a stop that has not ended is given up, in milliseconds. */
  readonly stopLimitMs?: number;
  /** Applies the settings that can change without a restart. */
  reload?(settings: unknown): void;
  /** Called by the host after a fatal error. */
  onFailure?: (error: unknown) => void;
}

/** Default of {@linkcode DaemonHost.stopLimitMs}. */
const DEFAULT_STOP_LIMIT_MS = 10_000;

/** Interval between checks of the settings file, in milliseconds. */
const SETTINGS_CHECK_INTERVAL_MS = 5_000;

/** Settings that all daemons have in common. */
interface CommonSettings {
  readonly id: string;
  readonly tls?: unknown;
  readonly log?: { readonly level?: string };
  readonly metrics?: { readonly host?: string; readonly port?: number };
}

/** Parses the command line and runs the daemon until a signal stops it. */
export async function runDaemon<S extends DescMessage>(options: {
  name: string;
  description: string;
  schema: S;
  /** Returns the keys that settings lack although the schema allows that. */
  findMissingKeys?: (settings: MessageShape<S>) => string[];
  createHost: (
    settings: MessageShape<S>,
    context: ProcessContext,
  ) => DaemonHost;
}): Promise<void> {
  const program = new Command(options.name)
    .description(options.description)
    .argument("<settings>", "path of the TOML settings file")
    .addHelpText(
      "after",
      "\nExit codes: 0 stopped, 1 internal error, 2 usage, 3 settings, " +
        "4 port or folder, 5 damaged or lost state.",
    );
  program.exitOverride((error) => {
    process.exit(error.exitCode === 0 ? 0 : 2);
  });
  program.parse();
  try {
    const file = new SettingsFile({
      ...options,
      path: program.args[0] ?? "",
      clock: new SystemClock(),
    });
    // Without a listener, a reader that is gone would end the process.
    process.stderr.on("error", () => {});
    const settings = await file.readAtStart((error) =>
      process.stderr.write(`waiting for the settings: ${formatError(error)}\n`)
    );
    await runHost({ ...options, file }, settings);
  } catch (error) {
    process.stderr.write(`${formatError(error)}\n`);
    process.exit(asServingError(error).exitCode);
  }
}

const ADDRESS_PATTERN = /:\d+$/;
const LOOPBACK_PATTERN = /^(127\.|\[::1\]|localhost)/;

/**
 * Warns of non-loopback addresses without TLS: without certificates, any peer
 * that can connect to the port is trusted.
 */
function warnAboutUnencryptedAddresses(
  log: Log,
  settings: CommonSettings,
  addresses: Record<string, string>,
): void {
  if (settings.tls !== undefined) return;
  Object.entries(addresses)
    .filter(([, address]) =>
      ADDRESS_PATTERN.test(address) && !LOOPBACK_PATTERN.test(address)
    )
    .forEach(([name, address]) =>
      log.warn("no_certificates", { name, address })
    );
}

/**
 * Reloads the settings on SIGHUP and when the file has changed. Invalid
 * settings are logged and have no effect.
 */
function watchSettings<S extends DescMessage>(options: {
  file: SettingsFile<S>;
  settings: MessageShape<S>;
  host: DaemonHost;
  context: ProcessContext;
}): void {
  const { file, host } = options;
  const { log, clock } = options.context;
  let current = file.format(options.settings);
  const tryReload = async (cause: string) => {
    try {
      const settings = await file.read();
      const reloaded = file.format(settings);
      if (reloaded === current) return;
      host.reload?.(settings);
      current = reloaded;
      log.info("settings_reloaded", { cause });
    } catch (error) {
      log.warn("settings_not_reloaded", {
        cause,
        reason: formatError(error),
      });
    }
  };
  const reload = (cause: string) =>
    logRejection(tryReload(cause), log, "settings");
  process.on("SIGHUP", () => {
    log.info("signal", { signal: "SIGHUP" });
    reload("signal");
  });
  clock.startInterval(SETTINGS_CHECK_INTERVAL_MS, () => reload("changed"));
}

async function runHost<S extends DescMessage>(
  options: {
    name: string;
    file: SettingsFile<S>;
    createHost: (
      settings: MessageShape<S>,
      context: ProcessContext,
    ) => DaemonHost;
  },
  settings: MessageShape<S>,
): Promise<void> {
  const commonSettings = settings as unknown as CommonSettings;
  const log = createLog({
    level: commonSettings.log?.level ?? "info",
    process: commonSettings.id,
  });
  const metrics = new Metrics({
    ...commonSettings.metrics,
    prefix: options.name,
  });
  const context = createProcessContext({ name: options.name, log, metrics });
  const host = options.createHost(settings, context);
  const fail = (error: unknown) => {
    log.error("failed", { reason: formatError(error) });
    process.exit(asServingError(error).exitCode);
  };
  host.onFailure = fail;
  const unexpectedErrors = new UnexpectedErrors({
    log,
    metrics,
    clock: context.clock,
    onTooMany: fail,
  });
  process.on(
    "uncaughtException",
    (error) => unexpectedErrors.handle(error, "exception"),
  );
  process.on(
    "unhandledRejection",
    (error) => unexpectedErrors.handle(error, "rejection"),
  );
  const stopper = new Stopper(host, context);
  setStopHandler((signal) => stopper.handle(signal));
  watchSettings({ ...options, settings, host, context });
  logMemory(context);
  const readyFields = await host.start();
  warnAboutUnencryptedAddresses(log, commonSettings, readyFields);
  log.info("ready", readyFields);
  stopper.recordStarted();
}

/** Stops a daemon on a signal. */
class Stopper {
  readonly #host: DaemonHost;
  readonly #context: ProcessContext;
  #hasStarted = false;
  #isStopping = false;

  constructor(host: DaemonHost, context: ProcessContext) {
    this.#host = host;
    this.#context = context;
  }

  recordStarted(): void {
    this.#hasStarted = true;
  }

  handle(signal: string): void {
    const { log, clock } = this.#context;
    log.info("signal", { signal });
    if (this.#isStopping) return;
    this.#isStopping = true;
    // Nothing is served before the start has ended, and what is on disk may be
    // left at any moment. To stop half-started parts could fail or hang.
    if (!this.#hasStarted) process.exit(0);
    const limitMs = this.#host.stopLimitMs ?? DEFAULT_STOP_LIMIT_MS;
    clock.startTimer(limitMs, () => {
      log.error("stop_given_up", { after_ms: limitMs });
      process.exit(1);
    });
    this.#host.stop().then(() => process.exit(0), (error) => {
      log.error("stop_failed", { reason: formatError(error) });
      process.exit(1);
    });
  }
}
