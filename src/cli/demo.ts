/**
 * Demo of a small but complete fleet in one process on temporary folders:
 * online requests, a job, a cancellation, a receipt that is sent twice and the
 * loss of a backend server.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import {
  Fleet,
  FleetName,
  getCompletion,
  sendRequest,
  streamCompletion,
  waitUntil,
} from "../bench/mod.ts";
import { MessageCode } from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";
import type { Output } from "./output.ts";

const ONLINE_REQUESTS = 40;
const TOKENS = 24;
const JOB_ITEMS = 400;

interface DemoStep {
  readonly step: string;
  readonly passed: boolean;
  readonly text: string;
}

type JobStatus = { id: string; status: string; finished: number };

async function getJob(address: string, id: string): Promise<JobStatus> {
  const answer = await sendRequest(address, `/v1/jobs/${id}`, undefined);
  return JSON.parse(answer.text);
}

function createJobLines(name: string, count: number): string {
  return Array.from({ length: count }, (_, index) =>
    JSON.stringify({
      custom_id: `${name}-${index}`,
      body: { prompt: `${name} ${index}`, max_tokens: TOKENS },
    })).join("\n");
}

async function submitJob(
  address: string,
  name: string,
  count: number,
): Promise<JobStatus> {
  const answer = await sendRequest(
    address,
    `/v1/jobs?workload=${FleetName.workload}`,
    createJobLines(name, count),
  );
  return JSON.parse(answer.text);
}

/** Sends online requests; resolves to the number of complete answers. */
async function runOnlineRequests(
  fleet: Fleet,
  name: string,
): Promise<number> {
  const addresses = fleet.getEntryAddresses();
  const answers = await Promise.all(
    Array.from({ length: ONLINE_REQUESTS }, async (_, index) => {
      const prompt = `${name} ${index}`;
      const answer = await streamCompletion(
        addresses[index % addresses.length] ?? "",
        { model: FleetName.model, prompt, max_tokens: TOKENS },
      );
      const expected = getCompletion(JSON.stringify(prompt), TOKENS);
      return answer.isDone && answer.text === expected;
    }),
  );
  return answers.filter((isComplete) => isComplete).length;
}

async function runOnlineStep(fleet: Fleet): Promise<DemoStep> {
  const completeCount = await runOnlineRequests(fleet, "question");
  return {
    step: "online",
    passed: completeCount === ONLINE_REQUESTS,
    text: `${completeCount} of ${ONLINE_REQUESTS} streamed answers complete`,
  };
}

async function runReceiptStep(fleet: Fleet): Promise<DemoStep> {
  const addresses = fleet.getEntryAddresses();
  const send = (address: string) =>
    sendRequest(address, "/receipts", { receipt: "r-1" }, {
      headers: { "idempotency-key": "r-1" },
    });
  const first = await send(addresses[0] ?? "");
  const second = await send(addresses[1] ?? "");
  const count = fleet.receiptCounts.get("r-1");
  return {
    step: "receipt",
    passed: count === 1 && first.text === second.text,
    text: `sent through two entries, ran ${count} time, same answer`,
  };
}

/** Crashes a backend server during a job and online requests. */
async function runServerLossStep(fleet: Fleet): Promise<DemoStep> {
  const address = fleet.getEntryAddresses()[0] ?? "";
  const job = await submitJob(address, "summary", JOB_ITEMS);
  const onlineAnswers = runOnlineRequests(fleet, "during the loss");
  await waitUntil(
    fleet.clock,
    "the first finished items",
    async () => (await getJob(address, job.id)).finished > 0,
  );
  fleet.engines[0]?.crash();
  const completeCount = await onlineAnswers;
  await waitUntil(
    fleet.clock,
    "the end of the job",
    async () => (await getJob(address, job.id)).status === "finished",
  );
  const finishedJob = await getJob(address, job.id);
  return {
    step: "lost backend server",
    passed: completeCount === ONLINE_REQUESTS &&
      finishedJob.finished === JOB_ITEMS,
    text: `${completeCount} of ${ONLINE_REQUESTS} online answers complete, ` +
      `${finishedJob.finished} of ${JOB_ITEMS} items finished`,
  };
}

async function runCancelStep(fleet: Fleet): Promise<DemoStep> {
  const address = fleet.getEntryAddresses()[1] ?? "";
  const job = await submitJob(address, "collection", JOB_ITEMS * 4);
  await waitUntil(
    fleet.clock,
    "the first finished items",
    async () => (await getJob(address, job.id)).finished > 0,
  );
  await sendRequest(address, `/v1/jobs/${job.id}/cancel`, {});
  const statusAtCancel = await getJob(address, job.id);
  await fleet.clock.delay(1_000);
  const statusAfterDelay = await getJob(address, job.id);
  return {
    step: "cancel",
    passed: statusAfterDelay.status === "cancelled" &&
      statusAfterDelay.finished === statusAtCancel.finished,
    text:
      `cancelled after ${statusAtCancel.finished} items, none finished since`,
  };
}

/** Runs the demo; throws if a step fails. */
export async function runDemo(output: Output): Promise<void> {
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-demo-"));
  const fleet = new Fleet({ folder });
  try {
    output.print("starting 3 state hosts, 2 entries, 3 engines, 1 service", {
      step: "start",
    });
    await fleet.start();
    const steps: DemoStep[] = [];
    for (
      const runStep of [
        runOnlineStep,
        runReceiptStep,
        runServerLossStep,
        runCancelStep,
      ]
    ) {
      const step = await runStep(fleet);
      const label = step.passed ? "ok  " : "FAIL";
      output.print(`${label} ${step.step}: ${step.text}`, step);
      steps.push(step);
    }
    const failed = steps.filter((step) => !step.passed).length;
    output.print(`${steps.length - failed} of ${steps.length} steps passed`, {
      step: "end",
      failed,
    });
    if (failed > 0) {
      throw new ServingError(MessageCode.INTERNAL, {
        parameters: { reason: `${failed} steps of the demo failed` },
      });
    }
  } finally {
    await fleet.close();
    await rm(folder, { recursive: true, force: true });
  }
}
