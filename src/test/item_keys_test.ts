/** Items and jobs whose ids look alike when they are joined. */
import { expect } from "chai";
import { getItemKey } from "../fleet/run_recorder.ts";
import { ItemEnd } from "../schema/mod.ts";
import { RunnerSimulation } from "./runner_simulation.ts";

describe("keys of items", () => {
  // Guards against MIXED: a job whose id ends like another one's, and whose item's id
  // begins with the rest, gets the output of that one's item.
  it("differ if ids with slashes are alike when they are joined", () => {
    const pairs = [
      ["nightly", "riga/42"],
      ["nightly/riga", "42"],
      ["nightly%2Friga", "42"],
      ["nightly%", "2Friga/42"],
      ["nightly%25", "2Friga/42"],
    ] as const;
    const keys = pairs.map(([job, item]) => getItemKey(job, item));
    expect(new Set(keys).size).equal(pairs.length);
  });

  // Older builds assign items to runners by the same keys.
  it("stay as they are for other ids", () => {
    expect(getItemKey("7c41e0", "e5b2/1")).equal("7c41e0/e5b2/1");
  });

  it("keep the items of such jobs apart", async () => {
    const simulation = new RunnerSimulation(["a"], { eventCount: 3 });
    simulation.submit("nightly", [200], { itemIds: ["riga/42"] });
    simulation.submit("nightly/riga", [200], { itemIds: ["42"] });
    await simulation.advance(3_000);
    const texts = ["nightly", "nightly/riga"].map((job) => {
      const [result] = simulation.committed.tryGetJob(job)?.results ?? [];
      expect(result?.end).equal(ItemEnd.DONE);
      return Buffer.from(result?.text ?? []).toString();
    });
    expect(new Set(texts).size).equal(2);
  });
});
