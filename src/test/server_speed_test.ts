/**
 * Speeds of servers as one process knows them: a quarter of the servers at half
 * speed, figures that come and go, are old, absurd or false, and their way through
 * load reports, also those of builds without them.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import {
  LoadKind,
  LoadTracker,
  ServerSpeeds,
  TimeKind,
} from "../membership/mod.ts";
import { LoadReportSchema } from "../schema/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

const SERVERS = range(8).map((index) => `s${index}`);

/** Records a time that deviates by up to a third. */
function recordTime(
  speeds: ServerSpeeds,
  server: string,
  options: {
    ms: number;
    random: SeededRandom;
    slowdown?: number;
    born?: bigint;
  },
): void {
  const { ms, random, slowdown = 1, born = 1n } = options;
  speeds.recordTime({
    server,
    bornMs: born,
    service: "chat",
    kind: TimeKind.first,
    ms: ms * (0.67 + random.getFraction() * 0.66),
    slowdown,
  });
}

/** Sends the load of one tracker to another, as the exchange does. */
function report(
  from: LoadTracker,
  to: LoadTracker,
  options: {
    sender: string;
    sequence: number;
    nowMs: number;
    merged?: boolean;
  },
): boolean {
  const { sender, sequence, nowMs, merged = false } = options;
  const loads = merged
    ? from.getMerged(nowMs, "reader")
    : from.getOwnLoads(nowMs);
  const bytes = toBinary(
    LoadReportSchema,
    create(LoadReportSchema, {
      sender,
      sequence: BigInt(sequence),
      merged,
      loads,
    }),
  );
  return to.acceptReport(fromBinary(LoadReportSchema, bytes), nowMs + 1);
}

