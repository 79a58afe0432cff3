/**
 * Slowdowns of servers in load reports. The counts of a server often stay the same
 * while its slowdown changes, and an age is true only at the time of sending, so
 * neither may be left out because counts have not changed.
 */
import {
  create,
  fromBinary,
  type MessageInitShape,
  toBinary,
} from "@bufbuild/protobuf";
import { expect } from "chai";
import { LoadExchange } from "../fleet/load_exchange.ts";
import { LoadKind, LoadTracker } from "../membership/mod.ts";
import {
  type LoadReport,
  LoadReportSchema,
  type ServerLoadSchema,
} from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { type DatagramSocket, openDatagramSocket } from "../sys/datagrams.ts";
import { createSilentLog } from "../sys/log.ts";
import { range } from "./fleet_helpers.ts";

/** Interval of reports, in milliseconds. */
const INTERVAL_MS = 80;

const nextTurn = () => new Promise((resolve) => setImmediate(resolve));

describe("slowdowns in load reports", () => {
  let clock: ManualClock;
  let loads: LoadTracker;
  let exchange: LoadExchange;
  /** Merger that receives the reports, and asks mergers for answers. */
  let peer: DatagramSocket;
  let received: LoadReport[];
  let exchangeAddress: string;
  let sequence: bigint;

  const start = async (isMerger: boolean) => {
    exchange = new LoadExchange({
      name: "own",
      address: "127.0.0.1:1",
      bindAddress: "127.0.0.1:0",
      loads,
      getMergers: () => [peer.address],
      isMerger,
      onReport: () => {},
      onOrigins: () => {},
      dataCentre: "dc-1",
      onGateway: () => {},
      acceptsRelayed: () => false,
      isCutOff: () => false,
      clock,
      log: createSilentLog(),
    });
    await exchange.start();
    await readNext();
  };

  const letArrive = async () => {
    for (let turn = 0; turn < 5; turn += 1) await nextTurn();
  };

  /** Returns the reports that are sent within a number of intervals. */
  const readNext = async (intervals = 1): Promise<LoadReport[]> => {
    received = [];
    for (let interval = 0; interval < intervals; interval += 1) {
      clock.advance(INTERVAL_MS);
      await letArrive();
    }
    return received;
  };

  /** Reports loads to the exchange, a merger, and asks it for answers. */
  const reportFromPeer = async (
    peerLoads: MessageInitShape<typeof ServerLoadSchema>[],
  ) => {
    sequence += 1n;
    const report = create(LoadReportSchema, {
      sender: "peer",
      sequence,
      parts: 1,
      wantsAnswer: true,
      loads: peerLoads,
    });
    peer.send(toBinary(LoadReportSchema, report), exchangeAddress);
    await letArrive();
  };

  const readNextAnswers = async (intervals = 1) =>
    (await readNext(intervals)).filter(({ merged }) => merged);

  /** Rows of reports as server, requests, slowdown and its age. */
  const describeLoads = (reports: readonly LoadReport[]) =>
    reports.map((report) =>
      report.loads.map((load) => [
        load.server,
        load.online + load.batch,
        load.slowdownPercent,
        load.slowdownAgeMs,
      ])
    );

  const recordSlowdown = (server: string, slowdown: number, ageMs = 0) =>
    loads.speeds.recordSlowdown(
      server,
      slowdown,
      clock.getMonotonicMs() - ageMs,
    );

  beforeEach(async () => {
    clock = new ManualClock(1_000);
    loads = new LoadTracker();
    received = [];
    sequence = 0n;
    peer = await openDatagramSocket("127.0.0.1:0", (bytes, from) => {
      exchangeAddress = from;
      received.push(fromBinary(LoadReportSchema, bytes));
    });
  });

  afterEach(() => {
    exchange.close();
    peer.close();
  });

  // Guards against slowdowns that wait until a count changes, or are never taken back.
  it("are reported when they change while counts don't", async () => {
    await start(false);
    loads.begin("s0", LoadKind.online);
    expect(describeLoads(await readNext()))
      .deep.equal([[["s0", 1, undefined, undefined]]]);
    recordSlowdown("s0", 2.5);
    expect(describeLoads(await readNext())).deep.equal([[["s0", 1, 250, 80]]]);
    recordSlowdown("s0", 3);
    expect(describeLoads(await readNext())).deep.equal([[["s0", 1, 300, 80]]]);
    recordSlowdown("s0", 1);
    expect(describeLoads(await readNext())).deep.equal([[["s0", 1, 100, 80]]]);
    const last = (await readNext(7)).at(-1);
    expect(describeLoads([last!]))
      .deep.equal([[["s0", 1, undefined, undefined]]]);
  });

  // Guards against the same in answers, which are made of other loads.
  it("are part of answers when they change while counts don't", async () => {
    await start(true);
    loads.begin("s0", LoadKind.online);
    await reportFromPeer([]);
    expect(describeLoads(await readNextAnswers()))
      .deep.equal([[["s0", 1, undefined, undefined]]]);
    recordSlowdown("s0", 2.5);
    expect(describeLoads(await readNextAnswers()))
      .deep.equal([[["s0", 1, 250, 80]]]);
    await reportFromPeer([
      { server: "s0", slowdownPercent: 300, slowdownAgeMs: 30 },
    ]);
    expect(describeLoads(await readNextAnswers()))
      .deep.equal([[["s0", 1, 300, 110]]]);
    expect(describeLoads((await readNextAnswers(7)).slice(-1)))
      .deep.equal([[["s0", 1, undefined, undefined]]]);
  });

  // Guards against mergers that leave out servers without requests.
  it("are part of answers for servers without requests", async () => {
    await start(true);
    await reportFromPeer([
      { server: "s1", slowdownPercent: 250, slowdownAgeMs: 10 },
    ]);
    expect(describeLoads(await readNextAnswers()))
      .deep.equal([[["s1", 0, 250, 90]]]);
  });

  // Guards against cached loads, whose ages would make a slowdown look new and keep it
  // in use after it has expired.
  it("have their current ages in repeated reports", async () => {
    await start(false);
    recordSlowdown("s0", 2.5);
    expect(describeLoads(await readNext(7))).deep.equal([
      [["s0", 0, 250, 80]],
      [["s0", 0, 250, 400]],
      [],
    ]);
  });

  it("have their current ages in repeated answers", async () => {
    await start(true);
    recordSlowdown("s0", 2.5);
    await reportFromPeer([]);
    expect(describeLoads(await readNextAnswers(7))).deep.equal([
      [["s0", 0, 250, 80]],
      [["s0", 0, 250, 400]],
      [],
    ]);
  });

  // Guards against a report at each interval to tell of the same slowdown, and against
  // one that expires at the recipients although the server states it again.
  it("count as one figure within 50 ms of the one last sent", async () => {
    await start(false);
    recordSlowdown("s0", 2.5);
    expect(await readNext()).length(1);
    recordSlowdown("s0", 2.5, INTERVAL_MS - 25);
    expect(await readNext()).length(0);
    recordSlowdown("s0", 2.5, 2 * INTERVAL_MS - 49);
    expect(await readNext()).length(0);
    recordSlowdown("s0", 2.5, 3 * INTERVAL_MS - 50);
    expect(describeLoads(await readNext()))
      .deep.equal([[["s0", 0, 250, 4 * INTERVAL_MS - 50]]]);
  });

  // Guards against traffic in fleets whose servers work as usual.
  it("cause no other reports while servers are as usual", async () => {
    const run = async (action: () => void) => {
      loads = new LoadTracker();
      await start(false);
      loads.begin("s0", LoadKind.online);
      const reports: LoadReport[] = [];
      for (const _ of range(60)) {
        action();
        reports.push(...await readNext());
      }
      exchange.close();
      return reports.map(({ loads, wantsAnswer }) => ({ loads, wantsAnswer }));
    };
    const reports = await run(() => recordSlowdown("s0", 1));
    expect(reports).length.within(10, 20);
    expect(reports).deep.equal(await run(() => {}));
  });
});
