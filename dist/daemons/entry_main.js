#!/usr/bin/env node
/** The entry daemon. */
import { EntrySettingsSchema } from "../schema/mod.js";
import { EntryHost } from "../services/mod.js";
import { runDaemon } from "./daemon.js";
await runDaemon({
    name: "papayatally-entry",
    description: "Takes callers' requests and runs batch items; needs no disk.",
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
//# sourceMappingURL=entry_main.js.map