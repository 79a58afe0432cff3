/** A backend server as the policy sees it. */
import type { BackendServer } from "../../membership/mod.ts";
import type { ServerStatus } from "../../policy/mod.ts";

/** Sequences of a server that says nothing of its limit. */
const DEFAULT_SEQUENCE_LIMIT = 64;

/** Requests beside each other on a plain service. */
const PLAIN_SERVICE_SEQUENCE_LIMIT = 1024;

/** What routing needs to know of a server. */
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

/** Sequences that online requests may fill. */
export function getSequenceLimit(server: BackendServer): number {
  const { sequenceLimit, models } = server.announcement;
  if (sequenceLimit > 0) return sequenceLimit;
  return models.length > 0
    ? DEFAULT_SEQUENCE_LIMIT
    : PLAIN_SERVICE_SEQUENCE_LIMIT;
}

/** Whether the server has the model, or does not say. */
export function canServeModel(server: BackendServer, model: string): boolean {
  const { models } = server.announcement;
  return model === "" || models.length === 0 || models.includes(model);
}
