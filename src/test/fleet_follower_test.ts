/** Which control hosts a process follows, by the hosts and seeds it knows. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { FleetFollower } from "../fleet/fleet_follower.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import { FleetUpdateSchema, HostRole } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { createCredentials } from "../sys/rpc.ts";

const SEEDS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];

function createFollower(registered: readonly string[]) {
  const clock = new ManualClock();
  const log = createSilentLog();
  const view = new RoutingView({ registrationIntervalMs: 1_000, clock, log });
  const hosts = registered.map((address) => ({
    id: address,
    role: HostRole.CONTROL,
    address,
  }));
  const update = create(FleetUpdateSchema, { hosts: { version: 1n, hosts } });
  view.applyUpdate(update, "test");
  return new FleetFollower({
    name: "test",
    view,
    seeds: SEEDS,
    credentials: createCredentials(undefined, undefined),
    clock,
    log,
  });
}

describe("fleet follower", () => {
  // Guards against a fleet without a configuration after its first start: as
  // many hosts outside the group as there are seeds had registered first, and no
  // process followed the members any more.
  it("follows the seeds although as many other hosts are registered", () => {
    const others = ["10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"];
    const addresses = createFollower(others).getAddresses();
    expect(addresses).include.members([...SEEDS, ...others]);
  });

  it("follows a registered seed once", () => {
    const addresses = createFollower([SEEDS[0] ?? ""]).getAddresses();
    expect(addresses).have.members(SEEDS);
  });
});
