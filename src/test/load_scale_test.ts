/**
 * Sixty gateways report loads for sixty servers every few tens of milliseconds.
 * Queries of the load tracker between two reports must use cached sums, and
 * still return the same as a sum over all reports.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { LoadTracker } from "../membership/mod.ts";
import { LoadReportSchema } from "../schema/mod.ts";

const GATEWAYS = 60;
const SERVERS = 60;

/** Creates a report of five requests, each at a different server. */
function createReport(gateway: number, sequence: number) {
  return create(LoadReportSchema, {
    sender: `g${gateway}`,
    sequence: BigInt(sequence),
    loads: Array.from({ length: 5 }, (_, index) => ({
      server: `s${(gateway * 7 + index * 11) % SERVERS}`,
      online: 1,
      batch: 0,
    })),
  });
}

describe("load tracker at scale", () => {
  it("returns the sum over all reports after each report", () => {
    const tracker = new LoadTracker();
    const newest = new Map<number, ReturnType<typeof createReport>>();
    for (let turn = 0; turn < 300; turn += 1) {
      const gateway = turn * 17 % GATEWAYS;
      const report = createReport(gateway, turn + 1);
      newest.set(gateway, report);
      tracker.acceptReport(report, turn);
      const server = `s${turn % SERVERS}`;
      const expected = [...newest.values()].flatMap((one) => one.loads)
        .filter((load) => load.server === server).length;
      expect(tracker.getBusyCount(server, turn)).equal(expected);
    }
    for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
      const merged = tracker.getMerged(300, `g${gateway}`);
      const total = merged.reduce((sum, load) => sum + load.online, 0);
      expect(total).equal((newest.size - 1) * 5);
    }
  });

  it("drops a silent gateway even if no other reports", () => {
    const tracker = new LoadTracker();
    tracker.acceptReport(createReport(1, 1), 0);
    expect(tracker.getBusyCount("s7", 100)).equal(1);
    expect(tracker.getBusyCount("s7", 1_990)).equal(1);
    expect(tracker.getBusyCount("s7", 2_050)).equal(0);
  });
});
