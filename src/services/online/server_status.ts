/** The state of a backend server as the routing policy requires it. */
import type { BackendServer } from "../../membership/mod.ts";
import type { ServerStatus } from "../../policy/mod.ts";

/** Sequence limit of a model engine that announces none. */
const DEFAULT_SEQUENCE_LIMIT = 64;

/** Limit of concurrent requests to a plain service that announces none. */
const PLAIN_SERVICE_SEQUENCE_LIMIT = 1024;

/** Returns a server's state for the routing policy. */
export function getServerStatus(server: BackendServer): ServerStatus {
  const { own, announcement } = server;
  return {
    name: server.name,
    dataCentre: announcement.dataCentre,
    models: announcement.models,
    adapters: announcement.adapters,
    sequences: own.online + own.batch + server.others,
    batch: own.batch + Math.min(server.others, server.othersBatch),
    sequenceTarget: server.sequenceTarget,
    sequenceLimit: getSequenceLimit(server),
    backoffUntilMs: server.backoffUntilMs,
    isProbed: server.isProbed,
    knownSinceMs: server.knownSinceMs,
  };
}

/** Returns the number of sequences that online requests may occupy. */
export function getSequenceLimit(server: BackendServer): number {
  const { sequenceLimit, models } = server.announcement;
  if (sequenceLimit > 0) return sequenceLimit;
  return models.length > 0
    ? DEFAULT_SEQUENCE_LIMIT
    : PLAIN_SERVICE_SEQUENCE_LIMIT;
}

/** Whether the server announces the model, or announces no models at all. */
export function canServeModel(server: BackendServer, model: string): boolean {
  const { models } = server.announcement;
  return model === "" || models.length === 0 || models.includes(model);
}
