#!/usr/bin/env node
/** Main program of the state daemon. */
import "./early_signals.ts";

// All other modules are loaded later, when signals have their handlers.
await import("./state_daemon.ts");
