/** Registrations of backend servers: late, duplicated and out of order. */
import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { splitLoads } from "../fleet/load_exchange.ts";
import {
  LoadTracker,
  ServerRegistry,
  StreamOrigins,
} from "../membership/mod.ts";
import {
  LoadReportSchema,
  type Registration,
  RegistrationSchema,
  ServerState,
  StreamOriginSchema,
} from "../schema/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

const HEARTBEAT_MS = 1_000;

function createRegistration(values: Partial<Registration>): Registration {
  return create(
    RegistrationSchema,
    {
      id: "a",
      bornMs: 10n,
      sequence: 1n,
      service: "s",
      address: "10.0.0.1:80",
      dataCentre: "dc",
      state: ServerState.READY,
      slots: 4,
      ...values,
    } as Parameters<typeof create<typeof RegistrationSchema>>[1],
  );
}

function createRegistry() {
  const registry = new ServerRegistry({ heartbeatMs: HEARTBEAT_MS });
  const accept = (values: Partial<Registration>, nowMs = 0) =>
    registry.accept(createRegistration(values), nowMs);
  const getAvailable = (nowMs = 0) =>
    registry.getAvailable("s", nowMs).map((one) => one.id);
  return { registry, accept, getAvailable };
}

describe("server registry", () => {
  it("ignores late registrations of a server that is leaving", () => {
    const { registry, accept, getAvailable } = createRegistry();
    expect(accept({})).equal("added");
    expect(registry.getReadyCount()).equal(1);
    expect(accept({ state: ServerState.DRAINING, sequence: 3n }))
      .equal("changed");
    expect(accept({ sequence: 2n })).equal("old");
    expect(accept({ sequence: 9n })).equal("old");
    expect(getAvailable()).deep.equal([]);
    expect(registry.getReadyCount()).equal(0);
    expect(accept({ state: ServerState.GONE, sequence: 0n })).equal("changed");
    expect(accept({ state: ServerState.DRAINING, sequence: 10n }))
      .equal("old");
  });

  it("accepts a restart with the same id, and ignores the start before", () => {
    const { accept, getAvailable } = createRegistry();
    accept({ sequence: 50n, state: ServerState.DRAINING });
    expect(accept({ bornMs: 20n, sequence: 1n })).equal("added");
    expect(accept({ bornMs: 10n, sequence: 99n })).equal("old");
    expect(getAvailable()).deep.equal(["a"]);
  });

  it("assigns an address to the server that started there last", () => {
    const { accept, getAvailable } = createRegistry();
    accept({ id: "a", bornMs: 10n });
    accept({ id: "b", bornMs: 20n });
    expect(getAvailable()).deep.equal(["b"]);
    // A delayed registration from before the second server started.
    expect(accept({ id: "a", bornMs: 10n, sequence: 7n })).equal("old");
    expect(getAvailable()).deep.equal(["b"]);
  });

  it("counts missed heartbeats only while control hosts are heard", () => {
    const { registry, accept, getAvailable } = createRegistry();
    accept({}, 0);
    registry.recordControlContact(0);
    expect(getAvailable(60_000)).deep.equal(["a"]);
    range(10).forEach((beat) =>
      registry.recordControlContact((beat + 1) * HEARTBEAT_MS)
    );
    expect(getAvailable(10 * HEARTBEAT_MS)).deep.equal([]);
    registry.recordHeartbeat("a", 10 * HEARTBEAT_MS);
    expect(getAvailable(10 * HEARTBEAT_MS)).deep.equal(["a"]);
  });

  // Guards against gateways that refuse all requests when control hosts are back,
  // until the servers have sent another heartbeat.
  it("does not count the time in which no control host was heard as silence", () => {
    const { registry, accept, getAvailable } = createRegistry();
    accept({}, 0);
    accept({ id: "b", address: "10.0.0.2:80" }, 0);
    const hear = (beats: readonly number[]) =>
      beats.forEach((beat) => {
        registry.recordControlContact(beat * HEARTBEAT_MS);
        registry.recordHeartbeat("a", beat * HEARTBEAT_MS);
      });
    hear(range(6));
    expect(getAvailable(5 * HEARTBEAT_MS), "before").deep.equal(["a"]);
    // From here on, control hosts hear of neither server.
    const returnMs = 20 * HEARTBEAT_MS;
    registry.recordControlContact(returnMs);
    expect(getAvailable(returnMs), "after").deep.equal(["a"]);
    range(4).forEach((beat) =>
      registry.recordControlContact(returnMs + (beat + 1) * HEARTBEAT_MS)
    );
    expect(getAvailable(returnMs + 4 * HEARTBEAT_MS)).deep.equal(["a"]);
    registry.recordControlContact(returnMs + 5 * HEARTBEAT_MS);
    expect(getAvailable(returnMs + 5 * HEARTBEAT_MS)).deep.equal([]);
  });

  // Guards against servers that left or crashed long ago passing for running ones
  // at a process that has just started.
  it("counts the silence before a registration was passed on", () => {
    const { registry, getAvailable } = createRegistry();
    const silentMs = 10 * HEARTBEAT_MS;
    registry.accept(createRegistration({}), 100, { silentMs });
    registry.recordControlContact(100);
    expect(getAvailable(100)).deep.equal([]);
    registry.accept(createRegistration({ sequence: 2n }), 200, { silentMs: 0 });
    registry.recordControlContact(200);
    expect(getAvailable(200)).deep.equal(["a"]);
    registry.accept(createRegistration({ sequence: 3n }), 300, { silentMs });
    registry.recordControlContact(300);
    expect(getAvailable(300)).deep.equal(["a"]);
  });

  it("backs off longer each time a server fails again", () => {
    const { registry, accept, getAvailable } = createRegistry();
    accept({ id: "b", address: "10.0.0.2:80" });
    accept({});
    const isBackingOff = (nowMs: number) => !getAvailable(nowMs).includes("a");
    // Requests that fail at about the same time count as one failure.
    [0, 10, 400].forEach((nowMs) => registry.backOff("a", nowMs, 500));
    expect(isBackingOff(499)).equal(true);
    expect(isBackingOff(500)).equal(false);
    registry.backOff("a", 600, 500);
    expect(isBackingOff(1_599)).equal(true);
    expect(isBackingOff(1_600)).equal(false);
    registry.backOff("a", 2_000, 500);
    expect(isBackingOff(3_999)).equal(true);
    registry.recordResponse("a");
    registry.backOff("a", 5_000, 500);
    expect(isBackingOff(5_500)).equal(false);
    for (let nowMs = 6_000; nowMs < 60_000; nowMs += 9_000) {
      registry.backOff("a", nowMs, 500);
      expect(isBackingOff(nowMs + 8_000)).equal(false);
    }
    registry.backOff("a", 70_000, 500);
    // A restart resets the back-off.
    accept({ bornMs: 20n }, 70_001);
    expect(isBackingOff(70_002)).equal(false);
  });

  it("excludes a silent server until it has registered again", () => {
    const { registry, accept, getAvailable } = createRegistry();
    accept({ id: "b", address: "10.0.0.2:80" });
    accept({});
    registry.recordControlContact(0);
    registry.backOffSilent("a", 0, 500);
    expect(getAvailable(600), "no registrations at all").include("a");
    registry.recordControlContact(2 * HEARTBEAT_MS);
    registry.recordHeartbeat("b", 2 * HEARTBEAT_MS);
    expect(getAvailable(2 * HEARTBEAT_MS), "registrations of others only")
      .not.include("a");
    registry.recordHeartbeat("a", 2 * HEARTBEAT_MS + 1);
    expect(getAvailable(2 * HEARTBEAT_MS + 2)).include("a");
  });

  it("backs off after a failure, and excludes an identity mismatch", () => {
    const { registry, accept, getAvailable } = createRegistry();
    accept({});
    registry.backOff("a", 0, 500);
    expect(getAvailable(499), "only server").deep.equal(["a"]);
    accept({ id: "b", address: "10.0.0.2:80" });
    expect(getAvailable(499)).deep.equal(["b"]);
    expect(getAvailable(500)).deep.equal(["a", "b"]);
    registry.recordIdentityMismatch("a");
    expect(getAvailable(500)).deep.equal(["b"]);
    accept({ sequence: 2n });
    expect(getAvailable(500)).deep.equal(["a", "b"]);
  });
});