describe("server speeds", () => {
  it("learns that a quarter of the servers runs at half speed", () => {
    const random = new SeededRandom(11);
    const speeds = new ServerSpeeds();
    range(12).forEach(() =>
      SERVERS.forEach((server, index) =>
        recordTime(speeds, server, { ms: index % 4 === 0 ? 200 : 100, random })
      )
    );
    const learned = SERVERS.map((server) => speeds.getSpeed(server, 1n));
    const slow = learned.filter((_, index) => index % 4 === 0);
    const fast = learned.filter((_, index) => index % 4 !== 0);
    const ratio = Math.max(...slow) / Math.min(...fast);
    expect(ratio).within(0.4, 0.7);
  });

  it("takes a few outliers of one server for what they are", () => {
    const random = new SeededRandom(12);
    const speeds = new ServerSpeeds();
    range(20).forEach((round) =>
      SERVERS.forEach((server, index) => {
        const isOutlier = index === 0 && round % 7 === 6;
        recordTime(speeds, server, { ms: isOutlier ? 20_000 : 100, random });
      })
    );
    expect(speeds.getSpeed("s0", 1n)).within(0.65, 1.3);
  });

  it("forgets the speed of a server that was started again", () => {
    const random = new SeededRandom(13);
    const speeds = new ServerSpeeds();
    range(30).forEach(() => {
      recordTime(speeds, "s0", { ms: 300, random });
      recordTime(speeds, "s1", { ms: 100, random });
    });
    expect(speeds.getSpeed("s0", 1n)).below(0.7);
    expect(speeds.getSpeed("s0", 2n)).equal(1);
    recordTime(speeds, "s0", { ms: 300, random, born: 2n });
    expect(speeds.getSpeed("s0", 1n)).equal(1);
  });

  it("lets interference that ends within 600 ms expire", () => {
    const speeds = new ServerSpeeds();
    speeds.recordSlowdown("s0", 2.5, 1_000);
    expect(speeds.getSlowdown("s0", 1_080)).equal(2.5);
    expect(speeds.getSlowdown("s0", 1_300)).equal(2.5);
    expect(speeds.getSlowdown("s0", 1_700)).equal(1);
    speeds.recordSlowdown("s0", 1, 1_800);
    expect(speeds.getSlowdown("s0", 1_801)).equal(1);
  });

  it("bounds the effect of an absurd figure", () => {
    const backend = new PlatformBackendDialect();
    const read = (load: string) =>
      backend.readResponseMetadata(200, { "x-server-load": load }).slowdown;
    ["3,2,8", "3,2,8,", "3,2,8,0", "3,2,8,x", "3,2,8,-5", "3,2,8,10001", ""]
      .forEach((load) => expect(read(load), load).equal(undefined));
    expect(read("3,2,8,250")).equal(2.5);
    expect(read("3,2,8,100,7")).equal(1);
    const speeds = new ServerSpeeds();
    speeds.recordSlowdown("s0", 100, 0);
    speeds.recordSlowdown("s1", 0.01, 0);
    expect(speeds.getSlowdown("s0", 1)).equal(4);
    expect(speeds.getSlowdown("s1", 1)).equal(0.5);
  });

  // A false figure would shift load until an operator noticed otherwise.
  [0.5, 2.5, 4].forEach((figure) =>
    it(`cancels out a server that always states ${figure}`, () => {
      const random = new SeededRandom(14);
      const speeds = new ServerSpeeds();
      range(30).forEach((round) =>
        SERVERS.forEach((server, index) => {
          const slowdown = index === 0 ? figure : 1;
          speeds.recordSlowdown(server, slowdown, round * 10);
          recordTime(speeds, server, { ms: 100, random, slowdown });
        })
      );
      const factor = speeds.getSlowdown("s0", 300) / speeds.getSpeed("s0", 1n);
      expect(factor).within(0.7, 1.4);
    })
  );

  it("takes a service for one with figures only while they come", () => {
    const speeds = new ServerSpeeds();
    const servers = [{ id: "s0" }, { id: "s1" }];
    expect(speeds.haveFigures(servers, 0)).equal(false);
    speeds.recordSlowdown("s1", 1, 0);
    expect(speeds.haveFigures(servers, 9_000)).equal(true);
    expect(speeds.haveFigures([{ id: "s0" }], 9_000)).equal(false);
    expect(speeds.haveFigures(servers, 11_000)).equal(false);
  });

  it("passes a figure on through reports, with its age", () => {
    const [gateway, merger, reader] = range(3).map(() => new LoadTracker());
    gateway!.speeds.recordSlowdown("s0", 2.5, 1_000);
    report(gateway!, merger!, { sender: "g", sequence: 1, nowMs: 1_080 });
    report(merger!, reader!, {
      sender: "m",
      sequence: 1,
      nowMs: 1_160,
      merged: true,
    });
    expect(reader!.speeds.getSlowdown("s0", 1_300)).equal(2.5);
    expect(reader!.speeds.getSlowdown("s0", 1_510)).equal(1);
    expect(reader!.getBusyCount("s0", 1_200)).equal(0);
  });

  it("prefers the newest figure, whoever brings it", () => {
    const [older, newer, merger] = range(3).map(() => new LoadTracker());
    older!.speeds.recordSlowdown("s0", 2.5, 1_000);
    newer!.speeds.recordSlowdown("s0", 2.5, 1_000);
    newer!.speeds.recordSlowdown("s0", 1, 1_100);
    report(newer!, merger!, { sender: "b", sequence: 1, nowMs: 1_150 });
    report(older!, merger!, { sender: "a", sequence: 1, nowMs: 1_160 });
    expect(merger!.speeds.getSlowdown("s0", 1_170)).equal(1);
  });

  it("reports nothing of servers that are as usual", () => {
    const tracker = new LoadTracker();
    tracker.speeds.recordSlowdown("s0", 1, 1_000);
    expect(tracker.getOwnLoads(1_010)).deep.equal([]);
    tracker.begin("s1", LoadKind.online);
    expect(tracker.getOwnLoads(1_010)).deep.equal([{
      $typeName: "papayatally.v1.ServerLoad",
      server: "s1",
      online: 1,
      batch: 0,
    }]);
  });

  it("reads reports of builds that know no figures", () => {
    const reader = new LoadTracker();
    reader.speeds.recordSlowdown("s0", 2.5, 1_000);
    const accepted = reader.acceptReport(
      create(LoadReportSchema, {
        sender: "old",
        sequence: 1n,
        loads: [{ server: "s0", online: 3, batch: 1 }],
      }),
      1_100,
    );
    expect(accepted).equal(true);
    expect(reader.getBusyCount("s0", 1_100)).equal(4);
    expect(reader.speeds.getSlowdown("s0", 1_100)).equal(2.5);
  });
});
