/**
 * A server pool whose settings ask for the flow between data centres, without
 * network. Guards against a price or reserve that has no effect on the selection, and
 * against requests that leave without a trace in logs and metrics.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { countChunks, createRemoteByteCounter } from "../fleet/remote_bytes.ts";
import { tryCreateRemoteFlow } from "../fleet/remote_flow.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import { type PermitRequest, ServerPool } from "../fleet/server_pool.ts";
import { LoadKind } from "../membership/mod.ts";
import {
  type FleetSettings,
  FleetSettingsSchema,
  FleetUpdateSchema,
  LoadReportSchema,
  ServerState,
} from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { MemoryLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom } from "../sys/random.ts";
import { parseSettings } from "../sys/settings.ts";
import { range } from "./fleet_helpers.ts";

const SETTINGS = `
id = "g1"
role = "gateway"
data_centre = "a"
ip = "127.0.0.1"
`;

const ONLINE: PermitRequest = {
  service: "s",
  kind: LoadKind.online,
  prefix: [],
  excluded: new Set(),
  need: { request: "r1", serviceMs: 1_000, lateAfterMs: 60, bytes: 4_000 },
};

const ITEM: PermitRequest = {
  ...ONLINE,
  kind: LoadKind.batch,
  need: { request: "j/1", serviceMs: 1_000, lateAfterMs: 9_000, bytes: 4_000 },
};

function parse(text: string): FleetSettings {
  const result = parseSettings(FleetSettingsSchema, SETTINGS + text);
  if (!result.ok) throw new Error(result.faults.map((one) => one.text).join());
  return result.settings;
}

describe("the flow of a server pool", () => {
  const opened: ServerPool[] = [];

  afterEach(() => opened.splice(0).forEach((pool) => pool.close()));

  /** A pool with two servers of ten slots in each of two data centres. */
  const createPool = (text: string) => {
    const clock = new ManualClock(1_000_000);
    const log = new MemoryLog();
    const random = new SeededRandom(1);
    const metrics = new Metrics({ prefix: "test" });
    const view = new RoutingView({
      registrationIntervalMs: 600_000,
      clock,
      log,
    });
    const update = create(FleetUpdateSchema, {
      servers: ["a1", "a2", "b1", "b2"].map((id, index) => ({
        id,
        service: "s",
        address: `127.0.0.1:${index + 1}`,
        dataCentre: id.charAt(0),
        slots: 10,
        bornMs: 1n,
        sequence: 1n,
        state: ServerState.READY,
      })),
    });
    view.applyUpdate(update, "test");
    const pool = new ServerPool({
      dataCentre: "a",
      view,
      clock,
      random,
      log,
      remoteFlow: tryCreateRemoteFlow(parse(text), {
        clock,
        log,
        metrics,
        random,
      }),
    });
    opened.push(pool);
    let sequence = 0n;
    const acquire = (count: number, req = ONLINE) =>
      range(count).map(() => {
        const permit = pool.tryAcquire(req);
        // Loads are known at any time, so that nothing is out of date.
        sequence += 1n;
        const report = create(LoadReportSchema, { merged: true, sequence });
        pool.loads.acceptReport(report, clock.getMonotonicMs());
        return permit?.server.dataCentre ?? "none";
      });
    return { pool, clock, log, metrics, acquire };
  };

  it("is off without a price and a reserve", () => {
    expect(createPool("").acquire(40).join("")).equal(
      "a".repeat(20) + "b".repeat(20),
    );
    expect(createPool("remote_latency_ms = 1.4").acquire(40)).not.include(
      "none",
    );
  });

  it("keeps the reserve of the other data centre", () => {
    const { acquire, metrics } = createPool("remote_reserve = 20");
    const used = acquire(40);
    expect(used.slice(0, 20)).not.include("b");
    expect(used.filter((name) => name === "b").length).within(1, 16);
    expect(used).include("none");
    const sums = metrics.getSums();
    expect(sums["remote_sends.wait"]).equal(
      used.filter((name) => name === "b").length,
    );
    expect(Object.keys(sums).some((key) => key.startsWith("remote_stays.")))
      .equal(true);
  });

  // Guards against a request that leaves because only servers elsewhere were left
  // after those here had been set aside.
  it("counts full servers here as servers that may serve a request", () => {
    const { acquire } = createPool("remote_byte_cost = 20.5");
    acquire(20);
    const excluded = new Set(["a1"]);
    expect(acquire(1, { ...ONLINE, excluded })).deep.equal(["none"]);
    const allExcluded = new Set(["a1", "a2"]);
    expect(acquire(1, { ...ONLINE, excluded: allExcluded })).deep.equal(["b"]);
  });

  it("queues a request here if the other data centre is at its reserve", () => {
    const { acquire, pool } = createPool("remote_reserve = 90");
    acquire(20);
    acquire(4);
    expect(pool.tryAcquireQueued(ONLINE)?.server.dataCentre).equal("a");
  });

  it("keeps requests whose bytes cost more than their wait", () => {
    const { acquire } = createPool("remote_byte_cost = 20.5");
    expect(acquire(40).filter((name) => name === "b")).length(0);
    const late = { ...ONLINE, need: { ...ONLINE.need!, lateAfterMs: 10 } };
    const other = createPool("remote_byte_cost = 20.5");
    expect(other.acquire(40, late)).include("b");
  });

  it("keeps items unless they can't end in time here", () => {
    const { acquire } = createPool("remote_reserve = 20");
    expect(acquire(30, ITEM).filter((name) => name === "b")).length(0);
    const short = { ...ITEM, need: { ...ITEM.need!, lateAfterMs: 500 } };
    const other = createPool("remote_reserve = 20");
    expect(other.acquire(30, short)).include("b");
  });

  // Guards against servers without items because their runner is elsewhere.
  it("uses assigned servers of another data centre as its own", () => {
    const { acquire, metrics } = createPool("remote_reserve = 20");
    const assigned = new Set(["b"]);
    const used = acquire(41, { ...ITEM, need: { ...ITEM.need!, assigned } });
    expect(used.slice(0, 20)).not.include("b");
    expect(used.slice(20, 40)).not.include("none");
    expect(used[40]).equal("none");
    expect(metrics.getSums()["remote_sends.assigned"]).equal(20);
  });

  it("logs the request that leaves, with what decided", () => {
    const { acquire, log } = createPool("remote_reserve = 20");
    acquire(21);
    const lines = log.lines.filter((line) =>
      line.includes("event=request_leaves_data_centre")
    );
    expect(lines).length(1);
    expect(lines[0]).match(
      /request=r1 kind=online service=s server=b\d to=b reason=wait wait_ms=50 cost_ms=0 late_after_ms=60 headroom=16/,
    );
  });

  it("counts the bytes that leave the data centre, by kind", async () => {
    const metrics = new Metrics({ prefix: "test" });
    const count = createRemoteByteCounter("a", metrics);
    count("a", "requests", 100);
    count("b", "requests", 10);
    const chunks = (async function* () {
      yield await Promise.resolve(Buffer.from("123"));
      yield Buffer.from("45");
    })();
    const read: string[] = [];
    const counted = countChunks(
      chunks,
      (bytes) => count("b", "relayed", bytes),
    );
    for await (const chunk of counted) read.push(String(chunk));
    expect(read).deep.equal(["123", "45"]);
    expect(metrics.getSums()).deep.equal({
      "remote_bytes.relayed": 5,
      "remote_bytes.requests": 10,
    });
  });

  it("reads decimal settings, and rejects those out of range", () => {
    expect(parse("remote_byte_cost = 0.25").remoteByteCost).equal(0.25);
    expect(parse("remote_latency_ms = 2").remoteLatencyMs).equal(2);
    expect(parse("").remoteByteCost).equal(0);
    expect(() => parse("remote_byte_cost = -0.1")).throw("remote_byte_cost");
    expect(() => parse("remote_byte_cost = nan")).throw("a number");
    expect(() => parse('remote_latency_ms = "2"')).throw("a number");
    expect(() => parse("remote_reserve = 91")).throw("remote_reserve");
    expect(() => parse("remote_reserve = 1.5")).throw("a whole number");
  });
});
