#!/usr/bin/env node
/** Main program of the entry daemon. */
import "./early_signals.ts";

// All other modules are loaded later, when signals have their handlers.
await import("./entry_daemon.ts");
