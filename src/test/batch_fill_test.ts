/**
 * Load pattern: online bursts every few seconds over a low base, with more
 * items waiting than fit. Items take every slot of the valley; when the burst
 * rises, each online request gets a slot as soon as the process that runs the
 * items has heard of it.
 */
import { expect } from "chai";
import {
  countToYield,
  decideAdmission,
  getReserve,
  getUrgentFrom,
  selectYielding,
  tryGetLeastBusy,
  trySelectServer,
} from "../policy/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

const SLOTS = 8;
const TARGET_MS = 300;
const SERVICE_MS = 700;

interface Server {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly online: number;
  readonly batch: number;
  readonly busy: number;
}

const createServer = (id: string, online: number, batch: number): Server => ({
  id,
  dataCentre: "dc",
  slots: SLOTS,
  online,
  batch,
  busy: online + batch,
});

const random = new SeededRandom(5);
const OPTIONS = {
  dataCentre: "dc",
  prefix: [],
  getFraction: () => random.getFraction(),
};

/** Items start until no server has a slot that they may take. */
function fill(servers: Server[], reserve: number): Server[] {
  const free = trySelectServer(servers, { ...OPTIONS, reserve });
  if (free === undefined) return servers;
  return fill(
    servers.map((one) =>
      one === free ? createServer(one.id, one.online, one.batch + 1) : one
    ),
    reserve,
  );
}

const giveWay = (servers: Server[]): Server[] =>
  servers.map((one) =>
    createServer(
      one.id,
      one.online,
      one.batch - countToYield(one, { patient: 0, urgent: one.batch }),
    )
  );

/** What a request meets that finds every slot taken. */
const decide = (least: Server | undefined) =>
  decideAdmission({
    busy: (least?.busy ?? 0) - (least?.batch ?? 0),
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    targetMs: TARGET_MS,
    waitedMs: 0,
  });

describe("batch in the gaps", () => {
  it("leaves a slot of each server alone until items are urgent", () => {
    const server = createServer("s", 3, 4);
    expect(
      trySelectServer([server], { ...OPTIONS, reserve: getReserve(false) }),
    )
      .equal(undefined);
    expect(trySelectServer([server], { ...OPTIONS, reserve: getReserve(true) }))
      .equal(server);
    const full = createServer("s", 4, 4);
    expect(countToYield(full, { patient: 3, urgent: 1 })).equal(1);
    expect(countToYield(full, { patient: 0, urgent: 4 })).equal(0);
    const queued = createServer("s", 6, 4);
    expect(countToYield(queued, { patient: 1, urgent: 3 })).equal(2);
    expect(countToYield(queued, { patient: 4, urgent: 0 })).equal(3);
  });

  it("counts an item as urgent well before its results are due", () => {
    expect(getUrgentFrom(1_000, 19_000)).equal(8_200);
  });

  const valley = range(11).map((index) =>
    createServer(`s${index}`, index % 2, 0)
  );

  it("takes every slot of the valley", () => {
    const full = fill(valley, 0);
    expect(full.every((one) => one.busy === SLOTS)).equal(true);
  });

  it("gives each request of a rising burst a slot at the next look", () => {
    // 60 requests in 300 ms, heard in steps of 20; they last longer than that.
    const risen = range(3).reduce((servers) => {
      const met = range(20).reduce((now) => {
        const least = tryGetLeastBusy(now, OPTIONS);
        const decision = decide(least);
        expect(decision.kind).equal("send");
        return now.map((one) =>
          one === least ? createServer(one.id, one.online + 1, one.batch) : one
        );
      }, servers);
      const after = giveWay(met);
      expect(after.every((one) => one.busy <= SLOTS)).equal(true);
      return after;
    }, fill(valley, 0));
    // Items keep what the burst leaves.
    expect(risen.every((one) => one.busy === SLOTS)).equal(true);
  });

  it("holds a request only where online requests alone fill the servers", () => {
    const packed = valley.map(({ id }) => createServer(id, SLOTS, 0));
    const least = tryGetLeastBusy(packed, OPTIONS);
    const decision = decide(least);
    expect(decision.kind).equal("wait");
  });

  it("queues where the fewest online requests are", () => {
    const servers = [createServer("a", 6, 2), createServer("b", 2, 6)];
    expect(tryGetLeastBusy(servers, OPTIONS)?.id).equal("b");
  });

  it("stops the item that is due last, of these the youngest", () => {
    const runs = [
      { item: "early", startedMs: 5, dueMs: 100, urgentFromMs: 0 },
      { item: "old", startedMs: 1, dueMs: 200, urgentFromMs: 0 },
      { item: "young", startedMs: 9, dueMs: 200, urgentFromMs: 0 },
    ];
    expect(selectYielding(runs, 1).map((run) => run.item))
      .deep.equal(["young"]);
  });
});
