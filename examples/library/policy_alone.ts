/**
 * Uses the policy library without a process, a port or a clock: selects the
 * server for a request and computes the remaining batch capacity of a server.
 */
import {
  chooseServer,
  getBatchCapacity,
  type ServerStatus,
} from "papayatally/policy";

const base: Omit<ServerStatus, "name" | "sequences"> = {
  dataCentre: "dc-1",
  models: ["m"],
  adapters: [],
  batch: 0,
  sequenceTarget: 16,
  sequenceLimit: 32,
  backoffUntilMs: 0,
  isProbed: false,
  knownSinceMs: -60_000,
};

/** Returns the selected server and the batch capacity at its online load. */
export function runPolicyAlone(): { server: string; batchCapacity: number } {
  const servers: ServerStatus[] = [
    { ...base, name: "busy", sequences: 12 },
    { ...base, name: "idle", sequences: 3 },
  ];
  const decision = chooseServer(servers, {
    dataCentre: "dc-1",
    model: "m",
    adapter: "",
    affinity: "",
    excluded: new Set(),
  }, 0);
  const batchCapacity = getBatchCapacity({
    online: 3,
    onlinePeak: 6,
    ownBatch: 0,
    sequenceTarget: 16,
  }, { emphasis: 2, reserve: 1 });
  return {
    server: decision.kind === "server" ? decision.name : "",
    batchCapacity,
  };
}
