/** Deregistrations at control hosts that do or don't know the server. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ControlHttpServer } from "../../platform/control_http_server.ts";
import { ControlHost } from "../fleet/mod.ts";
import { RegistrationHub } from "../fleet/registration_hub.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import {
  FleetSettingsSchema,
  type FleetUpdate,
  FollowRequestSchema,
  HostListSchema,
  RegistrationSchema,
  RouteTableSchema,
  ServerState,
} from "../schema/mod.ts";
import { createProcessContext } from "../services/common/process_context.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog, MemoryLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { findFreePorts } from "../sys/ports.ts";
import { sendHttpRequest } from "./platform_fleet.ts";

const PATH = "/-/instances/i-1";

const REGISTRATION = {
  Service: "s",
  Address: "10.0.0.1:80",
  Zone: "dc-a",
  Version: "v1",
  Slots: 8,
  State: "ready",
  Seq: 4,
  born: 1_700_000_000_000,
};

/** Two control hosts, and a view that follows both. */
class Hosts {
  readonly view: RoutingView;
  readonly #clock = new ManualClock();
  readonly #closers: (() => void)[] = [];

  constructor() {
    this.view = new RoutingView({
      registrationIntervalMs: 1_000,
      clock: this.#clock,
      log: createSilentLog(),
    });
  }

  async addHost(name: string): Promise<string> {
    const log = createSilentLog();
    const hub = new RegistrationHub({
      getState: () => ({
        routes: create(RouteTableSchema),
        hosts: create(HostListSchema),
      }),
      onServerChange: () => {},
      registrationIntervalMs: 1_000,
      clock: this.#clock,
      log,
      metrics: new Metrics({ prefix: "test" }),
    });
    hub.serve(create(FollowRequestSchema, { follower: "test" }), {
      send: (update) => {
        this.view.applyUpdate(update as FleetUpdate, name);
        return Promise.resolve();
      },
      closed: false,
      onClosed: () => {},
    });
    const host = {
      tryGetServer: (id: string) => hub.tryGet(id),
      register: (registration: Parameters<typeof hub.accept>[0]) =>
        hub.accept(registration),
    };
    const front = new ControlHttpServer(host as ControlHost, {
      log,
      clock: this.#clock,
    });
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    await front.listen(address);
    this.#closers.push(() => front.close());
    return address;
  }

  close(): void {
    this.#closers.forEach((close) => close());
  }
}

describe("deregistrations", () => {
  const hosts = new Hosts();
  let knowing = "";
  let unknowing = "";

  const call = async (address: string, method: string, value?: unknown) => {
    const body = value === undefined ? "" : JSON.stringify(value);
    // Node.js adds no length to a DELETE.
    const headers = { "Content-Length": String(body.length) };
    return (await sendHttpRequest(address, method, PATH, { headers, body }))
      .status;
  };

  before(async () => {
    knowing = await hosts.addHost("knowing");
    unknowing = await hosts.addHost("unknowing");
  });
  after(() => hosts.close());

  // Guards against requests to a server long after its deregistration was
  // acknowledged by a control host that did not know it.
  it("are acknowledged only by a host that can pass them on", async () => {
    expect(await call(knowing, "PUT", REGISTRATION)).equal(200);
    expect(hosts.view.servers.getReadyCount()).equal(1);
    const acknowledged: string[] = [];
    for (const address of [unknowing, knowing]) {
      if (await call(address, "DELETE") === 200) acknowledged.push(address);
      expect(hosts.view.servers.getReadyCount())
        .equal(acknowledged.length > 0 ? 0 : 1);
    }
    expect(acknowledged).deep.equal([knowing]);
    // A repeated one, whose first reply was lost.
    expect(await call(knowing, "DELETE")).equal(200);
  });

  it("with the time of the start are passed on by any host", async () => {
    const born = REGISTRATION.born + 1;
    expect(await call(knowing, "PUT", { ...REGISTRATION, born })).equal(200);
    expect(hosts.view.servers.getReadyCount()).equal(1);
    expect(await call(unknowing, "DELETE", { born })).equal(200);
    expect(hosts.view.servers.getReadyCount()).equal(0);
  });

  // Guards against a server without a time of its start that leaves once, and is kept
  // away for good when it starts again.
  it("are recorded for one start of a server, not for its id", async () => {
    const log = new MemoryLog();
    const settings = create(FleetSettingsSchema, { id: "c", ip: "127.0.0.1" });
    const host = new ControlHost(
      settings,
      createProcessContext({ name: "c", log }),
    );
    const leave = (bornMs: bigint) =>
      host.register(create(RegistrationSchema, {
        id: "i-1",
        bornMs,
        service: "s",
        address: "10.0.0.1:80",
        state: ServerState.DRAINING,
        slots: 4,
      }));
    // No group can be reached, so each attempt to record one is logged.
    const countAttempts = () =>
      log.lines.filter((line) => line.includes("departure_not_recorded"))
        .length;
    await leave(0n);
    expect(countAttempts()).equal(0);
    await leave(1n);
    expect(countAttempts()).equal(1);
  });
});
