/** Batching of item outcomes, and retries after a record has failed. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import {
  type AppliedJob,
  getItemKey,
  RunRecorder,
} from "../fleet/run_recorder.ts";
import { ItemEnd, JobItemSchema, type RecordRuns } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";

const CHAINS = { identifiesChains: true };

function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Applied state of job `j` with the given open items and failure counts. */
function createJob(
  open: string[],
  failures: Record<string, number> = {},
  failedChains: Record<string, bigint[]> = {},
): AppliedJob {
  return {
    job: { id: "j" },
    open: new Map(open.map((id) => [id, create(JobItemSchema, { id })])),
    failures: new Map(Object.entries(failures)),
    failedChains: new Map(Object.entries(failedChains)),
  };
}

function createRecorder() {
  const clock = new ManualClock();
  const state = { canRecord: true, isFailing: false };
  const records: RecordRuns[] = [];
  const recorder = new RunRecorder({
    record: (runs) => {
      records.push(runs);
      return state.isFailing
        ? Promise.reject(new Error("no quorum"))
        : Promise.resolve();
    },
    canRecord: () => state.canRecord,
    clock,
    log: createSilentLog(),
    metrics: new Metrics({ prefix: "test" }),
  });
  const advanceClock = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 5) {
      clock.advance(5);
      await flushPromises();
    }
  };
  const finish = (id: string) =>
    recorder.addOutcome("j", { id, end: ItemEnd.DONE, text: new Uint8Array() });
  const getFinished = () =>
    records.map((record) =>
      record.finished.map((run) => run.result?.id).join()
    );
  return { recorder, state, records, advanceClock, finish, getFinished };
}

describe("run recorder", () => {
  it("records outcomes that arrive together in one batch", async () => {
    const { recorder, advanceClock, finish, getFinished } = createRecorder();
    finish("a");
    finish("b");
    expect(recorder.hasOutcome(getItemKey("j", "a"))).equal(true);
    await advanceClock(50);
    expect(getFinished()).deep.equal(["a,b"]);
    // The outcome is kept, because the record may not be applied here yet.
    expect(recorder.hasOutcome(getItemKey("j", "a"))).equal(true);
    recorder.removeApplied([createJob(["b"])], CHAINS);
    expect(recorder.hasOutcome(getItemKey("j", "a"))).equal(false);
    expect(recorder.hasOutcome(getItemKey("j", "b"))).equal(true);
  });

  it("retries a failed record while it may record", async () => {
    const { recorder, state, records, advanceClock, finish, getFinished } =
      createRecorder();
    state.isFailing = true;
    finish("a");
    recorder.addFailure("j", "f", { count: 1, chain: 7n });
    await advanceClock(60);
    expect(recorder.hasOutcome(getItemKey("j", "a"))).equal(true);
    state.isFailing = false;
    await advanceClock(300);
    expect(getFinished()).deep.equal(["a", "a"]);
    expect(records.map((record) => record.failed.map((run) => run.count)))
      .deep.equal([[1], [1]]);
    recorder.removeApplied([], CHAINS);
    expect(recorder.hasOutcome(getItemKey("j", "a"))).equal(false);
  });

  it("keeps outcomes while it may not record, and offers them afterwards", async () => {
    const { recorder, state, records, advanceClock, finish, getFinished } =
      createRecorder();
    state.isFailing = true;
    state.canRecord = false;
    finish("a");
    recorder.addFailure("j", "f", { count: 2, chain: 7n });
    await advanceClock(300);
    expect(getFinished()).deep.equal(["a"]);
    expect(recorder.hasOutcome(getItemKey("j", "a"))).equal(true);
    expect(recorder.mayStart(getItemKey("j", "a"))).equal(false);
    expect(recorder.mayStart(getItemKey("j", "f"))).equal(false);
    state.isFailing = false;
    state.canRecord = true;
    await advanceClock(300);
    expect(getFinished()).deep.equal(["a", "a"]);
    expect(records.map((record) => record.failed.map((run) => run.count)))
      .deep.equal([[2], [2]]);
  });

  it("lets an item start again once its failure is applied", async () => {
    const { recorder, advanceClock } = createRecorder();
    recorder.addFailure("j", "f", { count: 2, chain: 7n });
    await advanceClock(50);
    // Another runner's failure got the same number.
    recorder.removeApplied([createJob(["f"], { f: 2 }, { f: [8n] })], CHAINS);
    expect(recorder.mayStart(getItemKey("j", "f"))).equal(false);
    recorder.removeApplied(
      [createJob(["f"], { f: 3 }, { f: [8n, 7n] })],
      CHAINS,
    );
    expect(recorder.mayStart(getItemKey("j", "f"))).equal(true);
  });

  it("goes by the number of a failure until chains are told apart", async () => {
    const { recorder, advanceClock } = createRecorder();
    const numbers = { identifiesChains: false };
    recorder.addFailure("j", "f", { count: 2, chain: 7n });
    await advanceClock(50);
    recorder.removeApplied([createJob(["f"], { f: 1 })], numbers);
    expect(recorder.mayStart(getItemKey("j", "f"))).equal(false);
    recorder.removeApplied([createJob(["f"], { f: 2 }, { f: [8n] })], numbers);
    expect(recorder.mayStart(getItemKey("j", "f"))).equal(true);
  });

  it("doesn't offer an outcome again that was applied meanwhile", async () => {
    const { recorder, state, advanceClock, finish, getFinished } =
      createRecorder();
    state.isFailing = true;
    finish("a");
    await advanceClock(50);
    recorder.removeApplied([], CHAINS);
    await advanceClock(300);
    expect(getFinished()).deep.equal(["a"]);
  });
});
