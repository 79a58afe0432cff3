/**
 * Many jobs at once, as when whole collections arrive faster than servers run them or
 * the disks of store hosts stall: the jobs that store hosts keep stay within their
 * memory.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { JobAdmission } from "../fleet/job_admission.ts";
import { JobMemory } from "../policy/mod.ts";
import {
  ItemEnd,
  JobCommandReplySchema,
  JobCommandSchema,
  MessageCode,
} from "../schema/mod.ts";
import { JobMachine } from "../state/mod.ts";
import { ServingError } from "../sys/errors.ts";
import { MemoryLog } from "../sys/log.ts";
import { range } from "./fleet_helpers.ts";

const MB = 1 << 20;
const ITEMS_PER_JOB = 10;
const BODY_BYTES = 15_000;
const JOB_BYTES = ITEMS_PER_JOB * BODY_BYTES;
const RETENTION_MS = 60_000;
const ENDED_JOB_TTL_MS = 120_000;

type Command = NonNullable<
  Parameters<typeof create<typeof JobCommandSchema>>[1]
>["command"];

const encode = (command: Command) =>
  toBinary(JobCommandSchema, create(JobCommandSchema, { command }));

const encodeJob = (id: string) =>
  encode({
    case: "submit",
    value: {
      id,
      route: "jobs",
      maxAttempts: 3,
      retentionMs: RETENTION_MS,
      items: range(ITEMS_PER_JOB).map((index) => ({
        id: `${id}-${index}`,
        tokens: 1n,
        body: new Uint8Array(BODY_BYTES),
      })),
    },
  });

const encodeResults = (job: string, count: number, textBytes: number) =>
  encode({
    case: "recordRuns",
    value: {
      finished: range(count).map((index) => ({
        job,
        result: {
          id: `${job}-${index}`,
          end: ItemEnd.DONE,
          text: new Uint8Array(textBytes),
        },
      })),
    },
  });

describe("the memory of jobs", () => {
  const apply = (machine: JobMachine, command: Uint8Array, timeMs = 0) =>
    machine.apply(command, { index: 1, term: 1, timeMs });

  // Guards against a count that drifts, so that jobs are refused for good or not
  // at all.
  it("is counted until a job is removed, also after a snapshot", () => {
    const machine = new JobMachine({ endedJobTtlMs: ENDED_JOB_TTL_MS });
    apply(machine, encodeJob("a"));
    apply(machine, encodeJob("a"));
    const oneJob = machine.retainedBytes;
    expect(oneJob).within(JOB_BYTES, 1.1 * JOB_BYTES);
    apply(machine, encodeResults("a", 4, 1_000));
    apply(machine, encodeResults("a", 4, 1_000));
    const half = oneJob - 4 * (BODY_BYTES - 1_000);
    expect(machine.retainedBytes).equal(half);
    const restored = new JobMachine({ endedJobTtlMs: ENDED_JOB_TTL_MS });
    restored.restore([...machine.capture()]);
    expect(restored.retainedBytes).equal(half);
    [machine, restored].forEach((replica) => {
      apply(replica, encode({ case: "end", value: { id: "a" } }));
      expect(replica.retainedBytes).equal(half - 6 * BODY_BYTES);
      apply(replica, encodeJob("b"), RETENTION_MS + ENDED_JOB_TTL_MS + 1);
      expect(replica.tryGetJob("a")).equal(undefined);
      expect(replica.retainedBytes).equal(oneJob);
    });
  });

  // Guards against a job that is held whole until its last item is done.
  it("is that of the open bodies, not of the message they came with", () => {
    const machine = new JobMachine();
    apply(machine, encodeJob("a"));
    const bodies = [...machine.tryGetJob("a")?.open.values() ?? []]
      .map(({ body }) => body);
    expect(bodies.length).equal(ITEMS_PER_JOB);
    bodies.forEach((body) => expect(body.buffer.byteLength).equal(BODY_BYTES));
  });

  let wallMs = 0;
  beforeEach(() => {
    wallMs = 0;
  });

  const createAdmission = (machine: JobMachine, processMb: number) =>
    new JobAdmission({
      machine,
      getMemberVersions: () => [2],
      processBytes: processMb * MB,
      clock: { getWallMs: () => wallMs },
      log: new MemoryLog(),
    });

  const readCode = (reply: Uint8Array) =>
    fromBinary(JobCommandReplySchema, reply).code;

  /** Submits jobs that are committed at once; returns the codes of the replies. */
  const submit = async (
    admission: JobAdmission,
    machine: JobMachine,
    ids: readonly string[],
  ) => {
    const codes: number[] = [];
    for (const id of ids) {
      const command = encodeJob(id);
      const reply = await admission.admit(command, {
        canServe: true,
        uncommittedBytes: 0,
        propose: () => Promise.resolve(apply(machine, command, wallMs)),
      });
      codes.push(readCode(reply));
    }
    return codes;
  };

  // Guards against FAULT: store processes over the memory of their hosts under
  // bursts of jobs.
  it("stays within its bound, and refused jobs are in no log", async () => {
    const machine = new JobMachine();
    const admission = createAdmission(machine, 220);
    const ids = range(600).map((index) => `j${index}`);
    const codes = await submit(admission, machine, ids);
    const accepted = ids.filter((id) => machine.tryGetJob(id) !== undefined);
    expect(codes.filter((code) => code === 0).length).equal(accepted.length);
    expect(new Set(codes))
      .deep.equal(new Set([0, MessageCode.JOB_MEMORY_SPENT]));
    expect(machine.retainedBytes).within(20 * MB, 60 * MB);
    // An accepted job is accepted again, whatever the memory.
    const again = await submit(admission, machine, accepted.slice(0, 5));
    expect(again).deep.equal([0, 0, 0, 0, 0]);
    // Results are smaller than bodies, so that further jobs fit.
    accepted.forEach((id) =>
      apply(machine, encodeResults(id, ITEMS_PER_JOB, 100))
    );
    expect(await submit(admission, machine, ["later"])).deep.equal([0]);
  });

  // Guards against jobs that are refused for good, since only the next job removes
  // those that have expired.
  it("is free again once jobs have expired", async () => {
    const machine = new JobMachine({ endedJobTtlMs: ENDED_JOB_TTL_MS });
    const admission = createAdmission(machine, 220);
    const ids = range(600).map((index) => `j${index}`);
    const codes = await submit(admission, machine, ids);
    expect(codes.at(-1)).equal(MessageCode.JOB_MEMORY_SPENT);
    ids.forEach((id) =>
      apply(machine, encodeResults(id, ITEMS_PER_JOB, BODY_BYTES))
    );
    expect(await submit(admission, machine, ["early"]))
      .deep.equal([MessageCode.JOB_MEMORY_SPENT]);
    wallMs = RETENTION_MS + ENDED_JOB_TTL_MS + 1;
    expect(await submit(admission, machine, ["later"])).deep.equal([0]);
    expect(machine.retainedBytes).lessThan(2 * JOB_BYTES);
  });

  // Guards against a leader that queues jobs while commits stall.
  it("is bounded for jobs that wait to be committed", async () => {
    const machine = new JobMachine();
    const admission = createAdmission(machine, 220);
    const commits: (() => void)[] = [];
    const replies: Promise<Uint8Array>[] = [];
    const send = async (id: string, canServe: boolean) => {
      const command = encodeJob(id);
      let isProposed = false;
      const reply = admission.admit(command, {
        canServe,
        uncommittedBytes: 0,
        propose: () => {
          isProposed = true;
          return new Promise<Uint8Array>((resolve) => {
            commits.push(() => resolve(apply(machine, command)));
          });
        },
      });
      if (isProposed) replies.push(reply);
      return isProposed
        ? "proposed"
        : await reply.then(readCode, (error) =>
          error instanceof ServingError ? error.code : error);
    };
    const ends = [];
    for (const index of range(300)) ends.push(await send(`j${index}`, true));
    expect(ends.slice(0, 10)).deep.equal(range(10).map(() => "proposed"));
    expect(ends.at(-1)).equal(MessageCode.JOB_MEMORY_SPENT);
    expect(commits.length * JOB_BYTES).lessThan(15 * MB);
    // A leader that doesn't know all that was accepted makes no promise.
    expect(await send("k", false)).equal(MessageCode.MAY_HAVE_COMMITTED);
    commits.forEach((commit) => commit());
    await Promise.all(replies);
    expect(await send("l", true)).equal("proposed");
  });

  // Guards against a log that grows with each change of leaders, as callers submit
  // again what the one before had taken.
  it("is bounded for jobs in the log that nobody waits for", () => {
    const memory = new JobMemory({
      processBytes: 220 * MB,
      getRetainedBytes: () => 0,
    });
    expect(memory.hasRoom(JOB_BYTES, MB)).equal(true);
    expect(memory.hasRoom(JOB_BYTES, memory.limitBytes / 2)).equal(false);
  });

  it("lets any command pass but a job", async () => {
    const machine = new JobMachine();
    const admission = createAdmission(machine, 0);
    await submit(admission, machine, range(100).map((index) => `j${index}`));
    const command = encodeResults("j0", 1, 4 * MB);
    const reply = await admission.admit(command, {
      canServe: true,
      uncommittedBytes: 0,
      propose: () => Promise.resolve(apply(machine, command)),
    });
    expect(readCode(reply)).equal(0);
    expect(machine.tryGetJob("j0")?.results.length).equal(1);
  });

  // Guards against a log that grows with each attempt of a caller while commits stall,
  // and against a copy of each accepted job that comes again.
  it("is taken once by a job that comes again", async () => {
    const machine = new JobMachine();
    const admission = createAdmission(machine, 220);
    const command = encodeJob("a");
    const commits: (() => void)[] = [];
    const send = () =>
      admission.admit(command, {
        canServe: true,
        uncommittedBytes: 0,
        propose: () =>
          new Promise<Uint8Array>((resolve) => {
            commits.push(() => resolve(apply(machine, command)));
          }),
      });
    const replies = range(5).map(send);
    expect(commits.length).equal(1);
    commits.forEach((commit) => commit());
    expect((await Promise.all(replies)).map(readCode))
      .deep.equal(range(5).map(() => 0));
    expect(readCode(await send())).equal(0);
    expect(commits.length).equal(1);
  });

  it("is free again after a proposal that failed", async () => {
    const admission = createAdmission(new JobMachine(), 220);
    const send = (outcome: Promise<Uint8Array>) =>
      admission.admit(encodeJob("a"), {
        canServe: true,
        uncommittedBytes: 0,
        propose: () => outcome,
      }).then(readCode, (error) => error.message);
    expect(await send(Promise.reject(new Error("lost")))).equal("lost");
    const reply = toBinary(
      JobCommandReplySchema,
      create(JobCommandReplySchema),
    );
    expect(await send(Promise.resolve(reply))).equal(0);
  });

  it("has room for one job, however large it is", () => {
    const memory = new JobMemory({
      processBytes: 0,
      getRetainedBytes: () => 0,
    });
    expect(memory.hasRoom(memory.limitBytes, 0)).equal(true);
    memory.track(memory.limitBytes, new Promise(() => {}));
    expect(memory.hasRoom(1, 0)).equal(false);
  });
});
