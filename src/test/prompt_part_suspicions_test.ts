/** Parts of prompts that are suspected of crashing servers, without a network. */
import { expect } from "chai";
import { PromptPartSuspicions } from "../membership/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";
import {
  CrashPattern,
  simulatePromptParts,
  type SimulationOptions,
} from "./prompt_part_simulation.ts";

const FIRST = "first";
const DEAD = "dead";

/** Time for which a part that was never proven is rejected at least. */
const MIN_REJECTION_MS = 30_000;

const TRIAL_MS = 5_000;

/** Sends of requests with a part that are allowed after the fifth crash. */
const MAX_LATE_SENDS = 3;

describe("suspicions of prompt parts", () => {
  const createWithCrashes = (...crashes: (readonly string[])[]) => {
    const suspicions = new PromptPartSuspicions();
    crashes.forEach((parts, index) =>
      suspicions.recordCrash(parts, `s${index}`, 10_000 + index * 100)
    );
    return suspicions;
  };

  const isRejected = (
    suspicions: PromptPartSuspicions,
    parts: readonly string[],
    nowMs = 11_000,
  ) => suspicions.getRejectionMs(parts, nowMs) > 0;

  it("reject a part after two crashes, and nothing that was beside it", () => {
    const suspicions = createWithCrashes([DEAD, "a"], [DEAD, "b"]);
    expect(isRejected(suspicions, ["c", DEAD])).equal(true);
    expect(isRejected(suspicions, ["a", "b", "c"])).equal(false);
    expect(suspicions.getCrashCount(DEAD)).equal(2);
  });

  it("are refuted by an answer that begins, before or after the crash", () => {
    const suspicions = createWithCrashes([DEAD, FIRST], [DEAD, FIRST]);
    const updates = suspicions.recordProof([FIRST, "x"], 10_500);
    expect(updates.map(({ part }) => part)).deep.equal([FIRST]);
    expect(suspicions.recordCrash([FIRST, DEAD], "s9", 11_200)).length(1);
    expect(suspicions.getCrashCount(FIRST)).equal(0);
    expect(suspicions.getCrashCount(DEAD)).equal(3);
  });

  // Guards against sound requests being rejected for a part that comes only
  // together with the one that crashes servers.
  it("reject only requests with all of the parts that can't be told apart", () => {
    const suspicions = createWithCrashes([DEAD, "a"], [DEAD, "a"]);
    expect(isRejected(suspicions, [DEAD, "a", "c"])).equal(true);
    expect(isRejected(suspicions, ["a", "c"])).equal(false);
    suspicions.recordProof(["a", "c"], 10_900);
    expect(isRejected(suspicions, [DEAD, "c"])).equal(true);
    expect(isRejected(suspicions, ["a"])).equal(false);
  });

  it("need one more crash while servers crash for other reasons", () => {
    const suspicions = createWithCrashes(["a"], ["a"], ["b"], ["c"]);
    expect(isRejected(suspicions, ["a"])).equal(false);
    suspicions.recordCrash(["a"], "s9", 10_500);
    expect(isRejected(suspicions, ["a"])).equal(true);
  });

  it("reject each of two parts that crash servers", () => {
    const suspicions = createWithCrashes(
      ["x", FIRST],
      ["y", FIRST],
      ["x", FIRST],
      ["y", FIRST],
    );
    suspicions.recordProof([FIRST], 10_400);
    expect(isRejected(suspicions, [FIRST, "x"])).equal(true);
    expect(isRejected(suspicions, [FIRST, "y"])).equal(true);
    expect(isRejected(suspicions, [FIRST, "z"])).equal(false);
  });

  // Guards against the part that all requests share being taken for the cause
  // where few requests come, so that no answer has begun under it lately.
  it("spare a part that was proven long ago while another may be the cause", () => {
    const suspicions = new PromptPartSuspicions();
    suspicions.recordProof([FIRST], 0);
    ["x", "y", "x", "z", "y", "u"].forEach((part, index) =>
      suspicions.recordCrash([FIRST, part], `s${index}`, 10_000 + index * 400)
    );
    expect(isRejected(suspicions, [FIRST, "sound"], 13_000)).equal(false);
    expect(isRejected(suspicions, [FIRST, "x"], 13_000)).equal(true);
  });

  it("reject a part that was proven once and now crashes all servers", () => {
    const suspicions = new PromptPartSuspicions();
    suspicions.recordProof([DEAD], 0);
    range(5).forEach((index) =>
      suspicions.recordCrash([DEAD, `own-${index}`], `s${index}`, 10_000)
    );
    expect(isRejected(suspicions, [DEAD], 10_100)).equal(true);
    expect(isRejected(suspicions, [DEAD], 12_100)).equal(false);
    expect(isRejected(suspicions, ["own-1"], 10_100)).equal(false);
  });

  it("allow one trial at a time, later after each further crash", () => {
    const suspicions = createWithCrashes([DEAD], [DEAD]);
    const lapsedMs = 10_100 + MIN_REJECTION_MS;
    expect(isRejected(suspicions, [DEAD], lapsedMs - 1)).equal(true);
    expect(isRejected(suspicions, [DEAD], lapsedMs)).equal(false);
    expect(suspicions.recordStart([DEAD], lapsedMs)).length(1);
    expect(suspicions.getRejectionMs([DEAD], lapsedMs)).equal(TRIAL_MS);
    suspicions.recordCrash([DEAD], "s9", lapsedMs);
    expect(suspicions.getRejectionMs([DEAD], lapsedMs))
      .equal(4 * MIN_REJECTION_MS);
    suspicions.recordProof([DEAD], lapsedMs);
    expect(suspicions.isEmpty).equal(true);
    expect(suspicions.getRejectionMs([DEAD], lapsedMs)).equal(0);
  });

  it("make a trial known to other processes", () => {
    const [first, second] = [
      createWithCrashes([DEAD], [DEAD]),
      createWithCrashes(),
    ];
    first.getAll(10_200).forEach((update) => second.merge(update, 10_200));
    const lapsedMs = 10_100 + MIN_REJECTION_MS;
    const updates = first.recordStart([DEAD], lapsedMs);
    expect(updates.map((update) => second.merge(update, lapsedMs)))
      .deep.equal([true]);
    expect(updates.map((update) => second.merge(update, lapsedMs)))
      .deep.equal([false]);
    expect(second.getRejectionMs([DEAD], lapsedMs)).equal(TRIAL_MS);
  });

  it("are refuted by processes that know a proof", () => {
    const [gateway, other] = [createWithCrashes(), createWithCrashes()];
    other.recordProof([FIRST], 10_000);
    const [update] = gateway.recordCrash([FIRST], "s1", 10_500);
    if (update === undefined) throw new Error("no update");
    expect(other.canRefute(update, 10_500)).equal(true);
    expect(other.merge(update, 10_500)).equal(false);
    expect(gateway.merge(other.getUpdate(FIRST, 10_500), 10_500)).equal(true);
    expect(gateway.isEmpty).equal(true);
    expect(other.canRefute(gateway.getUpdate(FIRST, 10_500), 10_500))
      .equal(false);
  });

  it("are equal in all processes, in whichever order updates arrive", () => {
    range(100).forEach((seed) => {
      const random = new SeededRandom(seed);
      const source = new PromptPartSuspicions();
      const updates = range(40).flatMap((index) => {
        const part = `p${random.getIntegerBelow(4)}`;
        const nowMs = index * 300;
        return random.getFraction() < 0.2
          ? source.recordProof([part], nowMs).map((update) => ({
            update,
            nowMs,
          }))
          : source.recordCrash([part], `s${random.getIntegerBelow(9)}`, nowMs)
            .map((update) => ({ update, nowMs }));
      });
      const other = new PromptPartSuspicions();
      const endMs = 40 * 300;
      updates.map((entry) => ({ ...entry, at: random.getFraction() }))
        .sort((a, b) => a.at - b.at)
        .forEach(({ update, nowMs }) => {
          update.crashes.forEach((crash) => crash.idleMs += endMs - nowMs);
          if (update.proofIdleMs !== undefined) {
            update.proofIdleMs += endMs - nowMs;
          }
          other.merge(update, endMs);
        });
      range(4).forEach((index) =>
        expect(other.getCrashCount(`p${index}`), `seed ${seed}`)
          .equal(source.getCrashCount(`p${index}`))
      );
    });
  });

  it("drop a server that sends heartbeats after its connections were lost", () => {
    const suspicions = createWithCrashes([DEAD], [DEAD]);
    suspicions.recordHeartbeat("s0", 11_000);
    expect(isRejected(suspicions, [DEAD])).equal(true);
    suspicions.recordHeartbeat("s0", 12_500);
    expect(isRejected(suspicions, [DEAD], 12_500)).equal(false);
  });

  it("are bounded in number and time", () => {
    const suspicions = new PromptPartSuspicions();
    range(100_000).forEach((index) => {
      suspicions.recordProof([`sound-${index}`], index);
      suspicions.recordCrash([`dead-${index}`], `s${index}`, index);
    });
    expect(suspicions.sizes).deep.equal({ suspects: 2_048, proofs: 8_192 });
    expect(suspicions.getCrashCount("dead-99999")).equal(1);
    suspicions.removeExpired(100_000 + 16 * 60_000);
    expect(suspicions.isEmpty).equal(true);
  });
});