describe("servers that say in a response that they leave", () => {
  const SEEDS = 20;

  // Guards against a late or repeated registration that brings one back.
  it("accept requests again only in another start, in whichever order registrations arrive", () => {
    range(SEEDS).forEach((seed) => {
      const random = new SeededRandom(seed);
      const { registry, accept, getAvailable } = createRegistry();
      const leaving = new Map<string, bigint>();
      range(300).forEach((step) => {
        const id = `s${random.getIntegerBelow(3)}`;
        const bornMs = BigInt(1 + random.getIntegerBelow(1 + step / 60));
        const start = registry.tryGet(id);
        if (random.getFraction() < 0.1 && start !== undefined) {
          registry.recordLeaving(start);
          leaving.set(`${id}/${start.bornMs}`, start.bornMs);
        } else {
          const state = random.getFraction() < 0.9
            ? ServerState.READY
            : ServerState.GONE;
          accept({
            id,
            bornMs,
            sequence: BigInt(random.getIntegerBelow(100)),
            address: `10.0.0.${random.getIntegerBelow(4)}:80`,
            state,
          }, step * 500);
        }
        getAvailable(step * 500).forEach((available) => {
          const known = registry.tryGet(available);
          expect(leaving.has(`${available}/${known?.bornMs}`), `seed ${seed}`)
            .equal(false);
        });
      });
      accept({ id: "s0", bornMs: 1_000n, address: "10.0.0.9:80" }, 200_000);
      expect(getAvailable(200_000), `seed ${seed}`).include("s0");
    });
  });

  it("are remembered for a bounded number of starts", () => {
    const { registry } = createRegistry();
    range(5_000).forEach((index) =>
      registry.recordLeaving({ id: `s${index}`, bornMs: 1n })
    );
    expect(registry.isLeaving({ id: "s0", bornMs: 1n })).equal(false);
    expect(registry.isLeaving({ id: "s4999", bornMs: 1n })).equal(true);
    expect(registry.recordLeaving({ id: "s4999", bornMs: 1n })).equal(false);
  });
});

