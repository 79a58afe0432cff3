/**
 * Load pattern: sixty gateways and five mergers; each gateway gets its answers
 * from one of them, also when some are lost.
 */
import { expect } from "chai";
import { MergerSelector } from "../membership/mod.ts";
import { range } from "./fleet_helpers.ts";

const MERGERS = range(5).map((index) => `10.0.0.${index}:7660`);

describe("choice of a merger", () => {
  it("stays with one that answers, and spreads gateways over all", () => {
    const selected = range(60).map((index) => {
      const choice = new MergerSelector({ name: `gateway-${index}` });
      const first = choice.select(MERGERS, 0);
      range(20).forEach((turn) => {
        choice.recordAnswer(first, turn * 300);
        expect(choice.select(MERGERS, turn * 300 + 80)).equal(first);
      });
      return first;
    });
    MERGERS.forEach((merger) =>
      expect(selected.filter((one) => one === merger).length).within(4, 24)
    );
  });

  it("goes on to the others in turn while mergers are silent", () => {
    const choice = new MergerSelector({ name: "g" });
    const asked = range(5).map((turn) => choice.select(MERGERS, turn * 451));
    expect(new Set(asked).size).equal(5);
    expect(choice.select(MERGERS, 5 * 451)).equal(asked[0]);
    choice.recordAnswer(asked[1] ?? "", 5 * 451 + 100);
    expect(choice.select(MERGERS, 6 * 451), "another's answer")
      .equal(asked[1]);
  });

  it("takes another when its own has left the group", () => {
    const choice = new MergerSelector({ name: "g" });
    const first = choice.select(MERGERS, 0);
    const others = MERGERS.filter((one) => one !== first);
    expect(others).include(choice.select(others, 10));
    expect(choice.select([], 20)).equal("");
  });
});