describe("requests with parts of prompts", () => {
  const simulate = (seed: number, options: Partial<SimulationOptions>) =>
    simulatePromptParts({ seed, ...options });

  [0.01, 0.05, 0.2, 0.5].forEach((share) =>
    it(`reach few servers if ${share} of them hold a part that crashes them`, () => {
      range(10).forEach((seed) => {
        const result = simulate(seed, { crashShare: share });
        expect(result.lateSends, `seed ${seed}`).at.most(MAX_LATE_SENDS);
        expect(result.soundServedShare, `seed ${seed}`).at.least(0.5);
      });
    })
  );

  it("reach few servers if two parts crash them", () => {
    range(10).forEach((seed) => {
      const result = simulate(seed, { crashShare: 0.1, crashParts: 2 });
      expect(result.lateSends, `seed ${seed}`).at.most(2 * MAX_LATE_SENDS);
      expect(result.soundServedShare, `seed ${seed}`).at.least(0.5);
    });
  });

  it("reach few servers where requests are rare", () => {
    range(10).forEach((seed) => {
      const result = simulate(seed, {
        crashShare: 0.3,
        requestIntervalMs: 700,
        durationMs: 60_000,
      });
      expect(result.lateSends, `seed ${seed}`).at.most(MAX_LATE_SENDS);
      expect(result.soundRejectedShare, `seed ${seed}`).at.most(0.02);
    });
  });

  [CrashPattern.single, CrashPattern.waves, CrashPattern.all].forEach((
    crashPattern,
  ) =>
    it(`are hardly rejected if servers crash for another cause: ${crashPattern}`, () => {
      range(20).forEach((seed) => {
        const result = simulate(seed, { crashShare: 0, crashPattern });
        expect(result.soundRejectedShare, `seed ${seed}`).at.most(0.01);
      });
    })
  );
});
