/** Compares transcripts of whole sessions with their baselines. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createHash } from "node:crypto";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { FleetName, ServiceFault, waitUntil } from "../bench/mod.ts";
import { exportOperator } from "../cli/export_files.ts";
import { OrderOutcomeSchema, OrderSchema } from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { createCredentials, RpcClient } from "../sys/rpc.ts";
import { toJson } from "@bufbuild/protobuf";
import { Transcript } from "./baselines.ts";
import { QUICK_ENGINE, waitForJob, withFleet } from "./fleet_helpers.ts";

const { model, operator, engines, workload } = FleetName;

/** Wall time at the start, which transcripts show in place of later times. */
const START_WALL_MS = 1_800_000_000_000;

/**
 * A clock whose wall time begins at a fixed moment. It must go on from there:
 * hosts take a wall clock that stands still for a suspension.
 */
class AnchoredWallClock extends SystemClock {
  readonly #startMs = performance.now();

  override getWallMs(): number {
    return START_WALL_MS + Math.floor(performance.now() - this.#startMs);
  }
}

/** SHA-256 of a text, in lower-case hex. */
function getSha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

const clock = new AnchoredWallClock();
const context = { clock };
const createTranscript = () =>
  new Transcript({ startWallMs: START_WALL_MS, clock });
const jobsPath = `/v1/jobs?workload=${workload}`;

describe("sessions", () => {
  it("online requests: a stream, a resume after a crash, and no server left", () =>
    withFleet({
      context,
      engines: 2,
      engine: { ...QUICK_ENGINE, baseStepMs: 5 },
    }, async (fleet) => {
      const transcript = createTranscript();
      const address = fleet.getEntryAddresses()[0] ?? "";
      await transcript.stream(address, {
        model,
        prompt: "how much for 2 litres",
        max_tokens: 6,
      });
      const resumed = transcript.stream(address, {
        model,
        prompt: "is it safe on skin",
        max_tokens: 60,
      });
      await waitUntil(
        fleet.clock,
        "tokens",
        () => fleet.engines.some((one) => one.load > 0 && one.tokenCount > 15),
      );
      fleet.engines.find((engine) => engine.load > 0)?.crash();
      await resumed;
      fleet.engines.forEach((engine) => engine.crash());
      await waitUntil(
        fleet.clock,
        "the expiry of all leases",
        () =>
          fleet.entries[0]?.view.backends
            .getServing(engines, fleet.clock.getMonotonicMs()).length === 0,
      );
      await transcript.call(address, "/v1/completions", {
        model,
        prompt: "anybody there",
      });
      await transcript.check("online");
    }));

  it("a job with a failed item, a resent job and a cancelled job", () =>
    withFleet({ context, engines: 1 }, async (fleet) => {
      const transcript = createTranscript();
      const [first, second] = fleet.getEntryAddresses();
      const lines = [
        { custom_id: "a", body: { prompt: "first refill", max_tokens: 3 } },
        { custom_id: "b", body: { note: "no prompt here" } },
        { custom_id: "c", body: { prompt: "third refill", max_tokens: 3 } },
      ].map((line) => JSON.stringify(line)).join("\n");
      const key = { "idempotency-key": "night-1" };
      const job = await transcript.call(first ?? "", jobsPath, lines, key);
      await waitForJob(fleet, second ?? "", String(job.id));
      await transcript.call(second ?? "", jobsPath, lines, key);
      await transcript.call(second ?? "", jobsPath, "{}", key);
      const results = `/v1/jobs/${job.id}/results`;
      await transcript.call(second ?? "", `${results}?limit=2`, undefined);
      await transcript.call(second ?? "", `${results}?after=2`, undefined);
      fleet.engines[0]?.freeze();
      const blockedItem = JSON.stringify({ prompt: "never", max_tokens: 9 });
      const blockedJob = await transcript.call(
        first ?? "",
        jobsPath,
        blockedItem,
        {
          "idempotency-key": "night-2",
        },
      );
      await transcript.call(
        second ?? "",
        `/v1/jobs/${blockedJob.id}/cancel`,
        {},
      );
      await transcript.call(
        first ?? "",
        `/v1/jobs/${blockedJob.id}`,
        undefined,
      );
      await transcript.check("job");
    }));

  it("a receipt whose response was lost", () =>
    withFleet({ context, engines: 0 }, async (fleet) => {
      const transcript = createTranscript();
      const [first, second] = fleet.getEntryAddresses();
      const service = fleet.services[0];
      if (service === undefined) throw new Error("no service");
      const send = (address: string | undefined, receipt: string) =>
        transcript.call(address ?? "", "/receipts", { receipt }, {
          "idempotency-key": receipt,
        });
      await send(first, "r-1");
      service.fault = ServiceFault.loseAnswer;
      await send(first, "r-2");
      service.fault = ServiceFault.none;
      await send(second, "r-2");
      await send(second, "r-1");
      transcript.note(`ran r-1 ${fleet.receiptCounts.get("r-1")}`);
      transcript.note(`ran r-2 ${fleet.receiptCounts.get("r-2")}`);
      await transcript.check("receipt");
    }));

  it("conflicting orders with equal expected versions, and resent orders", () =>
    withFleet({ context, engines: 0, services: 0 }, async (fleet) => {
      const transcript = createTranscript();
      const state = fleet.entries[0]?.state;
      const expectedVersion = fleet.entries[0]?.view.configuration.version;
      const submit = async (orderId: string, batchReserve: number) => {
        const order = create(OrderSchema, {
          orderId,
          operator,
          expectedVersion,
          action: {
            case: "putRule",
            value: { deployment: engines, batchReserve },
          },
        });
        transcript.note(`> ${orderId} reserve ${batchReserve}`);
        const outcome = await state?.submit(order);
        const value = outcome && toJson(OrderOutcomeSchema, outcome);
        transcript.note(`< ${JSON.stringify(value)}`);
      };
      await submit("day-shift", 2);
      await submit("night-shift", 4);
      await submit("day-shift", 2);
      await submit("night-shift", 4);
      await submit("day-shift", 9);
      await transcript.check("orders");
    }));

  it("a dissolution and its export", () =>
    withFleet({ context, engines: 1 }, async (fleet) => {
      const transcript = createTranscript();
      const address = fleet.getEntryAddresses()[0] ?? "";
      const body = JSON.stringify({ prompt: "last one", max_tokens: 2 });
      const job = await transcript.call(address, jobsPath, body, {
        "idempotency-key": "last",
      });
      await waitForJob(fleet, address, String(job.id));
      await fleet.order({
        case: "dissolve",
        value: { deadlineMs: BigInt(START_WALL_MS) },
      }, { orderId: "the-end" });
      await waitUntil(
        fleet.clock,
        "the start of the dissolution at all entries",
        () => fleet.entries.every((entry) => entry.view.isDissolving()),
      );
      await transcript.call(address, jobsPath, body, {
        "idempotency-key": "late",
      });
      const folder = await mkdtemp(path.join(tmpdir(), "papayatally-export-"));
      const client = new RpcClient(
        fleet.entries[0]?.peerAddress ?? "",
        createCredentials(),
      );
      await exportOperator(client, { operator, folder });
      client.close();
      const readText = (name: string) =>
        readFile(path.join(folder, name), "utf8");
      const jobs = await readText("jobs.jsonl");
      const manifest = await readText("manifest.json");
      expect(manifest).include(getSha256(jobs));
      const shown = {
        "manifest.json": manifest.replace(
          getSha256(jobs),
          getSha256(transcript.replaceTimes(jobs)),
        ),
        [`job-${job.id}.jsonl`]: await readText(`job-${job.id}.jsonl`),
      };
      Object.entries(shown).forEach(([name, text]) => {
        transcript.note(`= ${name}`);
        transcript.note(text.trimEnd());
      });
      await rm(folder, { recursive: true });
      await transcript.check("dissolution");
    }));
});
