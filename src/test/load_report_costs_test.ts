/**
 * Load reports cost processor time at every process that sends or receives them. These
 * tests count messages and compare sums; they measure no time.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { LoadExchange } from "../fleet/load_exchange.ts";
import { LoadKind, LoadTracker, MergerSelector } from "../membership/mod.ts";
import { type LoadReport, LoadReportSchema } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { type DatagramSocket, openDatagramSocket } from "../sys/datagrams.ts";
import { createSilentLog } from "../sys/log.ts";
import { range } from "./fleet_helpers.ts";

/** Time after which a tracker forgets a report, in milliseconds. */
const REPORT_TTL_MS = 2_000;

const SERVERS = range(4).map((index) => `s${index}`);

const reportArbitrary = fc.record({
  sender: fc.constantFrom("a", "b", "c"),
  merged: fc.boolean(),
  part: fc.nat(2),
  parts: fc.integer({ min: 1, max: 3 }),
  sequence: fc.integer({ min: 1, max: 40 }),
  elapsedMs: fc.constantFrom(0, 10, 80, 700, 1_999, 2_000),
  loads: fc.uniqueArray(
    fc.record({
      server: fc.constantFrom(...SERVERS),
      online: fc.nat(3),
      batch: fc.nat(3),
    }),
    { selector: ({ server }) => server },
  ),
});

describe("sums of load reports", () => {
  // Guards against sums that drift from the reports, which would hide free slots or
  // fill servers for as long as the process lives.
  it("are those of the reports that hold, in any order of reports", () => {
    fc.assert(fc.property(fc.array(reportArbitrary), (reports) => {
      const tracker = new LoadTracker();
      const stored = new Map<string, { atMs: number; report: LoadReport }>();
      let nowMs = 0;
      reports.filter(({ part, parts }) => part < parts).forEach((values) => {
        nowMs += values.elapsedMs;
        const report = create(LoadReportSchema, {
          ...values,
          sequence: BigInt(values.sequence),
        });
        if (tracker.acceptReport(report, nowMs)) {
          const source = report.merged ? "" : report.sender;
          [...stored.keys()].filter((key) =>
            key.startsWith(`${source}/`) &&
            Number(key.split("/")[1]) >= report.parts
          ).forEach((key) => stored.delete(key));
          stored.set(`${source}/${report.part}`, { atMs: nowMs, report });
        }
        const valid = [...stored.values()].filter(({ atMs }) =>
          nowMs - atMs < REPORT_TTL_MS
        ).flatMap((one) => one.report.loads);
        SERVERS.forEach((server) => {
          const loads = valid.filter((load) => load.server === server);
          expect(tracker.getOthers(server, nowMs)).deep.equal({
            online: loads.reduce((sum, load) => sum + load.online, 0),
            batch: loads.reduce((sum, load) => sum + load.batch, 0),
          });
        });
      });
    }));
  });

  it("keep their revision while reports repeat the same loads", () => {
    const tracker = new LoadTracker();
    const accept = (sequence: number, online: number) =>
      tracker.acceptReport(
        create(LoadReportSchema, {
          sender: "a",
          sequence: BigInt(sequence),
          parts: 1,
          loads: [{ server: "s0", online, batch: 0 }],
        }),
        sequence,
      );
    accept(1, 2);
    const revision = tracker.getRevision(1);
    accept(2, 2);
    expect(tracker.getRevision(2)).equal(revision);
    accept(3, 1);
    expect(tracker.getRevision(3)).not.equal(revision);
  });
});