describe("software versions", () => {
  // Guards against a stream going on at a server that may have been started again
  // with other software while no control host ran.
  it("are not relied upon for a restored registration until it is heard of", () => {
    const { registry } = createRegistry();
    const getIds = (version?: string) =>
      registry.getAvailable("s", 20, version).map(({ id }) => id);
    const restored = createRegistration({ softwareVersion: "v1" });
    registry.accept(restored, 10, { isRestored: true });
    expect(getIds()).deep.equal(["a"]);
    expect(getIds("v1")).deep.equal([]);
    registry.recordHeartbeat("a", 20);
    expect(getIds("v1")).deep.equal(["a"]);
    const again = createRegistration({ softwareVersion: "v1", sequence: 2n });
    registry.accept(again, 30, { isRestored: true });
    expect(getIds("v1")).deep.equal(["a"]);
  });

  // Guards against a stream going on at a server that was started again with
  // other software under its id.
  it("are not relied upon for an unreachable server until it is heard of", () => {
    const { registry, accept } = createRegistry();
    accept({ softwareVersion: "v1" });
    const getIds = (version: string) =>
      registry.getAvailable("s", 10, version).map(({ id }) => id);
    registry.recordUnreachable("a", 5);
    expect(getIds("v1")).deep.equal([]);
    accept({ bornMs: 20n, softwareVersion: "v2" }, 8);
    expect(getIds("v1")).deep.equal([]);
    expect(getIds("v2")).deep.equal(["a"]);
    registry.recordUnreachable("a", 9);
    // It may have been sent before: control hosts pass heartbeats on once a second.
    registry.recordHeartbeat("a", 1_009);
    expect(getIds("v2")).deep.equal([]);
    registry.recordHeartbeat("a", 1_010);
    expect(getIds("v2")).deep.equal(["a"]);
  });
});

