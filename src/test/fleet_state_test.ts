/** Replicated state in a running fleet: failover, restarts, conflicts, repair. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { rm } from "node:fs/promises";
import { Fleet, FleetName, sendRequest, waitUntil } from "../bench/mod.ts";
import { MessageCode, OrderSchema } from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";
import { range, submitJob, waitForJob, withFleet } from "./fleet_helpers.ts";

const { engines, operator, receiptWorkload } = FleetName;

function createPutRule(reserve: number) {
  return {
    case: "putRule" as const,
    value: { deployment: engines, batchReserve: reserve },
  };
}

function findLeader(fleet: Fleet, group: number): number {
  const addresses = fleet.states.map((state) => state.getLeaderAddress(group));
  const known = addresses.find((address) => address !== "");
  return fleet.states.findIndex((state) => state.address === known);
}

describe("fleet state", () => {
  it("keeps serving after the host of a leader stops", () =>
    withFleet({ engines: 2 }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      const job = await submitJob(
        address,
        range(200).map((index) => ({ prompt: `p${index}`, max_tokens: 10 })),
      );
      await fleet.states[findLeader(fleet, 1)]?.halt();
      const done = await waitForJob(fleet, address, job.id);
      expect(done.finished).equal(200);
      const receipt = await sendRequest(
        address,
        "/receipts",
        { receipt: "z" },
        {
          headers: { "idempotency-key": "z" },
        },
      );
      expect(receipt.status).equal(200);
    }));

  it("accepts one of two concurrent orders and reports a conflict to the other", () =>
    withFleet({ engines: 0, services: 0 }, async (fleet) => {
      const state = fleet.entries[0]?.state;
      const otherState = fleet.entries[1]?.state;
      const version = fleet.entries[0]?.view.configuration.version ?? 0n;
      const createOrder = (orderId: string, reserve: number) =>
        create(OrderSchema, {
          orderId,
          operator,
          expectedVersion: version,
          action: createPutRule(reserve),
        });
      const firstOrder = createOrder("race-1", 1);
      const secondOrder = createOrder("race-2", 2);
      const outcomes = await Promise.all([
        state?.submit(firstOrder),
        otherState?.submit(secondOrder),
      ]);
      const winners = outcomes.filter((outcome) => outcome?.accepted);
      const loser = outcomes.find((outcome) => outcome?.accepted === false);
      expect(winners.length).equal(1);
      expect(loser?.code).equal(MessageCode.ORDER_CONFLICT);
      expect(loser?.winnerOrderId).equal(winners[0]?.orderId);
      expect(loser?.winnerOperator).equal(operator);
      const resent = await otherState?.submit(firstOrder);
      expect(resent).deep.equal(outcomes[0]);
      const reused = await state?.submit(createOrder("race-1", 9));
      expect(reused?.code).equal(MessageCode.ORDER_REUSED);
    }));

  it("keeps order outcomes and configuration across restarts", () =>
    withFleet({
      engines: 0,
      services: 0,
      stateSettings: { snapshot_bytes: 16_384 },
    }, async (fleet) => {
      const orders = range(500);
      let version = 0n;
      for (const index of orders) {
        const order = createPutRule(index % 7);
        const outcome = await fleet.order(order, { orderId: `o${index}` });
        version = outcome.version;
      }
      await Promise.all(fleet.states.map((state) => state.halt()));
      await Promise.all(
        fleet.states.map((_, index) => fleet.restartStateHost(index)),
      );
      await waitUntil(
        fleet.clock,
        "readiness of all state hosts",
        () => fleet.states.every((state) => state.isReady),
      );
      fleet.states.forEach((state) =>
        expect(state.configuration.version >= version).equal(true)
      );
      const resent = await fleet.entries[1]?.state.submit(create(OrderSchema, {
        orderId: "o0",
        operator,
        expectedVersion: version - 500n,
        action: createPutRule(0),
      }));
      expect(resent).include({ accepted: true, version: version - 499n });
    }));

  it("refuses to restart a replica under its old name after it lost its disk", () =>
    withFleet({ engines: 0, services: 0 }, async (fleet) => {
      const index = 2;
      await fleet.states[index]?.halt();
      await rm(fleet.getStateFolder(index), { recursive: true });
      const error = await fleet.restartStateHost(index).then(
        () => undefined,
        (error) => error,
      );
      expect(error).instanceOf(ServingError);
      expect(error.code).equal(MessageCode.IDENTITY_LOST);
    }));

  it("replaces a lost replica by adding and promoting a learner", () =>
    withFleet({ engines: 0 }, async (fleet) => {
      await fleet.states[2]?.halt();
      const newReplica = await fleet.startJoiningStateHost("state-4");
      for (const group of [0, 1, 2]) {
        const changeMembership = async (
          wanted: Parameters<typeof newReplica.changeMember>[1],
        ) => {
          await waitUntil(fleet.clock, "the membership change", () => {
            const leader = fleet.states[findLeader(fleet, group)];
            if (leader === undefined) return false;
            return leader.changeMember(group, wanted)
              .then(() => true, () => false);
          });
        };
        const member = { id: "state-4", address: newReplica.address };
        await changeMembership({ add: fleet.createMember(member) });
        await changeMembership({ promote: "state-4" });
        await changeMembership({ remove: "state-3" });
      }
      await waitUntil(
        fleet.clock,
        "readiness of the new replica",
        () => newReplica.isReady,
      );
      await fleet.states[1]?.halt();
      const receipt = await sendRequest(
        fleet.getEntryAddresses()[0] ?? "",
        "/receipts",
        { receipt: "after" },
        { headers: { "idempotency-key": "after" } },
      );
      expect(receipt.status, receipt.text).equal(200);
    }));

  it("distributes a configuration to all entries within a second", () =>
    withFleet({ engines: 0, services: 0, entries: 4 }, async (fleet) => {
      const { version } = await fleet.order(createPutRule(3));
      await waitUntil(
        fleet.clock,
        "the configuration at all entries",
        () =>
          fleet.entries.every((entry) =>
            entry.view.configuration.version >= version
          ),
        1_000,
      );
    }));

  it("starts an entry from its peers while the state hosts are unreachable", () =>
    withFleet({ engines: 1 }, async (fleet) => {
      const version = fleet.entries[0]?.view.configuration.version ?? 0n;
      await Promise.all(fleet.states.map((state) => state.halt()));
      fleet.entries[1]?.halt();
      const entry = await fleet.startEntry(1);
      expect(entry.view.configuration.version).equal(version);
      const answer = await sendRequest(entry.address, "/v1/completions", {
        model: FleetName.model,
        prompt: "x",
        max_tokens: 2,
      });
      expect(answer.status, answer.text).equal(200);
    }));

  it("refuses an order for another operator's deployment", () =>
    withFleet({ engines: 0, services: 0 }, async (fleet) => {
      const state = fleet.entries[0]?.state;
      const version = fleet.entries[0]?.view.configuration.version ?? 0n;
      const outcome = await state?.submit(create(OrderSchema, {
        orderId: "foreign",
        operator: "other",
        expectedVersion: version,
        action: { case: "deleteWorkload", value: receiptWorkload },
      }));
      expect(outcome).include({
        accepted: false,
        code: MessageCode.ORDER_FORBIDDEN,
      });
    }));
});
