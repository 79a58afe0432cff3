/**
 * Tests that keyed requests and items run exactly once, or at most once if they
 * are not idempotent, when responses or hosts are lost.
 */
import { expect } from "chai";
import {
  FleetName,
  getCompletion,
  sendRequest,
  ServiceFault,
  waitUntil,
} from "../bench/mod.ts";
import {
  getJob,
  getResults,
  range,
  submitJob,
  waitForJob,
  withFleet,
} from "./fleet_helpers.ts";

const { model, receiptWorkload } = FleetName;

describe("exactly once", () => {
  it("runs a keyed receipt once while its resend waits elsewhere", () =>
    withFleet({ engines: 0 }, async (fleet) => {
      const [first, second] = fleet.getEntryAddresses();
      fleet.services.forEach((service) => {
        service.delayMs = 300;
      });
      const send = (address = "") =>
        sendRequest(address, "/receipts", { receipt: "a" }, {
          headers: { "idempotency-key": "a" },
        });
      const answers = await Promise.all([send(first), send(second)]);
      expect(fleet.receiptCounts.get("a")).equal(1);
      expect(answers[0]?.text).equal(answers[1]?.text);
      const other = await sendRequest(
        first ?? "",
        "/receipts",
        { receipt: "b" },
        {
          headers: { "idempotency-key": "a" },
        },
      );
      expect(other.status).equal(422);
      expect(JSON.parse(other.text).code).equal("PT2009");
    }));

  it("never repeats a receipt whose answer was lost", () =>
    withFleet({ engines: 0, services: 2 }, async (fleet) => {
      const [first, second] = fleet.getEntryAddresses();
      fleet.services.forEach((service) => {
        service.fault = ServiceFault.loseAnswer;
      });
      const send = (address = "") =>
        sendRequest(address, "/receipts", { receipt: "a" }, {
          headers: { "idempotency-key": "a" },
        });
      const lost = await send(first);
      expect(lost.status).equal(502);
      expect(JSON.parse(lost.text).verdict).equal("may have run");
      fleet.services.forEach((service) => {
        service.fault = ServiceFault.none;
      });
      const resent = await send(second);
      expect(JSON.parse(resent.text).verdict).equal("may have run");
      expect(fleet.receiptCounts.get("a")).equal(1);
    }));

  it("retries a receipt that is known not to have run", () =>
    withFleet({ engines: 0, services: 2 }, async (fleet) => {
      fleet.services[0]?.crash();
      for (const index of range(6)) {
        const answer = await sendRequest(
          fleet.getEntryAddresses()[index % 2] ?? "",
          "/receipts",
          { receipt: `r${index}` },
        );
        expect(answer.status, answer.text).equal(200);
        expect(fleet.receiptCounts.get(`r${index}`)).equal(1);
      }
    }));

  it("finishes each item once when an entry dies with items in flight", () =>
    withFleet({
      engines: 2,
      engine: { baseStepMs: 4, announceMs: 200 },
      entries: 3,
      stateSettings: { session_lease_ms: 800 },
    }, async (fleet) => {
      const [first, second] = fleet.getEntryAddresses();
      const job = await submitJob(
        first ?? "",
        range(300).map((index) => ({ prompt: `item ${index}`, max_tokens: 8 })),
      );
      await waitUntil(
        fleet.clock,
        "items held by the entry to be halted",
        () => (fleet.entries[0]?.batch.heldCount ?? 0) > 0,
      );
      fleet.entries[0]?.halt();
      const done = await waitForJob(fleet, second ?? "", job.id);
      expect(done).include({ finished: 300, failed: 0 });
      const results = await getResults(second ?? "", job.id);
      expect(results.map((line) => line.index)).deep.equal(range(300));
      results.forEach((line, index) => {
        const text = getCompletion(JSON.stringify(`item ${index}`), 8);
        expect(line.body?.choices?.[0]?.text).equal(text);
      });
    }));

  it("runs each non-idempotent item at most once when an entry dies", () =>
    withFleet({
      engines: 0,
      services: 2,
      entries: 3,
      stateSettings: { session_lease_ms: 800 },
    }, async (fleet) => {
      const [first, second] = fleet.getEntryAddresses();
      fleet.services.forEach((service) => {
        service.delayMs = 50;
      });
      const job = await submitJob(
        first ?? "",
        range(200).map((index) => ({ receipt: `r${index}` })),
        { workload: receiptWorkload },
      );
      await waitUntil(
        fleet.clock,
        "receipts held by the entry to be halted",
        () => (fleet.entries[0]?.batch.heldCount ?? 0) > 0,
      );
      fleet.entries[0]?.halt();
      const done = await waitForJob(fleet, second ?? "", job.id);
      expect(done.finished).equal(200);
      const results = await getResults(second ?? "", job.id);
      const counts = results.map((line) =>
        fleet.receiptCounts.get(`r${line.index}`) ?? 0
      );
      expect(Math.max(...counts)).equal(1);
      results.filter((line) => line.verdict === "ran").forEach((line) =>
        expect(fleet.receiptCounts.get(`r${line.index}`)).equal(1)
      );
    }));

  it("accepts a job once when its submission is repeated", () =>
    withFleet({ engines: 1 }, async (fleet) => {
      const [first, second] = fleet.getEntryAddresses();
      const bodies = range(20).map((index) => ({ prompt: `p${index}` }));
      const firstJob = await submitJob(first ?? "", bodies, { key: "night" });
      const secondJob = await submitJob(second ?? "", bodies, { key: "night" });
      expect(secondJob.id).equal(firstJob.id);
      const other = await submitJob(first ?? "", [{ prompt: "x" }], {
        key: "night",
      }) as unknown as { code: string };
      expect(other.code).equal("PT2009");
      const done = await waitForJob(fleet, first ?? "", firstJob.id);
      expect(done.finished).equal(20);
      expect(fleet.engines[0]?.requestCount).equal(20);
    }));

  it("finishes a job that contains an invalid item", () =>
    withFleet({ engines: 2 }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      const job = await submitJob(address, [
        { prompt: "fine" },
        { nothing: "to complete" },
        { prompt: "fine too" },
      ]);
      const done = await waitForJob(fleet, address, job.id);
      expect(done).include({ status: "finished", finished: 3, failed: 1 });
      const results = await getResults(address, job.id);
      expect(results[1]?.error?.code).equal("PT2002");
    }));

  it("stops a cancelled job within a second", () =>
    withFleet(
      { engines: 2, engine: { baseStepMs: 20, announceMs: 200 } },
      async (fleet) => {
        const address = fleet.getEntryAddresses()[0] ?? "";
        const job = await submitJob(
          address,
          range(500).map((index) => ({ prompt: `x${index}`, max_tokens: 500 })),
        );
        const load = () =>
          fleet.engines.reduce((sum, engine) => sum + engine.load, 0);
        await waitUntil(fleet.clock, "items running on engines", () =>
          load() > 4);
        await sendRequest(address, `/v1/jobs/${job.id}/cancel`, {});
        await waitUntil(fleet.clock, "idle engines", () =>
          load() === 0);
        const requests = fleet.engines.map((engine) =>
          engine.requestCount
        );
        await fleet.clock.delay(300);
        expect(fleet.engines.map((engine) => engine.requestCount))
          .deep.equal(requests);
        expect((await getJob(address, job.id)).status).equal("cancelled");
      },
    ));

  it("reports may have run for a key whose group is unreachable", () =>
    withFleet({ engines: 1 }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      await Promise.all(fleet.states.map((state) => state.halt()));
      const keyed = await sendRequest(address, "/receipts", { receipt: "a" }, {
        headers: { "idempotency-key": "a", "papayatally-deadline-ms": "800" },
      });
      expect(keyed.status).equal(503);
      expect(JSON.parse(keyed.text)).include({
        code: "PT3007",
        verdict: "may have run",
      });
      const online = await sendRequest(address, "/v1/completions", {
        model,
        prompt: "still served",
        max_tokens: 3,
      });
      expect(online.status).equal(200);
    }));
});
