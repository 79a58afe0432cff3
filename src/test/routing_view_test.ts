/** How long ago a process heard of a control host, by clocks that may stand still. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { RoutingView } from "../fleet/routing_view.ts";
import { FleetUpdateSchema } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";

describe("the time since a control host was heard of", () => {
  const createView = () => {
    const clock = new ManualClock();
    const log = createSilentLog();
    const view = new RoutingView({ registrationIntervalMs: 1_000, clock, log });
    const hear = () => view.applyUpdate(create(FleetUpdateSchema), "test");
    return { clock, view, hear };
  };

  it("counts from the last update", () => {
    const { clock, view, hear } = createView();
    expect(view.getControlSilentMs()).equal(Infinity);
    hear();
    clock.advance(3_000);
    expect(view.getControlSilentMs()).equal(3_000);
    hear();
    expect(view.getControlSilentMs()).equal(0);
  });

  // Guards against keys that a control host without its group keeps in force.
  it("counts only control hosts in contact with their group as confirmation", () => {
    const { clock, view } = createView();
    const hear = (stateAgeMs?: number) =>
      view.applyUpdate(create(FleetUpdateSchema, { stateAgeMs }), "test");
    expect(view.getRoutesAgeMs()).equal(Infinity);
    hear();
    clock.advance(2_000);
    hear(7_000);
    expect(view.getRoutesAgeMs()).equal(2_000);
    expect(view.getControlSilentMs()).equal(0);
    hear(500);
    expect(view.getRoutesAgeMs()).equal(500);
    clock.stepWall(7_000);
    expect(view.getRoutesAgeMs()).equal(Infinity);
    hear(7_000);
    expect(view.getRoutesAgeMs()).equal(7_000);
  });

  // Guards against a gateway that admits all callers by a table without organisations.
  it("keeps its routes while it can't decode newer ones", () => {
    const clock = new ManualClock();
    const view = new RoutingView({
      registrationIntervalMs: 1_000,
      clock,
      log: createSilentLog(),
      upgradeRoutes: (table) => {
        if (table.decoderVersion === 0) throw new Error("not valid");
        return table;
      },
    });
    const hear = (version: bigint, decoderVersion: number) =>
      view.applyUpdate(
        create(FleetUpdateSchema, { routes: { version, decoderVersion } }),
        "test",
      );
    hear(1n, 1);
    clock.advance(1_000);
    hear(2n, 0);
    expect(view.routesVersion).equal(1n);
    expect(view.getRoutesAgeMs()).equal(1_000);
    hear(3n, 1);
    expect(view.routesVersion).equal(3n);
    expect(view.getRoutesAgeMs()).equal(0);
  });

  // Guards against a gateway that was suspended taking its view for a current one:
  // its clock stood still meanwhile.
  it("is unknown after a suspension, until the next update", () => {
    const { clock, view, hear } = createView();
    hear();
    clock.stepWall(7_000);
    expect(view.getControlSilentMs()).equal(Infinity);
    clock.advance(100);
    expect(view.getControlSilentMs()).equal(Infinity);
    hear();
    expect(view.getControlSilentMs()).equal(0);
  });
});
