/**
 * Requests in flight at a server whose connections failed without a reset, next
 * to servers that answer.
 */
import { expect } from "chai";
import { SilenceDetector } from "../membership/mod.ts";

const TIMEOUTS = { suspectAfterMs: 600, failAfterMs: 1_000 };

describe("silence detector", () => {
  it("suspects and then fails only the server that sends nothing", () => {
    const detector = new SilenceDetector(TIMEOUTS);
    const lost: string[] = [];
    ["a", "b"].forEach((server) =>
      detector.begin({ server, onSilent: () => lost.push(server) }, 0)
    );
    for (let nowMs = 100; nowMs <= 1_100; nowMs += 100) {
      detector.recordData("b", nowMs);
      expect(detector.isSuspect("a", nowMs)).equal(
        nowMs > TIMEOUTS.suspectAfterMs,
      );
      expect(detector.isSuspect("b", nowMs)).equal(false);
      detector.failSilentServers(nowMs);
    }
    expect(lost).deep.equal(["a"]);
  });

  it("measures silence only while requests are in flight", () => {
    const detector = new SilenceDetector(TIMEOUTS);
    const first = { server: "a" };
    detector.begin(first, 0);
    detector.end(first);
    expect(detector.failSilentServers(60_000)).deep.equal([]);
    detector.begin({ server: "a" }, 60_000);
    expect(detector.isSuspect("a", 60_500)).equal(false);
    expect(detector.failSilentServers(61_001)).deep.equal(["a"]);
  });

  it("treats an answer to any request as activity for all of them", () => {
    const detector = new SilenceDetector(TIMEOUTS);
    let failedRequests = 0;
    detector.begin({ server: "a", onSilent: () => failedRequests += 1 }, 0);
    detector.begin({ server: "a", onSilent: () => failedRequests += 1 }, 900);
    detector.recordData("a", 950);
    expect(detector.failSilentServers(1_900)).deep.equal([]);
    expect(detector.failSilentServers(1_951)).deep.equal(["a"]);
    expect(failedRequests).equal(2);
  });
});
