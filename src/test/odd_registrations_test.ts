/**
 * Registrations of other writers with values that no server has: none of them
 * may keep a process from anything that the others say.
 */
import { create, fromBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { decodeRegistration } from "../../platform/registration_codec.ts";
import { LastViewWriter } from "../fleet/last_view.ts";
import { RegistrationHub } from "../fleet/registration_hub.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import {
  Fleet,
  type FleetUpdate,
  FleetUpdateSchema,
  HostListSchema,
  MessageCode,
  type Registration,
  RegistrationSchema,
  RouteTableSchema,
  ServerState,
} from "../schema/mod.ts";
import { parseAnnouncement } from "../services/control/announcement_body.ts";
import { ManualClock, SystemClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import { createSilentLog, MemoryLog } from "../sys/log.ts";
import { MetricName, Metrics } from "../sys/metrics.ts";
import { createCredentials, RpcClient, RpcServer } from "../sys/rpc.ts";
import { MemoryFolder } from "./memory_folder.ts";

const WIRE = {
  Service: "s",
  Address: "10.128.0.9:8080",
  Zone: "dc-a",
  Version: "v1",
  Slots: 8,
  State: "ready",
  ColdLeftMs: 0,
  Seq: 4,
  born: 1_700_000_000_000,
};

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

const ODD_VALUES: Partial<Registration>[] = [
  { slots: 2 ** 32 },
  { slots: -1 },
  { slots: 1.5 },
  { slots: 100_000 },
  { bornMs: -1n },
  { bornMs: 1n << 64n },
  { sequence: 1n << 64n },
  { address: "127.0.0.1:80800" },
  { address: "127.0.0.1:65536" },
  { address: "127.0.0.1:0" },
  { address: "999.0.0.1:80" },
  { address: "10.0.0:80" },
  { address: "010.0.0.1:80" },
  { address: "" },
  { service: "" },
  { service: "x".repeat(1_000) },
  { dataCentre: "a\nb" },
  { softwareVersion: "\ud800" },
  { id: "" },
  { id: "a b" },
  { id: "a\r\nX-Other: 1" },
  { id: "é\u2028" },
  { id: "x".repeat(1_000) },
  { state: 9 as ServerState },
];

function isRefused(action: () => unknown): boolean {
  try {
    action();
    return false;
  } catch (error) {
    return error instanceof ServingError &&
      error.code === MessageCode.BODY_MALFORMED;
  }
}

function createHub(getState = createEmptyState) {
  const log = new MemoryLog();
  const metrics = new Metrics({ prefix: "test" });
  const hub = new RegistrationHub({
    getState,
    onServerChange: () => {},
    registrationIntervalMs: 1_000,
    clock: new SystemClock(),
    log,
    metrics,
  });
  return { hub, log, metrics };
}

function createEmptyState() {
  return { routes: create(RouteTableSchema), hosts: create(HostListSchema) };
}

/** Follows a hub over the network until `close` is called. */
async function followHub(hub: RegistrationHub) {
  const credentials = createCredentials();
  const server = new RpcServer(credentials);
  server.addService(Fleet, {
    follow: (req, stream) => hub.serve(req, stream),
    report: () => Promise.resolve({}),
    findSoftwareVersions: () => Promise.resolve({}),
  });
  const address = await server.listen("127.0.0.1:0");
  const client = new RpcClient(address, credentials);
  const updates: FleetUpdate[] = [];
  const ends: unknown[] = [];
  client.openStream(Fleet.method.follow, { follower: "test" }, {
    message: (update) => updates.push(update),
    end: (error) => ends.push(error),
  });
  const waitFor = async (isTrue: () => boolean) => {
    while (!isTrue() && ends.length === 0) {
      await new SystemClock().delay(5);
    }
    expect(ends).deep.equal([]);
  };
  await waitFor(() => updates.length > 0);
  return {
    updates,
    waitFor,
    close: () => {
      hub.close();
      client.close();
      server.close();
    },
  };
}

describe("odd registrations", () => {
  // Guards against gateways that end at a port above 65535 and against streams of
  // updates that end at 2^32 slots.
  it("are refused by the decoder", () => {
    const faults: Record<string, unknown>[] = [
      { Slots: 2 ** 32 },
      { Slots: 2 ** 53 - 1 },
      { Address: "127.0.0.1:80800" },
      { Address: "127.0.0.1:99999" },
      { Address: "127.0.0.1:0" },
      { Address: "999.0.0.1:80" },
      { Address: "10.0.0.01:80" },
      { Address: "host:80" },
      { Service: "" },
      { Service: "x".repeat(1 << 20) },
      { Zone: "x".repeat(1 << 20) },
      { Version: "x".repeat(1 << 20) },
      { Version: "\ud800" },
      { Zone: "a\u0000b" },
    ];
    const accepted = faults.filter((fault) =>
      !isRefused(() =>
        decodeRegistration(
          "i-1",
          Buffer.from(JSON.stringify({ ...WIRE, ...fault })),
        )
      )
    );
    expect(accepted).deep.equal([]);
    const body = Buffer.from(JSON.stringify(WIRE));
    ["", "a b", "a\nb", "é\u2028", "x".repeat(1_000)].forEach((id) =>
      expect(isRefused(() => decodeRegistration(id, body)), id).equal(true)
    );
  });

  // Guards against the refusal of a sound server for fields that nobody reads.
  it("are not those with unknown fields of any type", () => {
    const nested = "[".repeat(5_000) + "]".repeat(5_000);
    const body = JSON.stringify({ ...WIRE, Stage: 7, KvTokens: null, Slots: 0 })
      .replace(/\}$/, `,"Models":${nested}}`);
    expect(decodeRegistration("i-1", Buffer.from(body)))
      .include({ id: "i-1", address: WIRE.Address, slots: 1 });
  });

  // Guards against log lines and replies as long as what the sender wrote.
  it("are refused with a short reason", () => {
    const body = JSON.stringify({ ...WIRE, State: "x".repeat(1 << 20) });
    try {
      decodeRegistration("i-1", Buffer.from(body));
      expect.fail("accepted");
    } catch (error) {
      expect((error as Error).message.length).below(400);
    }
  });

  // Guards against announcements of the product's own protocol with such ports.
  it("are refused as announcements", () => {
    const parse = (address: string) =>
      parseAnnouncement(Buffer.from(JSON.stringify({ name: "n", address })));
    ["127.0.0.1:80800", "127.0.0.1", "127.0.0.1:0", "1.2.3:4", ""].forEach(
      (address) => expect(isRefused(() => parse(address)), address).equal(true),
    );
    ["127.0.0.1:80", "engine-1.example:8000", "[::1]:80"].forEach((address) =>
      expect(parse(address).address).equal(address)
    );
  });

  // Guards against a control host whose followers get no update any more, also if
  // the entry comes from its own file.
  it("are ignored by a control host, which goes on sending", async () => {
    const { hub, log } = createHub();
    hub.accept(createRegistration({ id: "sound" }));
    const follower = await followHub(hub);
    try {
      ODD_VALUES.forEach((values, index) =>
        hub.accept(createRegistration({ id: `odd-${index}`, ...values }))
      );
      hub.accept(createRegistration({ id: "later", address: "10.0.0.2:80" }));
      await follower.waitFor(() =>
        follower.updates.some(({ servers }) =>
          servers.some(({ id }) => id === "later")
        )
      );
      expect(hub.getAll().map(({ id }) => id)).deep.equal(["sound", "later"]);
      const ids = follower.updates.flatMap(({ servers }) => servers)
        .map(({ id }) => id);
      expect(ids).deep.equal(["sound", "later"]);
      expect(log.lines.filter((line) => line.includes("registration_ignored")))
        .lengthOf(ODD_VALUES.length);
    } finally {
      follower.close();
    }
  });

  // Guards against streams of updates that end, for all followers and for good,
  // because one value in them cannot be encoded.
  it("do not keep back what can be sent", async () => {
    const state = createEmptyState();
    const { hub, log, metrics } = createHub(() => state);
    const follower = await followHub(hub);
    try {
      hub.acceptReport({
        suspicions: [],
        leaving: [
          { $typeName: "papayatally.v1.ServerStart", id: "odd", bornMs: -1n },
          { $typeName: "papayatally.v1.ServerStart", id: "sound", bornMs: 7n },
        ],
        promptParts: [],
        limits: [],
      });
      await follower.waitFor(() =>
        follower.updates.some(({ leaving }) => leaving.length > 0)
      );
      expect(
        follower.updates.flatMap(({ leaving }) => leaving)
          .map(({ id }) => id),
      ).deep.equal(["sound"]);
      expect(log.lines.join("\n")).includes("event=update_not_sent")
        .includes("event=update_part_left_out field=leaving name=odd");
      expect(metrics.getSums()[MetricName.updatesNotSent]).equal(1);
      state.routes = create(RouteTableSchema, { version: 3n });
      hub.sendChanges();
      await follower.waitFor(() =>
        follower.updates.some(({ routes }) => routes?.version === 3n)
      );
    } finally {
      follower.close();
    }
  });

  // Guards against gateways that use entries passed on by control hosts of older
  // builds, which accept any port.
  it("are skipped by a follower, which keeps the rest of the update", () => {
    const log = new MemoryLog();
    const clock = new ManualClock();
    const view = new RoutingView({ registrationIntervalMs: 1_000, clock, log });
    const update = create(FleetUpdateSchema, {
      routes: { version: 3n },
      servers: [
        ...ODD_VALUES.map((values, index) =>
          createRegistration({ id: `odd-${index}`, ...values })
        ),
        createRegistration({ id: "sound" }),
      ],
    });
    view.applyUpdate(update, "old");
    expect(view.routesVersion).equal(3n);
    expect(view.servers.getAll().map(({ id }) => id)).deep.equal(["sound"]);
    // An odd registration doesn't take the place of a sound one either.
    view.applyUpdate(
      create(FleetUpdateSchema, {
        servers: [
          createRegistration({ id: "sound", bornMs: 11n, address: "a" }),
        ],
      }),
      "old",
    );
    expect(view.servers.tryGet("sound")?.address).equal("10.0.0.1:80");
  });

  // Guards against a control host that knows nothing after a restart, because one
  // entry kept it from writing its view.
  it("do not keep a control host from writing its last view", async () => {
    const folder = new MemoryFolder();
    const clock = new ManualClock();
    const writer = new LastViewWriter({
      folder,
      clock,
      log: createSilentLog(),
      getView: () =>
        create(FleetUpdateSchema, {
          routes: { version: 3n },
          servers: [
            createRegistration({ id: "odd", slots: 2 ** 32 }),
            createRegistration({ id: "sound" }),
          ],
        }),
    });
    writer.scheduleWrite();
    clock.advance(1_000);
    await new SystemClock().delay(20);
    const bytes = await folder.tryRead("last-view");
    const view = fromBinary(FleetUpdateSchema, bytes ?? new Uint8Array());
    expect(view.routes?.version).equal(3n);
    expect(view.servers.map(({ id }) => id)).deep.equal(["sound"]);
  });
});
