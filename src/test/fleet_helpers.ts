/** What tests of a whole fleet share. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import {
  Fleet,
  FleetName,
  type FleetOptions,
  sendRequest,
  waitUntil,
} from "../bench/mod.ts";

/** A quick engine: a token a millisecond or so. */
export const QUICK_ENGINE = {
  baseStepMs: 1,
  sequenceStepMs: 0.01,
  prefillTokenMs: 0,
  announceMs: 200,
  leaseMs: 1_000,
};

/** Runs `use` with a fleet that is closed afterwards. */
export async function withFleet(
  options: Omit<FleetOptions, "folder">,
  test: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-test-"));
  const fleet = new Fleet({ engine: QUICK_ENGINE, ...options, folder });
  try {
    await fleet.start();
    await test(fleet);
  } finally {
    await fleet.close();
    await rm(folder, { recursive: true, force: true });
  }
}

/** A job as callers see it. */
export interface JobStatus {
  readonly id: string;
  readonly status: string;
  readonly items: number;
  readonly finished: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly unknown: number;
}

/** A line of a job's results. */
export interface ResultLine {
  readonly index: number;
  readonly custom_id?: string;
  readonly state: string;
  readonly verdict?: string;
  readonly body?: { readonly choices?: { readonly text: string }[] };
  readonly error?: { readonly code: string };
}

/** Submits a job of bodies. */
export async function submitJob(
  address: string,
  bodies: readonly unknown[],
  options: { workload?: string; key?: string } = {},
): Promise<JobStatus> {
  const workload = options.workload ?? FleetName.workload;
  const lines = bodies.map((body, index) =>
    JSON.stringify({ custom_id: `c${index}`, body })
  );
  const headers: Record<string, string> = {};
  if (options.key !== undefined) headers["idempotency-key"] = options.key;
  const answer = await sendRequest(
    address,
    `/v1/jobs?workload=${workload}`,
    lines.join("\n"),
    { headers },
  );
  return JSON.parse(answer.text);
}

/** A job's status. */
export async function getJob(address: string, id: string): Promise<JobStatus> {
  const answer = await sendRequest(address, `/v1/jobs/${id}`, undefined);
  return JSON.parse(answer.text);
}

/** Waits until a job has ended. */
export async function waitForJob(
  fleet: Fleet,
  address: string,
  id: string,
): Promise<JobStatus> {
  await waitUntil(fleet.clock, `the end of job ${id}`, async () => {
    const { status } = await getJob(address, id);
    return status === "finished" || status === "cancelled";
  }, 40_000);
  return await getJob(address, id);
}

/** All result lines of a job. */
export async function getResults(
  address: string,
  id: string,
): Promise<ResultLine[]> {
  const lines: ResultLine[] = [];
  let after: string | undefined = "0";
  while (after !== undefined) {
    const answer = await sendRequest(
      address,
      `/v1/jobs/${id}/results?after=${after}&limit=100`,
      undefined,
    );
    const page = answer.text.split("\n").filter((line) => line !== "");
    lines.push(...page.map((line) => JSON.parse(line)));
    after = answer.headers["papayatally-next"] as string | undefined;
  }
  return lines;
}

/** Numbers from 0 on. */
export function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}
