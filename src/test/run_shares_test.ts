/**
 * Load pattern: a large fleet with hundreds of items under way, whose events
 * one process could not read. Several run them, each about its share, and no
 * item may run at two of them, also while the list of runners changes.
 */
import { expect } from "chai";
import { ItemOwnership } from "../fleet/item_ownership.ts";
import {
  assignServers,
  getAssignedServers,
  type RunnerPlanInput,
  tryGetItemRunner,
  tryPlanRunners,
} from "../policy/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { range } from "./fleet_helpers.ts";

const RUNNERS = ["a", "b", "c"];
const CENTRES: Record<string, string> = { a: "dc-1", b: "dc-2", c: "dc-3" };

const KEYS = range(300).map((index) => `job-${index % 30}/item-${index}`);

function createShares(id: string) {
  const clock = new ManualClock();
  const state = { runners: RUNNERS };
  const shares = new ItemOwnership({
    getId: () => id,
    getRunners: () => state.runners,
    getDataCentre: (runner) => CENTRES[runner] ?? "",
    clock,
  });
  shares.updateRunners();
  return { clock, state, shares };
}

const createServers = (centres: string[]) =>
  centres.map((dataCentre, index) => ({ id: `s${index}`, dataCentre }));

describe("shares of items", () => {
  it("gives each item one runner, and each runner about a third", () => {
    const owners = KEYS.map((key) => tryGetItemRunner(key, RUNNERS));
    RUNNERS.forEach((runner) => {
      const count = owners.filter((owner) => owner === runner).length;
      expect(count).within(70, 130);
    });
    expect(tryGetItemRunner("x", [])).equal(undefined);
    expect(tryGetItemRunner("x", ["c", "a", "b"]))
      .equal(tryGetItemRunner("x", RUNNERS));
  });

  it("moves only the items of a runner that is lost", () => {
    KEYS.forEach((key) => {
      const before = tryGetItemRunner(key, RUNNERS);
      const after = tryGetItemRunner(key, ["a", "b"]);
      if (before !== "c") expect(after).equal(before);
    });
  });

  it("never lets two runners have an item while a change spreads", () => {
    const all = RUNNERS.map((id) => createShares(id));
    // Two have heard of the loss of "c", which is only slow.
    all.slice(0, 2).forEach(({ shares, state }) => {
      state.runners = ["a", "b"];
      shares.updateRunners();
    });
    const countStarters = (key: string) =>
      all.filter(({ shares }) => shares.canStart(key)).length;
    KEYS.forEach((key) => expect(countStarters(key)).most(1));
    all[2]!.state.runners = ["a", "b"];
    all.forEach(({ clock, shares }) => {
      clock.advance(500);
      shares.updateRunners();
    });
    KEYS.forEach((key) => expect(countStarters(key)).equal(1));
  });

  it("lets a runner go on with its items over a change", () => {
    const { shares, state, clock } = createShares("a");
    expect(KEYS.some((key) => shares.canStart(key))).equal(false);
    clock.advance(500);
    const mine = KEYS.filter((key) => shares.canStart(key));
    state.runners = ["a", "b"];
    shares.updateRunners();
    expect(mine.every((key) => shares.canStart(key))).equal(true);
  });

  it("shares servers evenly, in the runner's data centre where it can", () => {
    const runners = RUNNERS.map((id) => ({
      id,
      dataCentre: CENTRES[id] ?? "",
    }));
    const even = createServers(range(18).map((index) => `dc-${index % 3 + 1}`));
    const owners = assignServers(even, runners);
    even.forEach(({ id, dataCentre }) =>
      expect(CENTRES[owners.get(id) ?? ""]).equal(dataCentre)
    );
    const uneven = createServers([
      ...range(8).map(() => "dc-1"),
      ...range(3).map(() => "dc-4"),
      "dc-2",
    ]);
    const counts = RUNNERS.map((runner) =>
      [...assignServers(uneven, runners).values()]
        .filter((owner) => owner === runner).length
    );
    expect(counts).deep.equal([4, 4, 4]);
    expect(assignServers(uneven, []).size).equal(0);
  });

  it("leaves no runner without a server while there is any", () => {
    const runners = RUNNERS.map((id) => ({
      id,
      dataCentre: CENTRES[id] ?? "",
    }));
    const few = createServers(["dc-1", "dc-1"]);
    RUNNERS.forEach((id) =>
      expect([...getAssignedServers(id, few, runners)]).deep.equal(["s0", "s1"])
    );
    const enough = createServers(["dc-1", "dc-1", "dc-1"]);
    RUNNERS.forEach((id) =>
      expect(getAssignedServers(id, enough, runners).size).equal(1)
    );
  });

  const createFacts = (changes: Partial<RunnerPlanInput>): RunnerPlanInput => ({
    members: [
      { id: "a", isLearner: false, silentMs: 0 },
      { id: "b", isLearner: false, silentMs: 1_200 },
      { id: "c", isLearner: true, silentMs: 0 },
      { id: "d", isLearner: false, silentMs: 90 },
    ],
    leader: "d",
    retired: new Set(),
    current: [],
    serverCount: 66,
    ...changes,
  });

  it("takes members that vote, answer and stay", () => {
    expect(tryPlanRunners(createFacts({}))).deep.equal(["a", "d"]);
    expect(tryPlanRunners(createFacts({ current: ["d", "a"] })))
      .equal(undefined);
    expect(tryPlanRunners(createFacts({ retired: new Set(["a"]) })))
      .deep.equal(["d"]);
    expect(tryPlanRunners(createFacts({ members: [] }))).equal(undefined);
  });

  it("takes the leader alone for a small fleet, and as many as a large needs", () => {
    const members = ["a", "b", "c", "d", "e"]
      .map((id) => ({ id, isLearner: false, silentMs: 0 }));
    const plan = (serverCount: number, inForce: string[]) =>
      tryPlanRunners(createFacts({ members, serverCount, current: inForce }));
    expect(plan(0, [])).deep.equal(["d"]);
    expect(plan(21, ["a"])).deep.equal(["d"]);
    expect(plan(66, ["d"])).deep.equal(["a", "b", "d"]);
    // Those that run already go on.
    expect(plan(66, ["c", "e"])).deep.equal(["c", "d", "e"]);
    expect(plan(1_000, [])).length(5);
  });
});
