/**
 * Load pattern: sixty gateways that report every few hundredths of a second,
 * and sixty servers to choose from. What is asked of the book between two
 * reports must not add all reports up again.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { LoadTracker } from "../membership/mod.ts";
import { LoadReportSchema } from "../schema/mod.ts";

const GATEWAYS = 60;
const SERVERS = 60;

/** A report of five requests at as many servers. */
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

describe("load book at scale", () => {
  it("agrees with a sum over all reports, report by report", () => {
    const book = new LoadTracker();
    const newest = new Map<number, ReturnType<typeof createReport>>();
    for (let turn = 0; turn < 300; turn += 1) {
      const gateway = turn * 17 % GATEWAYS;
      const report = createReport(gateway, turn + 1);
      newest.set(gateway, report);
      book.acceptReport(report, turn);
      const server = `s${turn % SERVERS}`;
      const expected = [...newest.values()].flatMap((one) => one.loads)
        .filter((load) => load.server === server).length;
      expect(book.getBusy(server, turn)).equal(expected);
    }
    for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
      const merged = book.getMerged(300, `g${gateway}`);
      const total = merged.reduce((sum, load) => sum + load.online, 0);
      expect(total).equal((newest.size - 1) * 5);
    }
  });

  it("forgets a silent gateway though nobody else reports", () => {
    const book = new LoadTracker();
    book.acceptReport(createReport(1, 1), 0);
    expect(book.getBusy("s7", 100)).equal(1);
    expect(book.getBusy("s7", 1_990)).equal(1);
    expect(book.getBusy("s7", 2_050)).equal(0);
  });
});
