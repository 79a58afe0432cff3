/**
 * Selection of a merger by sixty gateways among five mergers. Each gateway gets
 * its answers from one merger, also if some mergers fail.
 */
import { expect } from "chai";
import { MergerSelector } from "../membership/mod.ts";
import { range } from "./fleet_helpers.ts";

const MERGERS = range(5).map((index) => `10.0.0.${index}:7660`);

describe("merger selector", () => {
  it("stays with a merger that answers, and spreads gateways over all", () => {
    const selected = range(60).map((index) => {
      const selector = new MergerSelector({ name: `gateway-${index}` });
      const first = selector.select(MERGERS, 0);
      range(20).forEach((turn) => {
        selector.recordAnswer(first, turn * 300);
        expect(selector.select(MERGERS, turn * 300 + 80)).equal(first);
      });
      return first;
    });
    MERGERS.forEach((merger) =>
      expect(selected.filter((one) => one === merger).length).within(4, 24)
    );
  });

  it("tries the mergers in turn while they don't answer", () => {
    const selector = new MergerSelector({ name: "g" });
    const asked = range(5).map((turn) => selector.select(MERGERS, turn * 451));
    expect(new Set(asked).size).equal(5);
    expect(selector.select(MERGERS, 5 * 451)).equal(asked[0]);
    selector.recordAnswer(asked[1] ?? "", 5 * 451 + 100);
    expect(selector.select(MERGERS, 6 * 451), "answer of another merger")
      .equal(asked[1]);
  });

  it("selects another when the selected one has left the group", () => {
    const selector = new MergerSelector({ name: "g" });
    const first = selector.select(MERGERS, 0);
    const others = MERGERS.filter((one) => one !== first);
    expect(others).include(selector.select(others, 10));
    expect(selector.select([], 20)).equal("");
  });
});
