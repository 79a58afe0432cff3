#!/usr/bin/env node
/** Main program of the entry daemon. */
import "./early_signals.ts";
import { EntrySettingsSchema } from "../schema/mod.ts";
import { EntryHost } from "../services/mod.ts";
import { runDaemon } from "./daemon.ts";

await runDaemon({
  name: "papayatally-entry",
  description: "Serves callers' requests and runs batch items; needs no disk.",
  schema: EntrySettingsSchema,
  createHost: (settings, context) => {
    const host = new EntryHost(settings, context);
    return {
      start: async () => {
        await host.start();
        return { listen: host.address, peer_listen: host.peerAddress };
      },
      stop: () => host.stop(),
    };
  },
});