describe("mergers of the own data centre", () => {
  const MERGERS = range(6).map((index) => `10.0.${index % 3}.1${index}:7660`);
  const isLocal = (merger: string) => merger.startsWith("10.0.1.");
  const local = MERGERS.filter(isLocal);

  // Guards against answers, the largest reports, crossing data centres.
  it("are asked first, and before all others", () => {
    range(20).forEach((index) => {
      const selector = new MergerSelector({ name: `g-${index}`, isLocal });
      const asked = range(3).map((turn) =>
        selector.select(MERGERS, turn * 451)
      );
      expect(new Set(asked.slice(0, 2))).deep.equal(new Set(local));
      expect(local).not.include(asked[2]);
    });
  });

  // Guards against a gateway that stays with a merger elsewhere after a failure.
  it("are asked again while another one answers, until they answer", () => {
    const selector = new MergerSelector({ name: "g", isLocal });
    let remote = "";
    range(3).forEach((turn) => {
      remote = selector.select(MERGERS, turn * 451);
      selector.selectCandidate(MERGERS, turn * 451);
    });
    expect(local).not.include(remote);
    const candidates = new Set<string>();
    range(200).forEach((turn) => {
      const nowMs = 1_000 + turn * 80;
      selector.recordAnswer(remote, nowMs);
      expect(selector.select(MERGERS, nowMs)).equal(remote);
      candidates.add(selector.selectCandidate(MERGERS, nowMs));
    });
    expect(candidates).deep.equal(new Set(["", ...local]));
    const [first = ""] = local;
    range(200).forEach((turn) => {
      const nowMs = 17_000 + turn * 80;
      const candidate = selector.selectCandidate(MERGERS, nowMs);
      if (candidate === first) selector.recordAnswer(first, nowMs);
      else selector.recordAnswer(selector.select(MERGERS, nowMs), nowMs);
    });
    expect(selector.select(MERGERS, 33_000)).equal(first);
    expect(selector.selectCandidate(MERGERS, 33_000)).equal("");
  });
});

describe("load reports of one process", () => {
  const clock = new ManualClock();
  let loads: LoadTracker;
  let received: LoadReport[][];
  let mergers: DatagramSocket[];
  let exchange: LoadExchange;
  let acceptsRelayed: boolean;

  const answer = (index: number, { sequence }: LoadReport, to: string) => {
    const report = create(LoadReportSchema, {
      sender: `merger-${index}`,
      sequence,
      merged: true,
      parts: 1,
    });
    mergers[index]?.send(toBinary(LoadReportSchema, report), to);
  };

  beforeEach(async () => {
    loads = new LoadTracker();
    acceptsRelayed = true;
    received = [[], [], []];
    mergers = await Promise.all(
      received.map((reports, index) =>
        openDatagramSocket("127.0.0.1:0", (bytes, from) => {
          const report = fromBinary(LoadReportSchema, bytes);
          reports.push(report);
          if (report.wantsAnswer) answer(index, report, from);
        })
      ),
    );
    exchange = new LoadExchange({
      name: "gateway",
      address: "127.0.0.1:1",
      bindAddress: "127.0.0.1:0",
      loads,
      getMergers: () => mergers.map(({ address }) => address),
      isMerger: false,
      onReport: () => {},
      onOrigins: () => {},
      dataCentre: "dc-1",
      onGateway: () => {},
      acceptsRelayed: () => acceptsRelayed,
      isCutOff: () => false,
      clock,
      log: createSilentLog(),
    });
    await exchange.start();
  });

  afterEach(() => {
    exchange.close();
    mergers.forEach((merger) => merger.close());
  });

  /** Advances the clock in steps, and lets datagrams arrive after each. */
  const advance = async (ms: number) => {
    for (let step = 0; step < ms; step += 80) {
      clock.advance(80);
      for (let turn = 0; turn < 3; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  };

  /** Numbers of reports that mergers which need not answer have received. */
  const countUnasked = () =>
    received.map((reports) =>
      reports.filter(({ wantsAnswer }) => !wantsAnswer).length
    );

  // Guards against mergers, and old builds among them, that miss a report.
  it("reach every merger after each change, unmerged", async () => {
    await advance(400);
    loads.begin("s0", LoadKind.online);
    received.forEach((reports) => reports.splice(0));
    await advance(80);
    received.forEach((reports) => {
      expect(reports.map((report) => report.merged)).deep.equal([false]);
      expect(
        reports[0]?.loads.map(({ server, online }) => ({ server, online })),
      )
        .deep.equal([{ server: "s0", online: 1 }]);
    });
  });

  // Guards against idle processes that keep each other busy.
  it("are rare while loads stay the same and nothing else depends on them", async () => {
    acceptsRelayed = false;
    loads.begin("s0", LoadKind.online);
    await advance(2_000);
    received.forEach((reports) => reports.splice(0));
    await advance(9_600);
    countUnasked().forEach((count) => expect(count).most(14));
  });

  // Guards against gateways that mergers forget after 700 ms.
  it("are repeated while the gateway accepts requests of others", async () => {
    await advance(2_000);
    received.forEach((reports) => reports.splice(0));
    await advance(9_600);
    received.forEach(({ length }) => expect(length).within(25, 35));
  });
});
