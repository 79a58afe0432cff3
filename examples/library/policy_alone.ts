/**
 * The policy alone: where a request goes and how much batch fits beside it,
 * without a process, a port or a clock.
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

/** Name of the chosen server and the room for batch beside its load. */
export function runPolicyAlone(): { server: string; room: number } {
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
  const room = getBatchCapacity({
    online: 3,
    onlinePeak: 6,
    ownBatch: 0,
    sequenceTarget: 16,
  }, { emphasis: 2, reserve: 1 });
  return { server: decision.kind === "server" ? decision.name : "", room };
}
