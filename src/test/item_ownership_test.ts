/**
 * Distribution of items and servers among runners. A large fleet has hundreds of
 * items in progress, and one process can't read the events of all of them. Each
 * runner gets about an equal share, and no item may run on two runners at once,
 * not even while the list of runners changes.
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
const DATA_CENTRES: Record<string, string> = {
  a: "dc-1",
  b: "dc-2",
  c: "dc-3",
};

const KEYS = range(300).map((index) => `job-${index % 30}/item-${index}`);

function createOwnership(id: string) {
  const clock = new ManualClock();
  const state = { runners: RUNNERS };
  const ownership = new ItemOwnership({
    getId: () => id,
    getRunners: () => state.runners,
    getDataCentre: (runner) => DATA_CENTRES[runner] ?? "",
    clock,
  });
  ownership.updateRunners();
  return { clock, state, ownership };
}

const createServers = (dataCentres: string[]) =>
  dataCentres.map((dataCentre, index) => ({ id: `s${index}`, dataCentre }));

describe("item ownership", () => {
  it("assigns each item to one runner, about a third to each of three", () => {
    const owners = KEYS.map((key) => tryGetItemRunner(key, RUNNERS));
    RUNNERS.forEach((runner) => {
      const count = owners.filter((owner) => owner === runner).length;
      expect(count).within(70, 130);
    });
    expect(tryGetItemRunner("x", [])).equal(undefined);
    expect(tryGetItemRunner("x", ["c", "a", "b"]))
      .equal(tryGetItemRunner("x", RUNNERS));
  });

  it("reassigns only the items of a removed runner", () => {
    KEYS.forEach((key) => {
      const before = tryGetItemRunner(key, RUNNERS);
      const after = tryGetItemRunner(key, ["a", "b"]);
      if (before !== "c") expect(after).equal(before);
    });
  });

  it("never lets two runners start an item while a change propagates", () => {
    const all = RUNNERS.map((id) => createOwnership(id));
    // "a" and "b" have learned that "c" is removed; "c" has not yet.
    all.slice(0, 2).forEach(({ ownership, state }) => {
      state.runners = ["a", "b"];
      ownership.updateRunners();
    });
    const countStarters = (key: string) =>
      all.filter(({ ownership }) => ownership.canStart(key)).length;
    KEYS.forEach((key) => expect(countStarters(key)).most(1));
    all[2]!.state.runners = ["a", "b"];
    all.forEach(({ clock, ownership }) => {
      clock.advance(500);
      ownership.updateRunners();
    });
    KEYS.forEach((key) => expect(countStarters(key)).equal(1));
  });

  it("lets a runner start its items without delay after a change", () => {
    const { ownership, state, clock } = createOwnership("a");
    expect(KEYS.some((key) => ownership.canStart(key))).equal(false);
    clock.advance(500);
    const owned = KEYS.filter((key) => ownership.canStart(key));
    state.runners = ["a", "b"];
    ownership.updateRunners();
    expect(owned.every((key) => ownership.canStart(key))).equal(true);
  });

  // Guards against servers that no runner uses while the flow to other data centres
  // is limited.
  it("knows the data centres of the servers that wait for a runner", () => {
    const { ownership } = createOwnership("a");
    const getAssigned = (dataCentres: string[]) => {
      const servers = createServers(dataCentres).map((server) => ({
        ...server,
        address: "",
        bornMs: 1n,
        softwareVersion: "",
        isLimited: false,
        slots: 8,
        busy: 0,
        batch: 0,
      }));
      return [...ownership.getAssignedDataCentres(servers)].sort();
    };
    const even = range(18).map((index) => `dc-${index % 3 + 1}`);
    expect(getAssigned(even)).deep.equal(["dc-1"]);
    expect(getAssigned(range(18).map(() => "dc-2"))).deep.equal(["dc-2"]);
    // With fewer servers than runners, each may use all of them.
    expect(getAssigned(["dc-1", "dc-2"])).deep.equal([]);
    expect(getAssigned(["dc-1", "dc-4"])).deep.equal(["dc-4"]);
  });

  it("distributes servers evenly, preferring the runner's data centre", () => {
    const runners = RUNNERS.map((id) => ({
      id,
      dataCentre: DATA_CENTRES[id] ?? "",
    }));
    const even = createServers(range(18).map((index) => `dc-${index % 3 + 1}`));
    const owners = assignServers(even, runners);
    even.forEach(({ id, dataCentre }) =>
      expect(DATA_CENTRES[owners.get(id) ?? ""]).equal(dataCentre)
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

  it("gives every runner a server if the fleet has any", () => {
    const runners = RUNNERS.map((id) => ({
      id,
      dataCentre: DATA_CENTRES[id] ?? "",
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

  const createPlanInput = (
    changes: Partial<RunnerPlanInput>,
  ): RunnerPlanInput => ({
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

  it("selects responsive voters that are not retired", () => {
    expect(tryPlanRunners(createPlanInput({}))).deep.equal(["a", "d"]);
    expect(tryPlanRunners(createPlanInput({ current: ["d", "a"] })))
      .equal(undefined);
    expect(tryPlanRunners(createPlanInput({ retired: new Set(["a"]) })))
      .deep.equal(["d"]);
    expect(tryPlanRunners(createPlanInput({ members: [] }))).equal(undefined);
  });

  // Guards against leaders that followed one another every few seconds: each one
  // ran the items on the processor time that its heartbeats needed.
  it("selects the leader only if the other members are too few", () => {
    const members = ["a", "b", "c", "d", "e"]
      .map((id) => ({ id, isLearner: false, silentMs: 0 }));
    const plan = (serverCount: number, currentRunners: string[]) =>
      tryPlanRunners(
        createPlanInput({ members, serverCount, current: currentRunners }),
      );
    expect(plan(0, [])).deep.equal(["a"]);
    expect(plan(21, ["b"]), "a current runner stays").equal(undefined);
    expect(plan(21, ["d"]), "a new leader hands over").deep.equal(["a"]);
    expect(plan(66, ["d"])).deep.equal(["a", "b", "c"]);
    // Current runners are preferred.
    expect(plan(66, ["c", "e"])).deep.equal(["a", "c", "e"]);
    expect(plan(1_000, [])).deep.equal(["a", "b", "c", "d", "e"]);
    const alone = [{ id: "d", isLearner: false, silentMs: 0 }];
    expect(tryPlanRunners(createPlanInput({ members: alone })))
      .deep.equal(["d"]);
  });
});
