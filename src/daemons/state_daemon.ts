/** The state daemon. */
import { StateSettingsSchema } from "../schema/mod.ts";
import { type HttpListener, listenHttp } from "../sys/http.ts";
import { openPort } from "../sys/listening.ts";
import { createCallerGuard } from "../services/common/caller_faults.ts";
import { addStateOperators, StateHost } from "../services/mod.ts";
import { runDaemon } from "./daemon.ts";

await runDaemon({
  name: "papayatally-state",
  description: "Stores the replicated state; needs a data folder.",
  schema: StateSettingsSchema,
  createHost: (settings, context) => {
    const host = new StateHost(settings, context);
    let healthListener: HttpListener | undefined;
    return {
      start: async () => {
        addStateOperators(host, settings, context);
        await host.listen();
        healthListener = await openPort(
          () =>
            listenHttp(settings.healthListen ?? "", (req, res) => {
              const isReadinessProbe = req.url === "/readyz";
              res.statusCode = isReadinessProbe && !host.isReady ? 503 : 200;
              res.end();
            }, { guard: createCallerGuard(context) }),
          context,
        );
        await host.start();
        return { listen: host.address, health_listen: healthListener.address };
      },
      stop: async () => {
        await host.stop();
        healthListener?.close();
      },
      set onFailure(action: (error: unknown) => void) {
        host.onFailure = action;
      },
    };
  },
});
