/** Requests that are suspected of crashing servers, without a network. */
import { expect } from "chai";
import { Suspicions } from "../membership/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

const POISON = "poison";
const SOUND = "sound";

/** Time after the last failure for which a request is rejected at least. */
const MIN_REJECTION_MS = 30_000;

describe("suspicions", () => {
  it("reject a request under which three servers crashed, whatever ran beside it", () => {
    range(200).forEach((seed) => {
      const random = new SeededRandom(seed);
      const suspicions = new Suspicions();
      const others = range(8).map((index) => `${SOUND}-${index}`);
      const crash = (server: string) =>
        [POISON, ...others.filter(() => random.getFraction() < 0.4)]
          .forEach((request) => suspicions.record(request, server, 0));
      ["a", "b", "c"].forEach(crash);
      const equal = others.filter((request) =>
        suspicions.getServerFailureCount(request) === 3
      );
      expect(suspicions.isPoisoned(POISON), `seed ${seed}`).equal(true);
      others.filter((request) => !equal.includes(request))
        .forEach((request) =>
          expect(suspicions.isPoisoned(request), `seed ${seed}`).equal(false)
        );
    });
  });

  it("need one more crash while another request was present at as many", () => {
    const suspicions = new Suspicions();
    ["a", "b"].forEach((server) =>
      [POISON, SOUND].forEach((request) =>
        suspicions.record(request, server, 0)
      )
    );
    expect(suspicions.isPoisoned(POISON)).equal(false);
    suspicions.record(POISON, "c", 0);
    expect(suspicions.isPoisoned(POISON)).equal(true);
    expect(suspicions.isPoisoned(SOUND)).equal(false);
  });

  it("spare a retried request while many servers crash at once", () => {
    const suspicions = new Suspicions({ maxCorrelatedFailures: 4 });
    ["a", "b", "c"].forEach((server, wave) => {
      suspicions.record(SOUND, server, 400 * wave);
      suspicions.record(`other-${wave}`, `beside-${server}`, 400 * wave);
    });
    expect(suspicions.isPoisoned(SOUND)).equal(false);
    suspicions.record(SOUND, "d", 20_000);
    expect(suspicions.isPoisoned(SOUND)).equal(true);
  });

  it("reject a second poison request that shares crashes with a first", () => {
    const suspicions = new Suspicions();
    range(9).forEach((index) => suspicions.record("first", `s${index}`, 0));
    range(5).forEach((index) => suspicions.record(POISON, `s${index}`, 0));
    expect(suspicions.isPoisoned(POISON)).equal(true);
  });

  it("are equal in all processes, in whichever order updates arrive", () => {
    range(100).forEach((seed) => {
      const random = new SeededRandom(seed);
      const source = new Suspicions();
      const updates = range(30).map(() =>
        source.record(
          `r${random.getIntegerBelow(4)}`,
          `s${random.getIntegerBelow(6)}`,
          0,
        )
      );
      const other = new Suspicions();
      updates.map((update) => ({ update, at: random.getFraction() }))
        .sort((a, b) => a.at - b.at)
        .forEach(({ update }) => other.merge(update, 0));
      range(4).forEach((index) =>
        expect(other.isPoisoned(`r${index}`), `seed ${seed}`)
          .equal(source.isPoisoned(`r${index}`))
      );
    });
  });

  // Guards against a report that replaces what another gateway reported.
  it("are passed on with the crashes that all processes reported", () => {
    const hub = new Suspicions();
    ["a", "b"].forEach((server) =>
      hub.merge(new Suspicions().record(POISON, server, 0), 0)
    );
    const other = new Suspicions();
    other.merge(hub.getUpdate(POISON, 0), 0);
    expect(other.getServerFailureCount(POISON)).equal(2);
    expect(hub.getUpdate("unknown", 0).cleared).equal(true);
  });

  it("lapse, later after each further crash, and end with a success", () => {
    const suspicions = new Suspicions();
    ["a", "b"].forEach((server) => suspicions.record(POISON, server, 1_000));
    expect(suspicions.getRejectionMs(POISON, 1_000)).equal(MIN_REJECTION_MS);
    expect(suspicions.tryClearAccepted(POISON, 1_000)).equal(undefined);
    const lapsedMs = 1_000 + MIN_REJECTION_MS;
    expect(suspicions.getRejectionMs(POISON, lapsedMs)).equal(0);
    ["c", "d", "e"].forEach((server) =>
      suspicions.record(POISON, server, lapsedMs)
    );
    expect(suspicions.getRejectionMs(POISON, lapsedMs))
      .equal(2 * MIN_REJECTION_MS);
    const endMs = lapsedMs + 2 * MIN_REJECTION_MS;
    expect(suspicions.tryClearAccepted(POISON, endMs)?.cleared).equal(true);
    expect(suspicions.isEmpty).equal(true);
  });

  it("keep the time of the crash when they are passed on", () => {
    const [first, second] = [new Suspicions(), new Suspicions()];
    ["a", "b"].forEach((server) => first.record(POISON, server, 0));
    first.getAll(20_000).forEach((update) => second.merge(update, 500));
    expect(second.getRejectionMs(POISON, 500)).equal(MIN_REJECTION_MS - 20_000);
  });

  it("drop a server that sends heartbeats after its connections were lost", () => {
    const suspicions = new Suspicions();
    ["a", "b"].forEach((server) => suspicions.record(SOUND, server, 0));
    suspicions.recordHeartbeat("a", 1_000);
    expect(suspicions.isPoisoned(SOUND)).equal(true);
    suspicions.recordHeartbeat("a", 2_500);
    expect(suspicions.isPoisoned(SOUND)).equal(false);
    suspicions.recordHeartbeat("b", 2_500);
    expect(suspicions.isEmpty).equal(true);
  });

  it("are bounded in number, and keep those that crashed servers last", () => {
    const suspicions = new Suspicions({ retentionMs: 1_000 });
    range(3_000).forEach((index) => suspicions.record(`r${index}`, "s", index));
    expect(suspicions.isSuspect("r900")).equal(false);
    expect(suspicions.isSuspect("r2999")).equal(true);
    suspicions.removeExpired(5_000);
    expect(suspicions.isEmpty).equal(true);
  });
});