describe("stream origins", () => {
  const createOrigin = (request: string, softwareVersion = "v1") =>
    create(StreamOriginSchema, { request, service: "s", softwareVersion });

  it("are kept for a time", () => {
    const origins = new StreamOrigins();
    origins.add(createOrigin("a"), 0);
    origins.add(createOrigin("a"), 10);
    expect(origins.tryGet("a")?.softwareVersion).equal("v1");
    origins.add(createOrigin("b"), 200_000);
    expect(origins.tryGet("a")).equal(undefined);
    expect(origins.isConflicting("a")).equal(false);
  });

  // Guards against a stream going on at the version of another stream that began
  // under the same id.
  it("of a request that has two are not told", () => {
    const origins = new StreamOrigins();
    origins.add(createOrigin("a"), 0);
    origins.add(createOrigin("a", "v2"), 10);
    origins.add(createOrigin("a"), 20);
    expect(origins.tryGet("a")).equal(undefined);
    expect(origins.isConflicting("a")).equal(true);
    origins.addConflict("b", 30);
    origins.add(createOrigin("b"), 40);
    expect(origins.tryGet("b")).equal(undefined);
    expect(origins.isConflicting("b")).equal(true);
  });

  it("are bounded in number, and drop the oldest", () => {
    const origins = new StreamOrigins();
    range(50_010).forEach((index) => origins.add(createOrigin(`r${index}`), 0));
    expect(origins.size).equal(50_000);
    expect(origins.tryGet("r9")).equal(undefined);
    expect(origins.tryGet("r50009")).not.equal(undefined);
  });
});

describe("load tracker", () => {
  const report = (sender: string, sequence: bigint, online: number) =>
    create(LoadReportSchema, {
      sender,
      sequence,
      loads: [{ server: "a", online, batch: 0 }],
    });

  it("adds own requests to the newest report of each other process", () => {
    const tracker = new LoadTracker();
    tracker.begin("a", "online");
    tracker.begin("a", "batch");
    tracker.acceptReport(report("x", 2n, 3), 0);
    expect(tracker.acceptReport(report("x", 1n, 9), 0)).equal(false);
    tracker.acceptReport(report("y", 1n, 1), 0);
    expect(tracker.getBusyCount("a", 0)).equal(6);
    tracker.end("a", "batch");
    expect(tracker.getBusyCount("a", 0)).equal(5);
    expect(tracker.getBusyCount("a", 5_000), "reports have expired").equal(1);
  });

  it("uses the server's own total if it is higher", () => {
    const tracker = new LoadTracker();
    tracker.recordServerTotal("a", 6, 0);
    tracker.begin("a", "online");
    expect(tracker.getBusyCount("a", 100)).equal(7);
    expect(tracker.getBusyCount("a", 1_000)).equal(1);
  });

  it("uses the newest merged report, whichever process sent it", () => {
    const tracker = new LoadTracker();
    const merged = (sender: string, sequence: bigint, online: number) => ({
      ...report(sender, sequence, online),
      merged: true,
    });
    tracker.acceptReport(merged("x", 90n, 3), 0);
    tracker.acceptReport(merged("y", 5n, 4), 10);
    expect(tracker.getBusyCount("a", 20)).equal(4);
    expect(tracker.acceptReport(merged("y", 4n, 9), 20)).equal(false);
    expect(tracker.getBusyCount("a", 20)).equal(4);
  });

  it("adds up the parts of a report, and drops parts beyond the last", () => {
    const tracker = new LoadTracker();
    const loads = Array.from({ length: 100 }, (_, index) => ({
      ...create(LoadReportSchema, {
        loads: [{ server: `s${index}`, online: index + 1, batch: 0 }],
      }).loads[0],
    })) as Parameters<typeof splitLoads>[0];
    const send = (of: typeof loads, sequence: number) =>
      splitLoads(of).forEach((part, index, all) =>
        tracker.acceptReport(
          create(LoadReportSchema, {
            sender: "x",
            sequence: BigInt(sequence + index),
            loads: part,
            merged: true,
            part: index,
            parts: all.length,
          }),
          0,
        )
      );
    send(loads, 1);
    const getAll = () =>
      loads.map((load) => tracker.getBusyCount(load.server, 0));
    expect(splitLoads(loads).length).greaterThan(1);
    splitLoads(loads).forEach((part) => {
      const report = create(LoadReportSchema, { loads: [...part] });
      expect(toBinary(LoadReportSchema, report).length).lessThan(1_472);
    });
    expect(getAll()).deep.equal(loads.map((load) => load.online));
    send(loads.slice(0, 3), 50);
    expect(getAll().filter((busy) => busy > 0)).deep.equal([1, 2, 3]);
  });

  it("excludes the loads of the receiver from its merged loads", () => {
    const tracker = new LoadTracker();
    tracker.begin("a", "batch");
    tracker.acceptReport(report("x", 1n, 3), 0);
    tracker.acceptReport(report("y", 1n, 2), 0);
    const [merged] = tracker.getMerged(0, "x");
    expect(merged).include({ server: "a", online: 2, batch: 1 });
  });
});
