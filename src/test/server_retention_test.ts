/**
 * Servers that are not heard of any more, and registrations without number: what
 * is kept of them is bounded, and sound servers don't pay for it.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { RegistrationHub } from "../fleet/registration_hub.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import {
  ServerRegistry,
  type ServerRegistryOptions,
} from "../membership/mod.ts";
import {
  type FleetUpdate,
  FollowRequestSchema,
  HostListSchema,
  type Registration,
  RegistrationSchema,
  RouteTableSchema,
  ServerState,
} from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

const HEARTBEAT_MS = 1_000;
const RETENTION_MS = 600_000;
const TOMBSTONE_MS = 120_000;

function createRegistration(values: Partial<Registration>): Registration {
  return create(
    RegistrationSchema,
    {
      bornMs: 10n,
      sequence: 1n,
      service: "s",
      dataCentre: "dc",
      state: ServerState.READY,
      slots: 4,
      ...values,
    } as Parameters<typeof create<typeof RegistrationSchema>>[1],
  );
}

/** A registry, and servers that register there with increasing numbers. */
function createRegistry(options: Partial<ServerRegistryOptions> = {}) {
  const forgotten: string[] = [];
  const registry = new ServerRegistry({
    heartbeatMs: HEARTBEAT_MS,
    retentionMs: RETENTION_MS,
    onForgotten: ({ id }) => forgotten.push(id),
    ...options,
  });
  let sequence = 0n;
  const ping = (
    id: string,
    nowMs: number,
    values: Partial<Registration> = {},
  ) => {
    sequence += 1n;
    const address = `${id}.example:80`;
    return registry.accept(
      createRegistration({ id, sequence, address, ...values }),
      nowMs,
    );
  };
  const getIds = () => registry.getAll().map(({ id }) => id);
  return { registry, ping, getIds, forgotten };
}

function createHub() {
  const clock = new ManualClock();
  let changes = 0;
  const hub = new RegistrationHub({
    getState: () => ({
      routes: create(RouteTableSchema),
      hosts: create(HostListSchema),
    }),
    onServerChange: () => {
      changes += 1;
    },
    registrationIntervalMs: HEARTBEAT_MS,
    clock,
    log: createSilentLog(),
    metrics: new Metrics({ prefix: "test" }),
  });
  hub.start();
  const follow = () => {
    const view = new RoutingView({
      registrationIntervalMs: HEARTBEAT_MS,
      clock,
      log: createSilentLog(),
    });
    let isReached = true;
    hub.serve(create(FollowRequestSchema, { follower: "test" }), {
      send: (update) => {
        if (isReached) view.applyUpdate(update as FleetUpdate, "host");
        return Promise.resolve();
      },
      closed: false,
      onClosed: () => {},
    });
    return { view, cutOff: () => (isReached = false) };
  };
  let sequence = 0n;
  const ping = (id: string, values: Partial<Registration> = {}) => {
    sequence += 1n;
    const address = `${id}.example:80`;
    hub.accept(createRegistration({ id, sequence, address, ...values }));
  };
  return { hub, clock, follow, ping, getChanges: () => changes };
}

/** Lets the promises of a hub's sends settle. */
const settle = () => new Promise((resolve) => setImmediate(resolve));

describe("servers that are not heard of", () => {
  // Guards against entries of other writers that stay for ever in memory, in each
  // update to a new follower and in the file of the last view.
  it("are forgotten after a time of listening", () => {
    const { ping, getIds, forgotten } = createRegistry();
    ping("odd", 0);
    range(600).forEach((second) => ping("sound", second * 1_000));
    expect(getIds()).have.members(["odd", "sound"]);
    range(10).forEach((second) => ping("sound", 600_000 + second * 1_000));
    expect(getIds()).deep.equal(["sound"]);
    expect(forgotten).deep.equal(["odd"]);
  });

  // Guards against a control host, or a gateway, that has forgotten all servers
  // when a cut or its suspension ends.
  it("are kept while nothing is heard at all", () => {
    const { registry, ping, getIds } = createRegistry();
    range(20).forEach((index) => ping(`s${index}`, 0));
    ping("s0", 100 * RETENTION_MS);
    registry.recordControlContact(200 * RETENTION_MS);
    expect(getIds()).lengthOf(20);
  });

  // Guards against a late registration that brings back a server that left.
  it("are kept as tombstones for as long as before", () => {
    const { ping, getIds } = createRegistry({ maxServers: 10 });
    ping("gone", 0);
    ping("gone", 0, { state: ServerState.GONE });
    ping("sound", 0);
    range(120).forEach((second) => {
      ping("sound", second * 1_000);
      range(50).forEach((index) =>
        ping(`odd-${second}-${index}`, second * 1_000)
      );
    });
    expect(ping("gone", TOMBSTONE_MS)).equal("old");
    expect(getIds()).include.members(["gone", "sound"]);
    ping("sound", TOMBSTONE_MS + 2_000);
    expect(getIds()).not.include("gone");
  });

  // Guards against the same for tombstones that nobody needs.
  it("are bounded as tombstones of servers that were never registered", () => {
    const { registry, ping } = createRegistry();
    ping("known", 0);
    ping("known", 0, { state: ServerState.GONE });
    range(20_000).forEach((index) =>
      ping(`odd-${index}`, 0, {
        state: ServerState.GONE,
        address: "",
        service: "",
      })
    );
    expect(registry.getAll()).lengthOf(8_193);
    expect(registry.tryGet("known")?.state).equal(ServerState.GONE);
    expect(registry.tryGet("odd-19999")?.state).equal(ServerState.GONE);
  });

  // Guards against a gateway that forgot a server and never learns of it again,
  // because its control host sends only the ids of servers without changes.
  it("are sent to followers whole when they come back", async () => {
    const { clock, follow, ping } = createHub();
    ping("back");
    const { view } = follow();
    const runFor = async (seconds: number) => {
      for (let second = 0; second < seconds; second += 1) {
        // Too rare for the control host to count as listening all the time.
        if (second % 60 === 0) ping("sound");
        clock.advance(1_000);
        await settle();
      }
    };
    await runFor(1_850);
    expect(view.servers.tryGet("back")).equal(undefined);
    ping("back");
    clock.advance(1_000);
    await settle();
    expect(view.servers.tryGet("back")?.id).equal("back");
  });

  it("are not sent to new followers, nor kept in the last view", () => {
    const { hub, clock, follow, ping, getChanges } = createHub();
    ping("odd");
    const changes = getChanges();
    range(700).forEach(() => {
      ping("sound");
      clock.advance(1_000);
    });
    expect(hub.getAll().map(({ id }) => id)).deep.equal(["sound"]);
    expect(getChanges()).equal(changes + 2);
    expect(follow().view.servers.getAll().map(({ id }) => id))
      .deep.equal(["sound"]);
  });
});

