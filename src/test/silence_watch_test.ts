/**
 * Load pattern: requests under way at a server whose connections have died
 * without a reset, beside servers that answer.
 */
import { expect } from "chai";
import { SilenceWatch } from "../membership/mod.ts";

const LIMITS = { doubtMs: 600, giveUpMs: 1_000 };

describe("silence watch", () => {
  it("doubts and gives up a server that says nothing, and no other", () => {
    const watch = new SilenceWatch(LIMITS);
    const lost: string[] = [];
    ["a", "b"].forEach((server) =>
      watch.begin({ server, onSilent: () => lost.push(server) }, 0)
    );
    for (let nowMs = 100; nowMs <= 1_100; nowMs += 100) {
      watch.noteHeard("b", nowMs);
      expect(watch.isDoubtful("a", nowMs)).equal(nowMs > LIMITS.doubtMs);
      expect(watch.isDoubtful("b", nowMs)).equal(false);
      watch.giveUp(nowMs);
    }
    expect(lost).deep.equal(["a"]);
  });

  it("counts silence only while something is due", () => {
    const watch = new SilenceWatch(LIMITS);
    const first = { server: "a" };
    watch.begin(first, 0);
    watch.end(first);
    expect(watch.giveUp(60_000)).deep.equal([]);
    watch.begin({ server: "a" }, 60_000);
    expect(watch.isDoubtful("a", 60_500)).equal(false);
    expect(watch.giveUp(61_001)).deep.equal(["a"]);
  });

  it("takes an answer to any request as a sign of life for all", () => {
    const watch = new SilenceWatch(LIMITS);
    let moved = 0;
    watch.begin({ server: "a", onSilent: () => moved += 1 }, 0);
    watch.begin({ server: "a", onSilent: () => moved += 1 }, 900);
    watch.noteHeard("a", 950);
    expect(watch.giveUp(1_900)).deep.equal([]);
    expect(watch.giveUp(1_951)).deep.equal(["a"]);
    expect(moved).equal(2);
  });
});
