/**
 * Must be imported first: without a handler, a SIGHUP that arrives while the
 * process still loads its modules would terminate it. Ignoring the signal is
 * safe, because the settings are read right after the modules are loaded.
 */
process.on("SIGHUP", () => {});
