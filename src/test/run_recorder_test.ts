/** Results of items while records fail. */
import { expect } from "chai";
import { RunRecorder } from "../fleet/run_recorder.ts";
import { ItemEnd, type RecordRuns } from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";

function settleTurns(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function createRecorder() {
  const clock = new ManualClock();
  const state = { mayRecord: true, isBroken: false };
  const records: RecordRuns[] = [];
  const recorder = new RunRecorder({
    record: (runs) => {
      records.push(runs);
      return state.isBroken
        ? Promise.reject(new Error("no quorum"))
        : Promise.resolve();
    },
    canRecord: () => state.mayRecord,
    clock,
    log: createSilentLog(),
  });
  const pass = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 5) {
      clock.advance(5);
      await settleTurns();
    }
  };
  const finish = (id: string) =>
    recorder.addOutcome("j", { id, end: ItemEnd.DONE, text: new Uint8Array() });
  const getFinished = () =>
    records.map((one) => one.finished.map((run) => run.result?.id).join());
  return { recorder, state, records, pass, finish, getFinished };
}

describe("run recorder", () => {
  it("records together what ends together", async () => {
    const { recorder, pass, finish, getFinished } = createRecorder();
    finish("a");
    finish("b");
    expect(recorder.hasOutcome("j", "a")).equal(true);
    await pass(50);
    expect(getFinished()).deep.equal(["a,b"]);
    // This process may not have applied the record yet.
    expect(recorder.hasOutcome("j", "a")).equal(true);
    recorder.retainOnly(new Set(["j/b"]));
    expect(recorder.hasOutcome("j", "a")).equal(false);
    expect(recorder.hasOutcome("j", "b")).equal(true);
  });

  it("offers what could not be recorded again while it may", async () => {
    const { recorder, state, records, pass, finish, getFinished } =
      createRecorder();
    state.isBroken = true;
    finish("a");
    recorder.addFailure("j", "f", 1);
    await pass(60);
    expect(recorder.hasOutcome("j", "a")).equal(true);
    state.isBroken = false;
    await pass(300);
    expect(getFinished()).deep.equal(["a", "a"]);
    expect(records.map((one) => one.failed.map((run) => run.count)))
      .deep.equal([[1], [1]]);
    recorder.retainOnly(new Set());
    expect(recorder.hasOutcome("j", "a")).equal(false);
  });

  it("lets go of results once another runs the items", async () => {
    const { recorder, state, pass, finish, getFinished } = createRecorder();
    state.isBroken = true;
    state.mayRecord = false;
    finish("a");
    await pass(300);
    expect(getFinished()).deep.equal(["a"]);
    expect(recorder.hasOutcome("j", "a")).equal(false);
  });
});
