/**
 * Patterns: all connections of a host fail or hang at once; connections live on while
 * new ones are refused; single servers fail, are silent for a second, or crash in
 * numbers while others serve.
 */
import { expect } from "chai";
import { ServerReachability } from "../fleet/server_reachability.ts";
import { GatewayRegistry } from "../membership/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { ConnectProbe, ProbeResult } from "../sys/connect_probe.ts";
import { createSilentLog } from "../sys/log.ts";

/** A probe whose results the test sets. */
class FakeProbe extends ConnectProbe {
  readonly probed: string[] = [];
  reached: ReadonlySet<string> = new Set();

  override probe(address: string): Promise<ProbeResult> {
    this.probed.push(address);
    return Promise.resolve(
      this.reached.has(address) ? ProbeResult.connected : ProbeResult.silent,
    );
  }
}

describe("the reachability of servers", () => {
  const clock = new SystemClock();
  const ids = ["a", "b", "c", "d", "e"];
  let probe: FakeProbe;
  let reachability: ServerReachability;
  let serverIds: string[];

  beforeEach(() => {
    serverIds = ids;
    probe = new FakeProbe(clock);
    reachability = new ServerReachability({
      getServers: () => serverIds.map((id) => ({ id, address: id })),
      probe,
      clock,
      log: createSilentLog(),
    });
  });

  afterEach(() => reachability.close());

  const fail = async (...servers: string[]) => {
    servers.forEach((server) => reachability.recordUnreachable(server));
    await clock.delay(0);
  };

  it("is lost when several servers fail and probes reach none", async () => {
    await fail("a", "b");
    expect(reachability.isCutOff).equal(false);
    await fail("c");
    expect(reachability.isCutOff).equal(true);
  });

  it("is lost when all of few servers fail", async () => {
    serverIds = ["a"];
    await fail("a");
    expect(reachability.isCutOff).equal(true);
  });

  it("stays when one server fails again and again", async () => {
    for (let index = 0; index < 10; index += 1) await fail("a");
    expect(probe.probed).deep.equal([]);
    expect(reachability.isCutOff).equal(false);
  });

  it("stays when several servers crash while others serve", async () => {
    probe.reached = new Set(["a", "b"]);
    await fail("c", "d", "e");
    expect(reachability.isCutOff).equal(false);
    // Further failures send no probes for a while.
    const count = probe.probed.length;
    await fail("c", "d", "e");
    expect(probe.probed.length).equal(count);
  });

  it("stays when a connection succeeds between failures", async () => {
    await fail("a", "b");
    reachability.recordConnected();
    await fail("c", "d");
    expect(reachability.isCutOff).equal(false);
  });

  it("comes back with the first probe that reaches a server", async () => {
    await fail("a", "b", "c");
    probe.reached = new Set(["e"]);
    for (let poll = 0; poll < 200 && reachability.isCutOff; poll += 1) {
      await clock.delay(20);
    }
    expect(reachability.isCutOff).equal(false);
  });
});

describe("the registry of gateways", () => {
  const add = (registry: GatewayRegistry, name: string, nowMs: number) =>
    registry.record({
      name,
      address: `${name}:1`,
      dataCentre: "dc-1",
      acceptsRelayed: true,
    }, nowMs);

  it("names neither the one that asks, nor silent ones, nor those cut off", () => {
    const registry = new GatewayRegistry();
    ["a", "b", "c", "d"].forEach((name) => add(registry, name, 0));
    ["a", "b", "c"].forEach((name) => add(registry, name, 600));
    registry.record({
      name: "b",
      address: "b:1",
      dataCentre: "dc-1",
      acceptsRelayed: false,
    }, 700);
    expect(registry.find("a", 1_000)).deep.equal([
      { address: "c:1", dataCentre: "dc-1" },
    ]);
  });

  // Guards against a few gateways that get the requests of all that are cut off.
  it("spreads 60 gateways that ask over the 40 that serve", () => {
    const registry = new GatewayRegistry();
    Array.from({ length: 40 }, (_, index) => add(registry, `up-${index}`, 0));
    const counts = new Map<string, number>();
    Array.from(
      { length: 60 },
      (_, index) => registry.find(`cut-${index}`, 0),
    ).forEach((found) => {
      expect(found.length).equal(16);
      found.forEach(({ address }) =>
        counts.set(address, (counts.get(address) ?? 0) + 1 / found.length)
      );
    });
    expect(counts.size).equal(40);
    expect(Math.max(...counts.values())).at.most(2 * 60 / 40);
  });
});
