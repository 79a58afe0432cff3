/**
 * Signals that arrive while a process still starts. Must be imported first, and
 * by a main program that loads everything else after it: without a handler, a
 * signal would terminate the process.
 */

/** Called for SIGTERM and SIGINT; until the daemon runs, nothing has to end. */
let handleStop: (signal: string) => void = () => process.exit(0);

/** Replaces the action for the signals that stop a process. */
export function setStopHandler(handler: (signal: string) => void): void {
  handleStop = handler;
}

// Ignoring the signal is safe, because the settings are read right after the
// modules are loaded.
process.on("SIGHUP", () => {});
process.on("SIGTERM", (signal) => handleStop(signal));
process.on("SIGINT", (signal) => handleStop(signal));
