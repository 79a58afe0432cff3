/** Detection of suspensions by the difference between the two clocks. */
import { expect } from "chai";
import { ManualClock } from "../sys/clock.ts";
import { SuspensionDetector } from "../sys/suspension_detector.ts";
import { range } from "./fleet_helpers.ts";

function createDetector() {
  const clock = new ManualClock();
  return { clock, detector: new SuspensionDetector(clock) };
}

describe("suspension detector", () => {
  it("reports a suspension once", () => {
    const { clock, detector } = createDetector();
    clock.advance(40);
    expect(detector.check()).equal(false);
    clock.stepWall(200);
    expect(detector.check()).equal(true);
    expect(detector.check()).equal(false);
  });

  it("reports an adjustment of the wall clock in either direction", () => {
    const { clock, detector } = createDetector();
    clock.stepWall(-6_000);
    expect(detector.check()).equal(true);
    clock.stepWall(6_000);
    expect(detector.check()).equal(true);
  });

  it("reports neither a stalled event loop nor clocks that drift", () => {
    const { clock, detector } = createDetector();
    clock.advance(5_000);
    expect(detector.check()).equal(false);
    range(1_000).forEach(() => {
      clock.advance(40);
      clock.stepWall(1);
      expect(detector.check()).equal(false);
    });
  });
});
