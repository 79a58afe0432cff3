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