describe("registrations without number", () => {
  // Guards against sound servers that are pushed out by thousands of others.
  it("don't push out servers that register at their interval", () => {
    const { registry, ping, getIds } = createRegistry({ maxServers: 100 });
    const sound = range(50).map((index) => `sound-${index}`);
    range(60).forEach((second) => {
      const known = second < 30 ? sound.slice(0, 40) : sound;
      known.forEach((id) => ping(id, second * 1_000));
      range(45).forEach((index) =>
        ping(`odd-${second}-${index}`, second * 1_000)
      );
      expect(getIds(), `second ${second}`).include.members(known);
      expect(registry.getAll().length).most(100);
    });
  });

  it("make room when they are silent, or were heard of once", () => {
    const { ping, getIds } = createRegistry({ maxServers: 3 });
    ["a", "b", "c"].forEach((id) => [0, 1_000].forEach((ms) => ping(id, ms)));
    expect(ping("d", 2_000)).equal("refused");
    // A new start under the same id or at the same address needs no room.
    expect(ping("a", 2_000, { bornMs: 20n })).equal("added");
    expect(ping("e", 2_000, { bornMs: 20n, address: "b.example:80" }))
      .equal("added");
    expect(getIds()).have.members(["a", "c", "e"]);
    range(20).forEach((second) =>
      ["a", "e"].forEach((id) =>
        ping(id, 2_000 + second * 1_000, { bornMs: 20n })
      )
    );
    expect(ping("f", 22_000)).equal("added");
    expect(getIds()).not.include("c");
    expect(ping("g", 22_000)).equal("added");
    expect(getIds()).not.include("f");
  });

  it("don't count while they have left", () => {
    const { ping } = createRegistry({ maxServers: 2 });
    ["a", "b"].forEach((id) => {
      ping(id, 0);
      ping(id, 0);
      ping(id, 0, { state: ServerState.GONE });
    });
    ["c", "d"].forEach((id) => [0, 0].forEach((ms) => ping(id, ms)));
    expect(ping("e", 0)).equal("refused");
    expect(ping("a", 0, { bornMs: 20n })).equal("refused");
  });
});

describe("server registry indexes", () => {
  const SEEDS = 20;

  // Guards against servers that are looked up by service or address under what
  // they were registered with before.
  it("agree with the registered servers", () => {
    range(SEEDS).forEach((seed) => {
      const random = new SeededRandom(seed);
      const { registry, ping } = createRegistry({ maxServers: 12 });
      range(500).forEach((step) => {
        ping(`s${random.getIntegerBelow(20)}`, step * 400, {
          service: `service-${random.getIntegerBelow(3)}`,
          address: `10.0.0.${random.getIntegerBelow(15)}:80`,
          bornMs: BigInt(random.getIntegerBelow(3) + Math.floor(step / 100)),
          state: random.getFraction() < 0.8
            ? ServerState.READY
            : ServerState.GONE,
        });
        const all = registry.getAll();
        const addresses = all.map(({ address }) => address);
        expect(new Set(addresses).size, `seed ${seed}`).equal(all.length);
        range(3).map((index) => `service-${index}`).forEach((service) => {
          const expected = all.filter((server) =>
            server.service === service && server.state === ServerState.READY
          ).map(({ id }) => id);
          const available = registry.getAvailable(service, step * 400)
            .map(({ id }) => id);
          expect(available, `seed ${seed}`).have.members(expected);
        });
      });
    });
  });
});
