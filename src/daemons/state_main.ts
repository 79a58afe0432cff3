#!/usr/bin/env node
/** The state daemon. */
import "./early_signals.ts";
import { StateSettingsSchema } from "../schema/mod.ts";
import { type HttpListener, listenHttp } from "../sys/http.ts";
import { addStateOperators, StateHost } from "../services/mod.ts";
import { runDaemon } from "./daemon.ts";

await runDaemon({
  name: "papayatally-state",
  description: "Holds the replicated state; needs a data folder.",
  schema: StateSettingsSchema,
  createHost: (settings, context) => {
    const host = new StateHost(settings, context);
    let health: HttpListener | undefined;
    return {
      start: async () => {
        addStateOperators(host, settings, context);
        await host.listen();
        health = await listenHttp(settings.healthListen ?? "", (req, res) => {
          const isAsked = req.url === "/readyz";
          res.statusCode = isAsked && !host.isReady ? 503 : 200;
          res.end();
        });
        await host.start();
        return { listen: host.address, health_listen: health.address };
      },
      stop: async () => {
        await host.stop();
        health?.close();
      },
      set onFailure(action: (error: unknown) => void) {
        host.onFailure = action;
      },
    };
  },
});
