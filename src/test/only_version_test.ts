/**
 * Whether the servers of a service can have begun a stream with one software version
 * only, as a gateway finds it out from control hosts that know what registered with
 * each of them.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { OnlyVersionFinder } from "../fleet/only_version_finder.ts";
import { RegistrationHub } from "../fleet/registration_hub.ts";
import { SoftwareVersions } from "../membership/mod.ts";
import {
  HostListSchema,
  HostRole,
  RegistrationSchema,
  RouteTableSchema,
  ServerState,
} from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { range } from "./fleet_helpers.ts";

/** Longest duration of a stream, in milliseconds. */
const MAX_STREAM_MS = 60_000;

const HEARTBEAT_MS = 1_000;

function createHosts(count: number) {
  return create(HostListSchema, {
    version: BigInt(count),
    hosts: range(count).map((index) => ({
      id: `c-${index}`,
      role: HostRole.CONTROL,
      address: `c-${index}`,
    })),
  });
}

/** Control hosts with a clock of their own each, and the finder of one gateway. */
class ControlHosts {
  readonly clocks: ManualClock[] = [];
  readonly #hubs = new Map<string, RegistrationHub>();
  /** Hosts that don't reply to the gateway. */
  readonly silent = new Set<string>();
  /** Hosts as the gateway knows them; by default, as they are. */
  knownHosts = createHosts(0);
  #hosts = createHosts(0);
  readonly finder = new OnlyVersionFinder({
    getHosts: () => this.knownHosts,
    query: (address, service) => {
      const hub = this.#hubs.get(address);
      return this.silent.has(address) || hub === undefined
        ? Promise.reject(new Error(`no answer from ${address}`))
        : Promise.resolve(hub.findSoftwareVersions(service));
    },
    log: createSilentLog(),
  });

  constructor(count: number) {
    range(count).forEach(() => this.add());
  }

  /** Adds a host that all but the gateway hear of. */
  addUnknown(): void {
    const index = this.clocks.length;
    this.clocks.push(new ManualClock());
    this.#hosts = createHosts(index + 1);
    this.restart(index);
  }

  add(): void {
    this.addUnknown();
    this.knownHosts = this.#hosts;
  }

  restart(index: number): void {
    const clock = this.clocks[index] ?? new ManualClock();
    this.#hubs.set(
      `c-${index}`,
      new RegistrationHub({
        getState: () => ({
          routes: create(RouteTableSchema),
          hosts: this.#hosts,
        }),
        onServerChange: () => {},
        registrationIntervalMs: HEARTBEAT_MS,
        clock,
        log: createSilentLog(),
        metrics: new Metrics({ prefix: "test" }),
      }),
    );
  }

  /** A server registers at one of the hosts. */
  register(index: number, softwareVersion: string, values = {}): void {
    const nowMs = this.clocks[index]?.getMonotonicMs() ?? 0;
    this.#hubs.get(`c-${index}`)?.accept(create(RegistrationSchema, {
      id: softwareVersion,
      bornMs: 1n,
      sequence: BigInt(nowMs),
      service: "s",
      address: `10.0.0.${softwareVersion.length}:80`,
      state: ServerState.READY,
      slots: 4,
      softwareVersion,
      ...values,
    }));
  }

  advance(ms: number): void {
    this.clocks.forEach((clock) => clock.advance(ms));
  }
}

describe("the only software version of a service", () => {
  let hosts: ControlHosts;

  const find = () => hosts.finder.find("s");

  /** Lets time pass in which servers of v1 send heartbeats to the first host. */
  const serveV1 = (ms: number) =>
    range(ms / HEARTBEAT_MS).forEach(() => {
      hosts.register(0, "v1");
      hosts.advance(HEARTBEAT_MS);
    });

  beforeEach(() => {
    hosts = new ControlHosts(3);
    serveV1(MAX_STREAM_MS);
  });

  it("is known if all control hosts have heard of no other", async () => {
    expect(await find()).equal("v1");
  });

  // Guards against a gateway going by what it heard itself: it may have been cut off
  // or have stood still while the other version joined.
  it("is unknown once another one has registered at any host", async () => {
    hosts.register(2, "v2");
    expect(await find()).equal(undefined);
  });

  it("is known again when another one left longer ago than a stream lasts", async () => {
    hosts.register(2, "v2");
    hosts.register(2, "v2", { state: ServerState.GONE });
    serveV1(MAX_STREAM_MS - HEARTBEAT_MS);
    expect(await find()).equal(undefined);
    serveV1(HEARTBEAT_MS);
    expect(await find()).equal("v1");
  });

  // Guards against versions that only a silent host knows.
  it("is unknown while a control host does not reply", async () => {
    hosts.silent.add("c-1");
    expect(await find()).equal(undefined);
    hosts.silent.clear();
    expect(await find()).equal("v1");
  });

  // Guards against versions that a host knew before its start.
  it("is unknown for a time after a control host has started", async () => {
    hosts.register(1, "v0");
    hosts.restart(1);
    serveV1(MAX_STREAM_MS - HEARTBEAT_MS);
    expect(await find()).equal(undefined);
    serveV1(HEARTBEAT_MS);
    expect(await find()).equal("v1");
  });

  // Guards against versions that only a host knows that this gateway doesn't.
  it("is unknown while another control host was added unheard", async () => {
    hosts.addUnknown();
    hosts.register(3, "v2");
    serveV1(MAX_STREAM_MS);
    hosts.register(3, "v2");
    expect(await find()).equal(undefined);
  });

  // Guards against a host that forgets a version in a suspension: its own clock
  // stands still then, and so does the time that it counts.
  it("is unknown while a host was suspended after another one registered", async () => {
    hosts.register(2, "v2");
    const [first, second] = hosts.clocks;
    range(MAX_STREAM_MS / HEARTBEAT_MS).forEach(() => {
      hosts.register(0, "v1");
      first?.advance(HEARTBEAT_MS);
      second?.advance(HEARTBEAT_MS);
    });
    hosts.clocks[2]?.stepWall(MAX_STREAM_MS);
    expect(await find()).equal(undefined);
  });

  it("is unknown if no control host is known", async () => {
    hosts.knownHosts = createHosts(0);
    expect(await find()).equal(undefined);
  });

  it("is unknown if no server of the service has registered lately", async () => {
    hosts.advance(MAX_STREAM_MS);
    expect(await find()).equal(undefined);
  });
});

describe("software versions at one control host", () => {
  it("count also with a registration that is older than a newer start", () => {
    const versions = new SoftwareVersions({ startMs: 0, maxStreamMs: 10 });
    versions.record({ service: "s", softwareVersion: "v2" }, 1);
    versions.record({ service: "s", softwareVersion: "v1" }, 2);
    versions.record({ service: "t", softwareVersion: "v3" }, 3);
    expect(versions.getRecent("s", 10)).have.members(["v1", "v2"]);
    expect(versions.getRecent("s", 11)).deep.equal(["v1"]);
    expect(versions.getRecent("s", 12)).deep.equal([]);
    expect(versions.isComplete(9)).equal(false);
    expect(versions.isComplete(10)).equal(true);
  });
});
