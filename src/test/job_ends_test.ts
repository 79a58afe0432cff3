/**
 * Ends of jobs in the state machine: an end and its job may be committed in any order,
 * several times, and with a snapshot in between.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import { JobAdmission } from "../fleet/job_admission.ts";
import {
  JobCommandReplySchema,
  JobCommandSchema,
  MessageCode,
} from "../schema/mod.ts";
import { JobMachine } from "../state/mod.ts";
import type { ServingError } from "../sys/errors.ts";
import { createSilentLog } from "../sys/log.ts";

type Command = MessageInitShape<typeof JobCommandSchema>["command"];

const TTL_MS = 120_000;
const RETENTION_MS = 60_000;
const BODY_BYTES = 1_000;
const { UNKNOWN_JOB, JOB_MEMORY_SPENT } = MessageCode;

const encode = (command: Command) =>
  toBinary(JobCommandSchema, create(JobCommandSchema, { command }));
const readCode = (reply: Uint8Array) =>
  fromBinary(JobCommandReplySchema, reply).code;
const apply = (machine: JobMachine, command: Command, timeMs = 0) =>
  readCode(machine.apply(encode(command), { index: 1, term: 1, timeMs }));

const createSubmit = (id: string, organisation?: string): Command => ({
  case: "submit",
  value: {
    id,
    route: "jobs",
    organisation,
    retentionMs: RETENTION_MS,
    waitingTokens: 10n,
    items: [{ id: `${id}-1`, tokens: 10n, body: new Uint8Array(BODY_BYTES) }],
  },
});
const createEnd = (
  id: string,
  organisation?: string,
  source = "10.0.0.1",
): Command => ({
  case: "end",
  value: { id, organisation, source },
});

const createMachine = (commandVersion = 3) => {
  const machine = new JobMachine({ endedJobTtlMs: TTL_MS });
  apply(machine, {
    case: "setRunners",
    value: { ids: ["r"], commandVersion },
  });
  return machine;
};

const restore = (machine: JobMachine) => {
  const restored = new JobMachine({ endedJobTtlMs: TTL_MS });
  restored.restore([...machine.capture()]);
  return restored;
};

const listOpen = (machine: JobMachine) =>
  machine.getOpenJobs().map(({ job }) => job.id);

describe("the end of a job", () => {
  // Guards against UNASKED: items of a job that comes after its end.
  it("holds for a job that comes after it, also after a snapshot", () => {
    const machine = createMachine();
    expect(apply(machine, createEnd("j"))).equal(0);
    [machine, restore(machine)].forEach((replica) => {
      expect(apply(replica, createSubmit("j"))).equal(0);
      expect(apply(replica, createSubmit("j"))).equal(0);
      const queued = replica.tryGetJob("j");
      expect(queued?.isEnded).equal(true);
      expect(queued?.job.items).length(1);
      expect(listOpen(replica)).deep.equal([]);
      expect(replica.getWaitingTokens("jobs")).equal(0n);
      expect(apply(replica, createSubmit("k"))).equal(0);
      expect(listOpen(restore(replica))).deep.equal(["k"]);
    });
  });

  it("of a job that has no more room is accepted with the job", () => {
    const machine = createMachine();
    apply(machine, createSubmit("k"));
    apply(machine, createEnd("j"));
    expect(apply(machine, createSubmit("j"))).equal(0);
    expect(apply(machine, createSubmit("l"))).equal(MessageCode.QUOTA_SPENT);
  });

  // Guards against a job that is forgotten soon after its end, and comes again.
  it("is kept for the same time whether the job was known or not", () => {
    const knownEndMs = RETENTION_MS + TTL_MS - 1_000;
    [true, false].forEach((isKnown) => {
      const machine = createMachine();
      if (isKnown) apply(machine, createSubmit("j"));
      apply(machine, createEnd("j"), knownEndMs);
      const replicas = [machine, restore(machine)];
      replicas.forEach((replica) => {
        apply(replica, createSubmit("j"), knownEndMs + TTL_MS);
        expect(listOpen(replica), `known: ${isKnown}`).deep.equal([]);
      });
      const later = createMachine();
      if (isKnown) apply(later, createSubmit("j"));
      apply(later, createEnd("j"), knownEndMs);
      // From then on the id is that of a new job; any job removes expired ones.
      const expiredMs = knownEndMs + TTL_MS + 1;
      apply(later, createSubmit("other"), expiredMs);
      apply(later, createEnd("other"), expiredMs);
      apply(later, createSubmit("j"), expiredMs);
      expect(listOpen(later)).deep.equal(["j"]);
    });
  });

  it("counts as long as the last of its repeats", () => {
    const machine = createMachine();
    apply(machine, createEnd("j"), 0);
    apply(machine, createEnd("j"), TTL_MS);
    apply(machine, createSubmit("j"), TTL_MS + 1);
    expect(listOpen(machine)).deep.equal([]);
  });

  it("holds only for jobs that its organisation may use", () => {
    const machine = createMachine();
    // As for a job that belongs to another organisation.
    expect(apply(machine, createEnd("j", "b"))).equal(UNKNOWN_JOB);
    expect(apply(machine, createSubmit("j", "a"))).equal(0);
    expect(listOpen(machine)).deep.equal(["j"]);
    expect(apply(machine, createEnd("j", "b"))).equal(UNKNOWN_JOB);
    expect(listOpen(machine)).deep.equal(["j"]);
    expect(apply(machine, createEnd("k", "b"))).equal(UNKNOWN_JOB);
    expect(apply(machine, createEnd("k", "a"))).equal(UNKNOWN_JOB);
    expect(apply(restore(machine), createSubmit("k", "a"))).equal(0);
    expect(apply(machine, createSubmit("k", "a"))).equal(0);
    expect(machine.tryGetJob("k")?.isEnded).equal(true);
  });

  // Guards against members of two builds that apply one command in different ways.
  it("holds for later jobs only when all members know that", () => {
    const machine = createMachine(2);
    apply(machine, createEnd("j"));
    apply(machine, createSubmit("j"));
    expect(listOpen(machine)).deep.equal(["j"]);
  });

  // Guards against an end in the moment before a new group has agreed on a version.
  it("waits until the members' versions are known, or one of them is old", async () => {
    const machine = createMachine(0);
    let versions = [3, 0, 3];
    const admission = new JobAdmission({
      machine,
      getMemberVersions: () => versions,
      processBytes: 220 << 20,
      clock: { getWallMs: () => 0 },
      log: createSilentLog(),
    });
    const end = (id: string) =>
      admission.admit(encode(createEnd(id)), {
        canServe: true,
        uncommittedBytes: 0,
        propose: () =>
          Promise.resolve(
            machine.apply(encode(createEnd(id)), {
              index: 1,
              term: 1,
              timeMs: 0,
            }),
          ),
      }).then(readCode, (error: ServingError) => error.code);
    expect(await end("j")).equal(MessageCode.MAY_HAVE_COMMITTED);
    versions = [3, 3, 3];
    expect(await end("j")).equal(MessageCode.MAY_HAVE_COMMITTED);
    // The end of a known job needs no record.
    apply(machine, createSubmit("known"));
    expect(await end("known")).equal(0);
    versions = [3, 2, 3];
    expect(await end("old")).equal(0);
    versions = [3, 3, 3];
    apply(machine, {
      case: "setRunners",
      value: { ids: ["r"], commandVersion: 3 },
    });
    expect(await end("j")).equal(0);
    apply(machine, createSubmit("j"));
    expect(listOpen(machine)).deep.equal([]);
  });

  it("has the same effect before and after its job, in any number", () => {
    const ids = ["a", "b"];
    const organisations = [undefined, "", "x", "y"];
    const step = fc.record({
      kind: fc.constantFrom("submit", "end", "restore"),
      id: fc.constantFrom(...ids),
      organisation: fc.constantFrom(...organisations),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      let machine = createMachine();
      steps.forEach(({ kind, id, organisation }) => {
        if (kind === "restore") machine = restore(machine);
        else {
          const createCommand = kind === "end" ? createEnd : createSubmit;
          apply(machine, createCommand(id, organisation));
        }
      });
      ids.forEach((id) => {
        const owner = machine.tryGetJob(id)?.job.organisation;
        const ends = steps.filter((one) => one.kind === "end" && one.id === id);
        const isEnded = ends.some(({ organisation }) =>
          apply(createOwned(id, owner), createEnd(id, organisation)) === 0
        );
        expect(listOpen(machine).includes(id))
          .equal(machine.tryGetJob(id) !== undefined && !isEnded);
      });
    }));
  });

  const createOwned = (id: string, owner: string | undefined) => {
    const machine = createMachine();
    apply(machine, createSubmit(id, owner));
    return machine;
  };

  const createAdmission = () => {
    const machine = createMachine();
    const clock = { nowMs: 0, getWallMs: () => clock.nowMs };
    const admission = new JobAdmission({
      machine,
      getMemberVersions: () => [3],
      processBytes: 220 << 20,
      clock,
      log: createSilentLog(),
    });
    const end = async (id: string, organisation?: string, source?: string) => {
      const command = encode(createEnd(id, organisation, source));
      const propose = () =>
        Promise.resolve(
          machine.apply(command, { index: 1, term: 1, timeMs: clock.nowMs }),
        );
      const proposer = { canServe: true, uncommittedBytes: 0, propose };
      return readCode(await admission.admit(command, proposer));
    };
    return { machine, clock, end };
  };

  // Guards against FAULT: memory that grows with ends of jobs that never come.
  it("takes memory that is freed, and is refused if there are too many", async () => {
    const machine = createMachine();
    const admission = new JobAdmission({
      machine,
      getMemberVersions: () => [3],
      processBytes: 220 << 20,
      clock: { getWallMs: () => 0 },
      log: createSilentLog(),
    });
    const end = async (id: string, timeMs: number) => {
      const command = encode(createEnd(id));
      return readCode(
        await admission.admit(command, {
          canServe: true,
          uncommittedBytes: 0,
          propose: () =>
            Promise.resolve(
              machine.apply(command, { index: 1, term: 1, timeMs }),
            ),
        }),
      );
    };
    apply(machine, createSubmit("known"));
    let count = 0;
    while (count < 100_000 && (await end(`j${count}`, 0)) === 0) count += 1;
    expect(count).within(10_000, 50_000);
    expect(machine.endBytes).below(9 << 20);
    expect(await end("one more", 0)).equal(JOB_MEMORY_SPENT);
    expect(await end("known", 0)).equal(0);
    apply(machine, createSubmit("k"), TTL_MS + 1);
    expect(machine.endBytes).equal(0);
    expect(await end("one more", TTL_MS + 1)).equal(0);
  });

  // Guards against one caller's ends after which all others get 503 for two minutes.
  it("leaves room for the ends of other callers", async () => {
    const { machine, clock, end } = createAdmission();
    const fill = async (organisation?: string, source?: string) => {
      const name = `${organisation}-${source}`;
      let count = 0;
      while (
        count < 100_000 &&
        (await end(`${name}-${count}`, organisation, source)) !==
          JOB_MEMORY_SPENT
      ) count += 1;
      return count;
    };
    expect(await fill(undefined, "10.0.0.2")).within(10_000, 20_000);
    expect(await end("other", undefined, "10.0.0.3")).equal(0);
    // A repeated end counts where it came from last.
    expect(await end("undefined-10.0.0.2-0", undefined, "10.0.0.3")).equal(0);
    expect(await end("one more", undefined, "10.0.0.2")).equal(0);
    expect(await end("two more", undefined, "10.0.0.2"))
      .equal(JOB_MEMORY_SPENT);
    // An organisation is one caller, whatever its addresses.
    expect(await fill("x", "10.0.0.4")).greaterThan(5_000);
    expect(await end("more of x", "x", "10.0.0.5")).equal(JOB_MEMORY_SPENT);
    expect(machine.endBytes).below(9 << 20);
    clock.nowMs = TTL_MS + 1;
    expect(await end("two more", undefined, "10.0.0.2")).equal(0);
    expect(machine.endBytes).below(1_000);
  });

  // Guards against ends that are refused for good once there were too many of them.
  it("is accepted again once the others have expired, also with no job between", async () => {
    const { machine, clock, end } = createAdmission();
    let count = 0;
    while (count < 100_000 && (await end(`j${count}`)) === 0) count += 1;
    expect(await end("one more")).equal(JOB_MEMORY_SPENT);
    clock.nowMs = TTL_MS + 1;
    expect(machine.getExpiredBytes(clock.nowMs)).equal(machine.retainedBytes);
    expect(await end("one more")).equal(0);
    expect(machine.endBytes).below(1_000);
  });

  // Guards against a refusal that isn't true: the end holds, its reply was lost.
  it("that is recorded is not refused when it is repeated", async () => {
    const { end } = createAdmission();
    let count = 0;
    while (count < 100_000 && (await end(`j${count}`)) === 0) count += 1;
    // Another caller takes the rest.
    const other = "10.0.0.9";
    while (
      count < 100_000 && (await end(`j${count}`, undefined, other)) === 0
    ) count += 1;
    expect(await end("one more")).equal(JOB_MEMORY_SPENT);
    expect(await end("j0")).equal(0);
    expect(await end("j0", "x")).equal(JOB_MEMORY_SPENT);
  });

  it("takes no memory for the bodies of a job that comes after it", () => {
    const machine = createMachine();
    apply(machine, createEnd("j"));
    const before = machine.retainedBytes;
    apply(machine, createSubmit("j"));
    expect(machine.retainedBytes - before).below(BODY_BYTES);
    expect(restore(machine).retainedBytes).equal(machine.retainedBytes);
  });
});
