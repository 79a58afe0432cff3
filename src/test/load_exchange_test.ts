/** How the origins of streams reach mergers, over sockets on loopback. */
import { create, fromBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { LoadExchange } from "../fleet/load_exchange.ts";
import { LoadKind, LoadTracker } from "../membership/mod.ts";
import {
  type LoadReport,
  LoadReportSchema,
  type StreamOrigin,
  StreamOriginSchema,
} from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { type DatagramSocket, openDatagramSocket } from "../sys/datagrams.ts";
import { createSilentLog } from "../sys/log.ts";
import { range } from "./fleet_helpers.ts";

/** Largest payload of a datagram that isn't fragmented, in bytes. */
const MAX_PAYLOAD_BYTES = 1_472;

const ORIGIN_COUNT = 200;

function createOrigin(index: number): StreamOrigin {
  return create(StreamOriginSchema, {
    request: `0123456789ab${String(index).padStart(4, "0")}`,
    service: "huvo11a",
    softwareVersion: "v1.2",
  });
}

describe("origins of streams", () => {
  const clock = new ManualClock();
  const loads = new LoadTracker();
  const received: { bytes: number; report: LoadReport }[] = [];
  let merger: DatagramSocket;
  let exchange: LoadExchange;
  let mergers: string[];

  beforeEach(async () => {
    received.length = 0;
    merger = await openDatagramSocket("127.0.0.1:0", (bytes) => {
      const report = fromBinary(LoadReportSchema, bytes);
      received.push({ bytes: bytes.length, report });
    });
    mergers = [merger.address];
    exchange = new LoadExchange({
      name: "gateway",
      address: "127.0.0.1:1",
      bindAddress: "127.0.0.1:0",
      loads,
      getMergers: () => mergers,
      isMerger: false,
      onReport: () => {},
      onOrigins: () => {},
      dataCentre: "dc-1",
      onGateway: () => {},
      acceptsRelayed: () => true,
      isCutOff: () => false,
      clock,
      log: createSilentLog(),
    });
    await exchange.start();
  });

  afterEach(() => {
    exchange.close();
    merger.close();
  });

  const getRequests = () =>
    received.flatMap(({ report }) =>
      report.origins.map(({ request }) => request)
    );

  /** Waits, while time stands still, until a number of origins has arrived. */
  const waitFor = async (count: number) => {
    while (getRequests().length < count) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  };

  // Guards against a stream that can't be taken up because its gateway was lost
  // before its next report, or because one datagram was.
  it("reach mergers at once, and once more with the next report", async () => {
    range(ORIGIN_COUNT).forEach((index) =>
      exchange.reportOrigin(createOrigin(index))
    );
    await waitFor(ORIGIN_COUNT);
    expect(new Set(getRequests()).size).equal(ORIGIN_COUNT);
    clock.advance(100);
    await waitFor(2 * ORIGIN_COUNT);
    clock.advance(1_000);
    await new Promise((resolve) => setImmediate(resolve));
    const requests = getRequests();
    expect(requests).length(2 * ORIGIN_COUNT);
    expect(new Set(requests.slice(ORIGIN_COUNT)).size).equal(ORIGIN_COUNT);
    received.forEach(({ bytes }) => expect(bytes).most(MAX_PAYLOAD_BYTES));
  });

  it("are sent when the first merger becomes known", async () => {
    mergers = [];
    exchange.reportOrigin(createOrigin(1));
    clock.advance(100);
    mergers = [merger.address];
    clock.advance(100);
    await waitFor(1);
    expect(getRequests()).deep.equal([createOrigin(1).request]);
  });

  // Guards against older mergers counting fewer requests: to them, each part that
  // arrives replaces the loads of the part with its number.
  it("leave the loads at mergers of other builds as they are", async () => {
    range(40).forEach((index) => loads.begin(`i-${index}`, LoadKind.online));
    clock.advance(100);
    exchange.reportOrigin(createOrigin(1));
    clock.advance(100);
    await waitFor(2);
    const tracker = new LoadTracker();
    received.forEach(({ report }) => {
      tracker.acceptReport(report, 0);
      if (report.origins.length === 0) return;
      expect(
        range(40).map((index) => tracker.getOthers(`i-${index}`, 0).online),
      )
        .deep.equal(range(40).map(() => 1));
    });
  });
});
