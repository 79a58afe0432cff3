/** The entry daemon. */
import { EntrySettingsSchema } from "../schema/mod.ts";
import { EntryHost } from "../services/mod.ts";
import { runDaemon } from "./daemon.ts";

/** Time to end sessions and to leave the fleet, in milliseconds. */
const CLOSE_LIMIT_MS = 5_000;

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
      stopLimitMs: (settings.stopDelayMs ?? 0) + (settings.stopTimeoutMs ?? 0) +
        CLOSE_LIMIT_MS,
    };
  },
});
