/**
 * The selection of entry hosts under the flow between data centres, without network.
 * Guards against a price or reserve that entries don't keep, and against settings that
 * change the selection where they are not set.
 */
import { expect } from "chai";
import { chooseServer, type ServerStatus } from "../policy/mod.ts";
import { EntrySettingsSchema } from "../schema/mod.ts";
import {
  type EntryFlow,
  tryCreateEntryFlow,
} from "../services/online/entry_flow.ts";
import { ManualClock } from "../sys/clock.ts";
import { MemoryLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom } from "../sys/random.ts";
import { parseSettings } from "../sys/settings.ts";
import { range } from "./fleet_helpers.ts";

const LIMIT = 20;

const createServer = (name: string, sequences: number): ServerStatus => ({
  name,
  dataCentre: name.charAt(0),
  models: [],
  adapters: [],
  sequences,
  batch: 0,
  sequenceTarget: LIMIT,
  sequenceLimit: LIMIT,
  backoffUntilMs: 0,
  isProbed: false,
  knownSinceMs: -10_000,
});

const START_MS = new ManualClock().getMonotonicMs();

const REQUEST = {
  deployment: "d",
  dataCentre: "a",
  model: "",
  adapter: "",
  affinity: "",
  excluded: new Set<string>(),
  deadlineMs: START_MS + 5_000,
  own: 10,
  serviceMs: 1_000,
};

const createFlow = (text: string) => {
  const result = parseSettings(
    EntrySettingsSchema,
    `id = "e1"\ndata_centre = "a"\n${text}`,
  );
  if (!result.ok) throw new Error(result.faults.map((one) => one.text).join());
  const log = new MemoryLog();
  const metrics = new Metrics({ prefix: "test" });
  const flow = tryCreateEntryFlow(result.settings, {
    clock: new ManualClock(),
    log,
    metrics,
    random: new SeededRandom(1),
  });
  return { flow, log, metrics };
};

/** Places requests until the data centres are full; returns where they went. */
const fill = (flow: EntryFlow, count: number): string => {
  let servers = [createServer("a1", 0), createServer("b1", 0)];
  return range(count).map(() => {
    const decision = flow.choose(servers, REQUEST);
    if (decision.kind !== "server") return "-";
    servers = servers.map((server) =>
      server.name === decision.name
        ? createServer(server.name, server.sequences + 1)
        : server
    );
    return decision.name.charAt(0);
  }).join("");
};

describe("the flow of entry hosts", () => {
  it("is off without a price and a reserve", () => {
    expect(createFlow("").flow).equal(undefined);
    const servers = [createServer("a1", LIMIT), createServer("b1", LIMIT - 1)];
    expect(chooseServer(servers, REQUEST, 0)).include({ name: "b1" });
  });

  it("keeps the reserve of the other data centre", () => {
    const { flow, log, metrics } = createFlow("remote_reserve = 50");
    const placed = fill(flow!, 40);
    expect(placed.slice(0, LIMIT)).equal("a".repeat(LIMIT));
    const left = placed.replaceAll("a", "").replaceAll("-", "").length;
    expect(left).within(1, LIMIT / 2);
    expect(metrics.getSums()["remote_sends.wait"]).equal(left);
    expect(
      log.lines.filter((line) =>
        line.includes("event=request_leaves_data_centre kind=online service=d")
      ),
    ).length(left);
  });

  it("keeps requests whose bytes cost more than their wait", () => {
    const { flow } = createFlow("remote_byte_cost = 20");
    expect(fill(flow!, 40)).equal("a".repeat(20) + "-".repeat(20));
    const late = { ...REQUEST, deadlineMs: START_MS + 10 };
    const servers = [createServer("a1", LIMIT), createServer("b1", 0)];
    expect(flow?.choose(servers, late)).include({ name: "b1" });
  });

  it("uses another data centre if there are no servers here", () => {
    const { flow } = createFlow("remote_byte_cost = 20");
    expect(flow?.choose([createServer("b1", 0)], REQUEST))
      .include({ name: "b1" });
    expect(flow?.choose([], REQUEST).kind).equal("none");
  });
});
