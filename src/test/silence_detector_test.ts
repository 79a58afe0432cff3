/**
 * Load pattern: requests under way at a server whose connections have died
 * without a reset, beside servers that answer.
 */
import { expect } from "chai";
import { SilenceDetector } from "../membership/mod.ts";

const LIMITS = { doubtMs: 600, giveUpMs: 1_000 };

describe("silence watch", () => {
  it("doubts and gives up a server that says nothing, and no other", () => {
    const watch = new SilenceDetector(LIMITS);
    const lost: string[] = [];
    ["a", "b"].forEach((server) =>
      watch.begin({ server, onSilent: () => lost.push(server) }, 0)
    );
    for (let nowMs = 100; nowMs <= 1_100; nowMs += 100) {
      watch.recordHeard("b", nowMs);
      expect(watch.isSuspect("a", nowMs)).equal(nowMs > LIMITS.doubtMs);
      expect(watch.isSuspect("b", nowMs)).equal(false);
      watch.failSilentServers(nowMs);
    }
    expect(lost).deep.equal(["a"]);
  });

  it("counts silence only while something is due", () => {
    const watch = new SilenceDetector(LIMITS);
    const first = { server: "a" };
    watch.begin(first, 0);
    watch.end(first);
    expect(watch.failSilentServers(60_000)).deep.equal([]);
    watch.begin({ server: "a" }, 60_000);
    expect(watch.isSuspect("a", 60_500)).equal(false);
    expect(watch.failSilentServers(61_001)).deep.equal(["a"]);
  });

  it("takes an answer to any request as a sign of life for all", () => {
    const watch = new SilenceDetector(LIMITS);
    let moved = 0;
    watch.begin({ server: "a", onSilent: () => moved += 1 }, 0);
    watch.begin({ server: "a", onSilent: () => moved += 1 }, 900);
    watch.recordHeard("a", 950);
    expect(watch.failSilentServers(1_900)).deep.equal([]);
    expect(watch.failSilentServers(1_951)).deep.equal(["a"]);
    expect(moved).equal(2);
  });
});
