/** What wakes a process that has nothing to do. Timers are counted, not timed. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ItemRunner, type ItemRunnerOptions } from "../fleet/item_runner.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import { ServerPool } from "../fleet/server_pool.ts";
import { LoadKind } from "../membership/mod.ts";
import { FleetUpdateSchema, ServerState } from "../schema/mod.ts";
import { createProcessContext } from "../services/mod.ts";
import { ManualClock, type Timer } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { SeededRandom } from "../sys/random.ts";

const IDLE_MS = 10_000;

/** Counts the timers that fire. */
class CountingClock extends ManualClock {
  fired = 0;

  override startTimer(ms: number, action: () => void): Timer {
    return super.startTimer(ms, () => {
      this.fired += 1;
      action();
    });
  }
}

describe("timers of an idle process", () => {
  const log = createSilentLog();
  let clock: CountingClock;
  let pool: ServerPool;
  let view: RoutingView;

  beforeEach(() => {
    clock = new CountingClock();
    view = new RoutingView({ registrationIntervalMs: 60_000, clock, log });
    view.applyUpdate(
      create(FleetUpdateSchema, {
        servers: [{
          id: "s0",
          service: "s",
          address: "127.0.0.1:1",
          slots: 2,
          bornMs: 1n,
          sequence: 1n,
          state: ServerState.READY,
        }],
      }),
      "test",
    );
    pool = new ServerPool({
      dataCentre: "a",
      view,
      clock,
      random: new SeededRandom(1),
      log,
    });
  });

  afterEach(() => pool.close());

  const countFired = () => {
    const before = clock.fired;
    clock.advance(IDLE_MS);
    return clock.fired - before;
  };

  it("check no server for silence while no request is in flight", () => {
    expect(countFired()).equal(0);
  });

  // Guards against a check that doesn't begin again with the next request.
  it("check servers for silence while requests are in flight", () => {
    [1, 2].forEach(() => {
      let silences = 0;
      const permit = pool.tryAcquireQueued({
        service: "s",
        kind: LoadKind.online,
        prefix: [],
        excluded: new Set(),
        onSilent: () => {
          silences += 1;
        },
      });
      clock.advance(1_200);
      expect(silences).greaterThan(0);
      permit?.release();
      clock.advance(100);
      expect(countFired()).equal(0);
    });
  });

  it("schedule no items while no job is open, and do after a change", () => {
    let appliedIndex = 1;
    let passes = 0;
    const context = createProcessContext({ name: "test", clock, log });
    const runner = new ItemRunner({
      getOpenJobs: () => [],
      canStart: () => {
        passes += 1;
        return false;
      },
      canContinue: () => true,
      identifiesChains: () => true,
      getAppliedIndex: () => appliedIndex,
      ownership: {
        updateRunners: () => false,
        retainOnly: () => {},
        isOwned: () => false,
      } as unknown as ItemRunnerOptions["ownership"],
      record: () => Promise.resolve(),
      view,
      pool,
      context,
    } as unknown as ItemRunnerOptions);
    runner.start();
    clock.advance(1_000);
    passes = 0;
    // What remains records the progress of items once a second.
    expect(countFired()).most(IDLE_MS / 1_000);
    runner.requestScheduling();
    expect(passes).equal(0);
    appliedIndex += 1;
    runner.requestScheduling();
    expect(passes).equal(1);
  });
});
