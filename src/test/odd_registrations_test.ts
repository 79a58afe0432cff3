/**
 * Registrations of other writers with values that no server has: none of them
 * may keep a process from anything that the others say.
 */
import { create, fromBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { LastViewWriter } from "../fleet/last_view.ts";
import { RegistrationHub } from "../fleet/registration_hub.ts";
import {
  Fleet,
  type FleetUpdate,
  FleetUpdateSchema,
  HostListSchema,
  type Registration,
  RegistrationSchema,
  RouteTableSchema,
  ServerState,
} from "../schema/mod.ts";
import { ManualClock, SystemClock } from "../sys/clock.ts";
import { createSilentLog, MemoryLog } from "../sys/log.ts";
import { MetricName, Metrics } from "../sys/metrics.ts";
import { createCredentials, RpcClient, RpcServer } from "../sys/rpc.ts";
import { MemoryFolder } from "./memory_folder.ts";

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
