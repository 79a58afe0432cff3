/**
 * Items on uneven servers in bursts of online requests. Guards against runs that are
 * interrupted before they have produced anything and start again elsewhere, each
 * time with the prompt processed anew.
 */
import { expect } from "chai";
import { type ActiveRun, ActiveRuns } from "../fleet/active_runs.ts";
import { getSlack, PreemptionCooldown } from "../policy/mod.ts";

const WALL_MS = 50_000;
const STARTED_MS = 1_000;

/** One run that is not urgent, on a server with the given load. */
function preempt(
  server: { readonly busy: number; readonly slowdown?: number },
  nowMs: number,
): number {
  const runs = new ActiveRuns();
  const run: ActiveRun = {
    job: "j",
    item: "i",
    server: "s",
    number: 1,
    abortController: new AbortController(),
    startedMs: STARTED_MS,
    dueMs: WALL_MS + 18_000,
    urgentFromMs: WALL_MS + 2_700,
    remainingMs: 3_000,
  };
  runs.add("j/i", run);
  const candidate = { id: "s", dataCentre: "dc", slots: 8, batch: 1, speed: 1 };
  return runs.preempt([{ ...candidate, ...server }], WALL_MS, nowMs).length;
}

describe("items on uneven servers", () => {
  it("keeps a young run while no online request waits for its slot", () => {
    expect(preempt({ busy: 8, slowdown: 1 }, STARTED_MS + 200)).equal(0);
    expect(preempt({ busy: 8, slowdown: 1 }, STARTED_MS + 700)).equal(1);
    // The prompt takes longer on a slow server.
    expect(preempt({ busy: 8, slowdown: 2 }, STARTED_MS + 700)).equal(0);
  });

  it("stops a young run for an online request that waits", () => {
    expect(preempt({ busy: 9, slowdown: 1 }, STARTED_MS + 200)).equal(1);
  });

  it("preempts as before where servers state no slowdown", () => {
    expect(preempt({ busy: 8 }, STARTED_MS + 200)).equal(1);
    expect(preempt({ busy: 7 }, STARTED_MS + 200)).equal(0);
  });

  it("starts no items in the rest of a burst that interrupts them", () => {
    const cooldown = new PreemptionCooldown();
    const isAllowed = (nowMs: number) => cooldown.mayStart("s", nowMs);
    cooldown.recordPreemption("s", 200, 0, { grows: true });
    expect([isAllowed(349), isAllowed(350)]).deep.equal([false, true]);
    cooldown.recordPreemption("s", 200, 550, { grows: true });
    // Runs that are preempted together are no further sign.
    cooldown.recordPreemption("s", 200, 551, { grows: true });
    expect([isAllowed(1_249), isAllowed(1_250)]).deep.equal([false, true]);
    cooldown.recordPreemption("s", 200, 1_450, { grows: true });
    expect([isAllowed(2_849), isAllowed(2_850)]).deep.equal([false, true]);
    cooldown.recordPreemption("s", 2_000, 5_000, { grows: true });
    cooldown.recordPreemption("s", 200, 6_000, { grows: true });
    expect([isAllowed(6_349), isAllowed(6_350)]).deep.equal([false, true]);
  });

  it("cools down as before where servers state no slowdown", () => {
    const cooldown = new PreemptionCooldown();
    [0, 600, 1_200].forEach((nowMs) => {
      cooldown.recordPreemption("s", 200, nowMs);
      expect(cooldown.mayStart("s", nowMs + 349)).equal(false);
      expect(cooldown.mayStart("s", nowMs + 350)).equal(true);
    });
  });

  it("judges by the time that an item still needs", () => {
    expect(getSlack({ dueMs: 9_000, remainingMs: 3_000 }, 3_000)).equal(2);
    expect(getSlack({ dueMs: 9_000, remainingMs: 0 }, 3_000)).equal(Infinity);
  });
});
