/**
 * Limits of organisations in a simulated fleet. Load patterns: an organisation above
 * its limit at all gateways, one below it that shifts between data centres, many small
 * ones, and a limit that is lowered.
 */
import { expect } from "chai";
import fc from "fast-check";
import { LEASE_TTL_MS } from "../policy/mod.ts";
import {
  OrganisationFleet,
  type SimulatedLimit,
  STEP_MS,
} from "./organisation_rate_fleet.ts";

const WINDOW_MS = 5_000;

const STEP_S = STEP_MS / 1_000;

/** Requests that may run in any window, as the specification states it. */
function getAllowedCount({ ratePerS, burst }: SimulatedLimit): number {
  return (ratePerS * 5 + burst) * 1.1 + 20;
}

/** Sends a random number of requests, `perS` on average. */
function sendAtRate(
  fleet: OrganisationFleet,
  organisation: SimulatedLimit & { readonly name: string },
  { perS, select }: { perS: number; select?: () => number },
): void {
  const expected = perS * STEP_S;
  const count = Math.floor(expected) +
    (fleet.random.getFraction() < expected % 1 ? 1 : 0);
  Array.from({ length: count }, () => {
    const index = select?.() ??
      fleet.random.getIntegerBelow(fleet.gateways.length);
    fleet.send(index, organisation);
  });
}

const fault = fc.record({
  kind: fc.constantFrom(
    "stall",
    "crash",
    "restart",
    "freeze",
    "cut",
    "heal",
    "loss",
    "calm",
  ),
  target: fc.nat({ max: 23 }),
  ms: fc.integer({ min: 100, max: 2_500 }),
});

function injectFault(
  fleet: OrganisationFleet,
  { kind, target, ms }: { kind: string; target: number; ms: number },
): void {
  const hosts = [...fleet.storeHosts.values()];
  const host = hosts[target % hosts.length];
  const gateway = fleet.gateways[target % fleet.gateways.length];
  const actions: Record<string, () => void> = {
    stall: () => host?.stall(ms),
    crash: () => host?.crash(ms),
    restart: () => gateway?.restart(),
    freeze: () => gateway?.clock.freeze(6_000),
    cut: () => {
      fleet.cutOff = target % 3;
    },
    heal: () => {
      fleet.cutOff = -1;
    },
    loss: () => {
      fleet.lossRate = 0.2;
    },
    calm: () => {
      fleet.lossRate = 0;
    },
  };
  actions[kind]?.();
}

