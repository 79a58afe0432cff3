/**
 * Imported before everything else: a process that is told to reload while it
 * loads its own modules must not end by it. It reads its settings right after.
 */
process.on("SIGHUP", () => {});
