/**
 * Speeds in a server pool: servers that state no slowdown must be presented to the
 * selection without any, and the times of responses must reach the speeds.
 */
import { expect } from "chai";
import { ResponseTimer, type ResponseTimes } from "../fleet/response_timer.ts";
import { LoadKind } from "../membership/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { range } from "./fleet_helpers.ts";
import { RunnerSimulation } from "./runner_simulation.ts";

const REQUEST = {
  service: "s",
  kind: LoadKind.online,
  prefix: [],
  excluded: new Set<string>(),
};

const TIMES: ResponseTimes = { firstMs: 100, eventMs: undefined, slowdown: 1 };

describe("speeds in a server pool", () => {
  let simulation: RunnerSimulation;

  beforeEach(() => {
    simulation = new RunnerSimulation(["r-1"]);
  });

  it("presents no speeds while no server states its slowdown", () => {
    const { pool } = simulation.runner;
    pool.recordReportedLoad("s-0", 3);
    const permit = pool.tryAcquire(REQUEST)!;
    pool.speeds.recordTimes(permit, { ...TIMES, firstMs: 900 });
    pool.getServers("s").forEach((server) =>
      expect(server).not.have.any.keys("slowdown", "speed")
    );
  });

  it("presents the speeds of all servers once one states its slowdown", () => {
    const { pool, clock } = simulation.runner;
    pool.speeds.recordSlowdown("s-1", 2.5);
    const read = () => pool.getServers("s").map(({ slowdown }) => slowdown);
    expect(read()).deep.equal([1, 2.5, 1, 1]);
    clock.advance(600);
    expect(read()).deep.equal([1, 1, 1, 1]);
    clock.advance(10_000);
    expect(read()).deep.equal([undefined, undefined, undefined, undefined]);
  });

  it("sends no request to a server that is slow now while others are free", () => {
    const { pool } = simulation.runner;
    pool.speeds.recordSlowdown("s-1", 2.5);
    const permits = range(24).map(() => pool.tryAcquire(REQUEST));
    expect(permits.map((permit) => permit?.server.id)).not.include("s-1");
    expect(pool.tryAcquire(REQUEST)).equal(undefined);
    const late = pool.tryAcquire({ ...REQUEST, waitedMs: 60 });
    expect(late?.server.id).equal("s-1");
  });

  it("learns speeds from the times of responses", () => {
    const { pool } = simulation.runner;
    pool.speeds.recordSlowdown("s-0", 1);
    range(40).forEach(() => {
      const permit = pool.tryAcquire(REQUEST)!;
      const firstMs = permit.server.id === "s-2" ? 220 : 100;
      pool.speeds.recordTimes(permit, { ...TIMES, firstMs });
      permit.release();
    });
    const [usual, slow] = ["s-1", "s-2"].map((id) =>
      pool.getServers("s").find((server) => server.id === id)!.speed!
    );
    expect(slow).below(usual! * 0.75);
  });

  it("measures the first event and the mean time between events", () => {
    const clock = new ManualClock(1_000);
    const times: ResponseTimes[] = [];
    const timer = new ResponseTimer({
      startedMs: 1_000,
      slowdown: 2,
      clock,
      onTimes: (one) => times.push(one),
    });
    timer.recordEnd();
    expect(times).deep.equal([]);
    clock.advance(150);
    range(6).forEach(() => {
      timer.recordChunk();
      clock.advance(40);
    });
    timer.recordEnd();
    expect(times).deep.equal([{ firstMs: 150, eventMs: 40, slowdown: 2 }]);
  });
});
