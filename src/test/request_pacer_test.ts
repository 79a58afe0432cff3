/**
 * Load pattern: many processes want more of one server than it takes, in bursts
 * and without a pause, online requests and requests of jobs at once.
 */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { ServerLimits } from "../membership/mod.ts";
import { RequestPacer } from "../policy/mod.ts";
import { ServerLimitSchema } from "../schema/mod.ts";

const ONLINE = { maxWaitMs: 0, isBatch: false };
const BATCH = { maxWaitMs: 0, isBatch: true };
const WINDOW_MS = 4_000;

/** Times at which a pacer that is always asked lets requests go. */
function getSendTimes(
  limitPerS: number,
  { fromMs, toMs, maxWaitMs }: {
    fromMs: number;
    toMs: number;
    maxWaitMs: number;
  },
): number[] {
  const pacer = new RequestPacer(limitPerS, 0);
  const times: number[] = [];
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 5) {
    const { isGranted, waitMs } = pacer.request(
      { maxWaitMs, isBatch: false },
      nowMs,
    );
    if (isGranted) times.push(nowMs + waitMs);
  }
  return times;
}

describe("a request pacer", () => {
  [0.5, 1, 2.5, 20].forEach((limitPerS) =>
    [0, 150].forEach((maxWaitMs) => {
      // Guards against bursts after a pause that exceed the limit in 4 s.
      it(`keeps ${limitPerS} a second after a pause, with waits of ${maxWaitMs} ms`, () => {
        const times = getSendTimes(limitPerS, {
          fromMs: 10_000,
          toMs: 30_000,
          maxWaitMs,
        });
        const counts = times.map((start) =>
          times.filter((ms) => ms >= start && ms < start + WINDOW_MS).length
        );
        expect(Math.max(...counts)).at.most(1.5 * 4 * limitPerS + 5);
      });
    })
  );

  // Guards against a limit whose capacity is left unused.
  it("lets as many requests go as the limit allows while it is always asked", () => {
    const times = getSendTimes(2.5, {
      fromMs: 5_000,
      toMs: 45_000,
      maxWaitMs: 0,
    });
    expect(times.length).at.least(2.5 * 40);
  });

  it("begins without tokens, as it doesn't know what was sent before", () => {
    const pacer = new RequestPacer(2, 0);
    expect(pacer.request(ONLINE, 0)).deep.equal({
      isGranted: false,
      waitMs: 500,
    });
    expect(pacer.request({ ...ONLINE, maxWaitMs: 500 }, 0).isGranted).equal(
      true,
    );
    expect(pacer.request(ONLINE, 0).waitMs).equal(1_000);
  });

  it("lets requests of jobs leave tokens for a burst of online requests", () => {
    const pacer = new RequestPacer(2, 0);
    const granted = Array.from(
      { length: 10 },
      () => pacer.request(BATCH, 10_000).isGranted,
    ).filter((isGranted) => isGranted).length;
    const online = Array.from(
      { length: 10 },
      () => pacer.request(ONLINE, 10_000).isGranted,
    ).filter((isGranted) => isGranted).length;
    expect({ granted, online }).deep.equal({ granted: 2, online: 3 });
  });

  it("follows a limit that changes, and still asks at a limit of zero", () => {
    const pacer = new RequestPacer(1, 0);
    pacer.setLimit(10, 0);
    expect(pacer.request(ONLINE, 0).waitMs).equal(100);
    pacer.setLimit(0, 0);
    const { isGranted, waitMs } = pacer.request(ONLINE, 0);
    expect(isGranted).equal(false);
    expect(waitMs).within(1_000, 60_000);
  });
});

describe("limits that servers name", () => {
  const server = { id: "i-1", bornMs: 1n };

  it("end with a response to a request that was sent later, not before", () => {
    const limits = new ServerLimits();
    limits.recordResponse(server, 2, { sentMs: 0, nowMs: 100 });
    limits.recordResponse(server, undefined, { sentMs: 50, nowMs: 150 });
    expect(limits.tryGet(server)).equal(2);
    limits.recordResponse(server, undefined, { sentMs: 101, nowMs: 200 });
    expect(limits.tryGet(server)).equal(undefined);
  });

  it("hold for one start of a server only", () => {
    const limits = new ServerLimits();
    limits.recordResponse(server, 2, { sentMs: 0, nowMs: 100 });
    expect(limits.tryGet({ ...server, bornMs: 2n })).equal(undefined);
  });

  it("are told to others when they change, and what was heard last counts", () => {
    const limits = new ServerLimits();
    const times = { sentMs: 0, nowMs: 100 };
    expect(limits.recordResponse(server, undefined, times)).equal(false);
    expect(limits.recordResponse(server, 2, times)).equal(true);
    expect(limits.recordResponse(server, 2.01, times)).equal(false);
    const other = new ServerLimits();
    expect(other.merge(limits.getUpdate(server, 300), 1_300)).equal(true);
    expect(other.tryGet(server)).equal(2.01);
    const older = create(ServerLimitSchema, {
      ...limits.getUpdate(server, 300),
      limitPerS: 9,
      ageMs: 400,
    });
    expect(other.merge(older, 1_300)).equal(false);
    limits.recordResponse(server, undefined, { sentMs: 500, nowMs: 600 });
    expect(other.merge(limits.getUpdate(server, 600), 1_600)).equal(true);
    expect(other.tryGet(server)).equal(undefined);
  });
});
