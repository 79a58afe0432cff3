/** The budget of what a process holds on behalf of callers. */
import { expect } from "chai";
import * as fc from "fast-check";
import {
  BudgetCause,
  CallerBudget,
  ConnectionBudget,
  deriveBudgetLimits,
  ORDINARY_BYTES,
} from "../sys/caller_budget.ts";

const MB = 1 << 20;
const TOTAL_BYTES = 32 * MB;

describe("the budget of callers", () => {
  const create = (maxConnections = Infinity) =>
    new CallerBudget({ totalBytes: TOTAL_BYTES, maxConnections });
  const open = (budget: CallerBudget, address = "a"): ConnectionBudget => {
    const opened = budget.openConnection(address);
    if (opened instanceof ConnectionBudget) return opened;
    throw new Error(`refused: ${opened}`);
  };

  // Guards against a gateway of the smallest size that refuses a legal request.
  it("has room for a body of 4 MB and its decoded forms", () => {
    const limits = deriveBudgetLimits({ processBytes: 178 * MB, maxFiles: 0 });
    const connection = open(new CallerBudget(limits));
    expect(connection.acquire(4 * 3 * MB)).equal(undefined);
  });

  it("has room for the largest body of a control host", () => {
    const limits = deriveBudgetLimits({
      processBytes: 178 * MB,
      maxFiles: 0,
      largestBodyBytes: 16 * MB,
    });
    expect(open(new CallerBudget(limits)).acquire(32 * MB)).equal(undefined);
  });

  // Guards against large bodies of many addresses that stop ordinary requests.
  it("keeps a part for ordinary callers", () => {
    const budget = create();
    for (let index = 0; index < 1_000; index += 1) {
      open(budget, `address ${index}`).acquire(MB);
    }
    expect(open(budget).acquire(MB)).equal(BudgetCause.memory);
    expect(open(budget).acquire(ORDINARY_BYTES)).equal(undefined);
  });

  it("gives no connection and no address all of it", () => {
    const budget = create();
    expect(open(budget).acquire(17 * MB)).equal(BudgetCause.connectionMemory);
    expect(open(budget).acquire(16 * MB)).equal(undefined);
    expect(open(budget).acquire(9 * MB)).equal(BudgetCause.addressMemory);
    expect(open(budget, "b").acquire(4 * MB)).equal(undefined);
  });

  it("limits connections, and those of one address to a part", () => {
    const budget = create(8);
    const opened = Array.from({ length: 6 }, () => open(budget));
    expect(budget.openConnection("a")).equal(BudgetCause.addressConnections);
    open(budget, "b");
    open(budget, "c");
    expect(budget.openConnection("d")).equal(BudgetCause.connections);
    opened[0]?.close();
    open(budget, "d");
  });

  it("wakes who waits when bytes are released, in order", () => {
    const budget = create();
    const connection = open(budget);
    connection.acquire(MB);
    const woken: string[] = [];
    budget.whenReleased(() => woken.push("first"));
    const cancel = budget.whenReleased(() => woken.push("second"));
    connection.release(1);
    cancel();
    connection.close();
    expect(woken).eql(["first", "second", "first"]);
  });

  // Guards against a count that drifts, so that all is refused for good or nothing.
  it("is empty once all connections have closed", () => {
    const step = fc.record({
      address: fc.constantFrom("a", "b"),
      acquired: fc.nat(8 * MB),
      charged: fc.nat(MB),
      released: fc.nat(16 * MB),
    });
    fc.assert(fc.property(fc.array(step), (steps) => {
      const budget = create();
      const connections = steps.map(({ address, ...bytes }) => {
        const connection = open(budget, address);
        connection.acquire(bytes.acquired);
        expect(budget.bytes).most(TOTAL_BYTES + steps.length * MB);
        connection.charge(bytes.charged);
        connection.release(bytes.released);
        return connection;
      });
      connections.forEach((connection) => connection.close());
      connections.forEach((connection) => connection.close());
      expect([budget.bytes, budget.connections]).eql([0, 0]);
    }));
  });
});
