/** What a control host tells a new follower of its contact with backend servers. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { RegistrationHub } from "../fleet/registration_hub.ts";
import {
  type FleetUpdate,
  FollowRequestSchema,
  HostListSchema,
  RegistrationSchema,
  RouteTableSchema,
  ServerStartSchema,
  ServerState,
} from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";

function createRegistration(id: string, sequence: number) {
  return create(RegistrationSchema, {
    id,
    bornMs: 1n,
    sequence: BigInt(sequence),
    service: "s",
    address: `${id}:80`,
    state: ServerState.READY,
    slots: 4,
  });
}

describe("a follower of a control host", () => {
  const createHub = (onServerChange = () => {}) => {
    const clock = new ManualClock();
    const hub = new RegistrationHub({
      getState: () => ({
        routes: create(RouteTableSchema),
        hosts: create(HostListSchema),
      }),
      onServerChange,
      registrationIntervalMs: 1_000,
      clock,
      log: createSilentLog(),
      metrics: new Metrics({ prefix: "test" }),
    });
    /** Returns the first update that a new follower gets. */
    const follow = (): FleetUpdate => {
      const updates: FleetUpdate[] = [];
      hub.serve(create(FollowRequestSchema), {
        send: (update) => {
          updates.push(update);
          return Promise.resolve();
        },
        closed: false,
        onClosed: () => {},
      });
      const [first] = updates;
      if (first === undefined) throw new Error("no update was sent");
      return first;
    };
    const getContacts = () =>
      follow().contacts.map(({ id, silentMs, restored }) => ({
        id,
        silentMs,
        restored,
      }));
    return { hub, clock, follow, getContacts };
  };

  // Guards against a server that was started again elsewhere passing for one that
  // has just registered.
  it("is told how long the host has not heard of a server", () => {
    const { hub, clock, getContacts } = createHub();
    hub.accept(createRegistration("a", 1));
    hub.accept(createRegistration("b", 1));
    clock.advance(5_000);
    hub.accept(createRegistration("b", 2));
    expect(getContacts()).deep.equal([
      { id: "a", silentMs: 5_000, restored: false },
    ]);
  });

  // Guards against the same for registrations that a host saved before its start.
  it("is told which servers the host has not heard of since its start", () => {
    const { hub, getContacts } = createHub();
    hub.restore(createRegistration("a", 1));
    hub.restore(createRegistration("b", 1));
    hub.accept(createRegistration("b", 2));
    expect(getContacts()).deep.equal([
      { id: "a", silentMs: 0, restored: true },
    ]);
  });

  // Guards against a host that has saved a server as ready, restarts without a quorum
  // and gives out the server again, though it had heard that it leaves.
  it("is told after a restart which servers leave, whoever heard it", () => {
    let saveCount = 0;
    const { hub } = createHub(() => saveCount += 1);
    hub.accept(createRegistration("a", 1));
    hub.accept(createRegistration("b", 1));
    saveCount = 0;
    hub.recordLeaving(create(ServerStartSchema, { id: "a", bornMs: 1n }));
    expect(saveCount).equal(1);
    hub.recordLeaving(create(ServerStartSchema, { id: "a", bornMs: 1n }));
    expect(saveCount).equal(1);
    hub.acceptReport({
      suspicions: [],
      leaving: [create(ServerStartSchema, { id: "b", bornMs: 1n })],
      promptParts: [],
      limits: [],
    });
    expect(saveCount).equal(2);
    const saved = { servers: hub.getAll(), leaving: hub.getLeaving() };
    const restarted = createHub();
    saved.servers.forEach((server) => restarted.hub.restore(server));
    saved.leaving.forEach((server) => restarted.hub.recordLeaving(server));
    expect(restarted.follow().leaving.map(({ id }) => id))
      .deep.equal(["a", "b"]);
  });
});
