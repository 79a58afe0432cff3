/**
 * Guards against items lost in a planned stop: a claim in flight when the stop
 * begins may still deliver items, which have to be returned to their group.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  ClaimedItemSchema,
  ItemRefSchema,
  ItemReplySchema,
  ShareSchema,
} from "../schema/mod.ts";
import { BatchRunner } from "../services/batch/batch_runner.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";

type Options = ConstructorParameters<typeof BatchRunner>[0];

/** Runs pending promise callbacks and routines. */
function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

async function advance(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 10) {
    clock.advance(10);
    await yieldToEventLoop();
  }
}

describe("batch stop", () => {
  it("returns items that a claim delivers after the stop began", async () => {
    const clock = new ManualClock();
    let answerClaim = () => {};
    let recorded = 0;
    const state = {
      runItemCommand: (
        _: number,
        command: { case: string; value: { items?: unknown[] } },
      ) => {
        if (command.case !== "claimItems") {
          recorded += command.value.items?.length ?? 0;
          return Promise.resolve(create(ItemReplySchema));
        }
        return new Promise((resolve) => {
          answerClaim = () =>
            resolve(create(ItemReplySchema, {
              claimed: [create(ClaimedItemSchema, {
                ref: create(ItemRefSchema, { jobId: "job-1" }),
                workload: "none",
              })],
            }));
        });
      },
    };
    const runner = new BatchRunner({
      view: {
        tryGetWorkload: () => undefined,
        tryGetDeployment: () => undefined,
      },
      pool: { getBatchCapacity: () => 1 },
      state,
      sessions: { getEpoch: () => Promise.resolve(1n), noteEnded: () => {} },
      groupCount: 1,
      clock,
      log: createSilentLog(),
      metrics: new Metrics({ prefix: "test" }),
    } as unknown as Options);
    runner.start();
    runner.handleSessionRenewed(
      1,
      {
        waiting: [create(ShareSchema, { deployment: "d", maxItems: 1 })],
        cancelledJobs: [],
      } as unknown as Parameters<BatchRunner["handleSessionRenewed"]>[1],
    );
    await advance(clock, 100);
    let isStopped = false;
    runner.stop(60_000).then(() => {
      isStopped = true;
    });
    await advance(clock, 100);
    expect(isStopped, "before the claim is answered").equal(false);
    answerClaim();
    await advance(clock, 1_000);
    expect(recorded).equal(1);
    expect(isStopped).equal(true);
  });
});