describe("limits of organisations across gateways", function () {
  this.timeout(120_000);

  // Guards against a sum above the limit while hosts and links fail.
  it("keep the bound under stalls, crashes, cuts, freezes and restarts", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.record({
          seed: fc.integer({ min: 1, max: 10_000 }),
          ratePerS: fc.constantFrom(1, 5, 20, 100),
          burst: fc.constantFrom(0, 5, 40),
          excess: fc.constantFrom(0.8, 2, 7.5),
          faults: fc.array(fault, { minLength: 6, maxLength: 14 }),
        }),
        async ({ seed, ratePerS, burst, excess, faults }) => {
          const fleet = new OrganisationFleet({
            seed,
            gateways: 24,
            storeHosts: 6,
          });
          const organisation = { name: "large", ratePerS, burst };
          const send = () =>
            sendAtRate(fleet, organisation, { perS: ratePerS * excess });
          await fleet.run(2_000, send);
          for (const each of faults) {
            injectFault(fleet, each);
            await fleet.run(each.ms, send);
          }
          expect(fleet.getMaxCount("large", WINDOW_MS))
            .at.most(getAllowedCount(organisation));
        },
      ),
      { numRuns: 25 },
    );
  });

  // Guards against refusals of an organisation below its limit whose callers move.
  it("refuse nothing below the limit when the load shifts between data centres", async () => {
    const fleet = new OrganisationFleet({
      seed: 1,
      gateways: 72,
      storeHosts: 12,
    });
    const organisation = { name: "large", ratePerS: 100, burst: 50 };
    const count = () => {
      const second = Math.floor(fleet.clock.getMonotonicMs() / 1_000);
      return second % 3 + 3 * fleet.random.getIntegerBelow(24);
    };
    await fleet.run(
      20_000,
      () => sendAtRate(fleet, organisation, { perS: 80, select: count }),
    );
    expect(fleet.requests).above(1_500);
    expect(fleet.refused).equal(0);
  });

  // Guards against a start of all hosts that refuses small organisations.
  it("refuse nothing to many small organisations after a start", async () => {
    const fleet = new OrganisationFleet({
      seed: 2,
      gateways: 72,
      storeHosts: 12,
    });
    await fleet.run(
      10_000,
      () =>
        Array.from({ length: 80 }, (_, index) =>
          sendAtRate(fleet, {
            name: `small-${index}`,
            ratePerS: 2,
            burst: 4,
          }, { perS: 0.5 })),
    );
    expect(fleet.requests).above(300);
    expect(fleet.refused).equal(0);
  });

  // Guards against a limit that stays in force at gateways that hold its tokens.
  it("are binding 5 s after they were lowered", async () => {
    const fleet = new OrganisationFleet({
      seed: 3,
      gateways: 24,
      storeHosts: 6,
    });
    const high = { name: "large", ratePerS: 100, burst: 50 };
    const low = { name: "large", ratePerS: 10, burst: 5 };
    await fleet.run(5_000, () => sendAtRate(fleet, high, { perS: 90 }));
    fleet.routesVersion = 2n;
    fleet.admittedMs.clear();
    await fleet.run(15_000, () => sendAtRate(fleet, low, { perS: 90 }));
    expect(fleet.getMaxCount("large", WINDOW_MS))
      .at.most(getAllowedCount(low));
    expect(fleet.admittedMs.get("large")?.length).at.least(0.8 * 10 * 15);
  });

  // Guards against a gateway that asks for tokens in advance by the old limit after
  // its routes have changed, and so puts the old limit in force again.
  it("stay lowered while a gateway goes by the limit before", async () => {
    const fleet = new OrganisationFleet({
      seed: 6,
      gateways: 24,
      storeHosts: 6,
    });
    const high = { name: "large", ratePerS: 100, burst: 50 };
    const low = { name: "large", ratePerS: 10, burst: 5 };
    await fleet.run(3_000, () => sendAtRate(fleet, high, { perS: 90 }));
    fleet.routesVersion = 2n;
    // No request follows, but tokens are asked for in advance.
    await fleet.run(500);
    fleet.admittedMs.clear();
    await fleet.run(10_000, () => sendAtRate(fleet, low, { perS: 90 }));
    expect(fleet.getMaxCount("large", WINDOW_MS))
      .at.most(getAllowedCount(low));
  });

  // Guards against a store host whose loss refuses what the limit allows.
  it("are kept by another store host, with its whole rate, after a loss", async () => {
    const fleet = new OrganisationFleet({
      seed: 4,
      gateways: 24,
      storeHosts: 6,
    });
    const organisation = { name: "large", ratePerS: 40, burst: 20 };
    const send = () => sendAtRate(fleet, organisation, { perS: 30 });
    await fleet.run(8_000, send);
    const [address = ""] = [...fleet.calls]
      .sort(([, a], [, b]) => b - a)[0] ?? [];
    fleet.storeHosts.get(address)?.crash(60_000);
    await fleet.run(5_000, send);
    fleet.refused = 0;
    fleet.requests = 0;
    await fleet.run(10_000, send);
    expect(fleet.refused / fleet.requests).at.most(0.02);
  });

  // Guards against one message for each request of a busy organisation, and against
  // requests that wait for a store host.
  it("cost few messages and no waits well below the limit", async () => {
    const fleet = new OrganisationFleet({
      seed: 5,
      gateways: 24,
      storeHosts: 6,
    });
    const organisation = { name: "large", ratePerS: 400, burst: 200 };
    // The store hosts no longer reckon with tokens of an earlier start.
    fleet.clock.advance(LEASE_TTL_MS + 1);
    await fleet.run(
      12_000,
      () => sendAtRate(fleet, organisation, { perS: 100 }),
    );
    const calls = [...fleet.calls.values()].reduce(
      (sum, each) => sum + each,
      0,
    );
    expect(calls / fleet.requests).at.most(0.5);
    expect(fleet.waited / fleet.requests).at.most(0.15);
  });
});
