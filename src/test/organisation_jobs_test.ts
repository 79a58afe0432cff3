/** Jobs of organisations in the state machine and at the leader, without a network. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { expect } from "chai";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { createItemRequest } from "../fleet/item_attempt.ts";
import { JobAdmission } from "../fleet/job_admission.ts";
import {
  JobCommandReplySchema,
  JobCommandSchema,
  JobItemSchema,
  MessageCode,
} from "../schema/mod.ts";
import { JobMachine } from "../state/mod.ts";
import { createSilentLog } from "../sys/log.ts";

type Command = MessageInitShape<typeof JobCommandSchema>["command"];

const CONTEXT = { index: 1, term: 1, timeMs: 0 };

const encode = (command: Command) =>
  toBinary(JobCommandSchema, create(JobCommandSchema, { command }));
const readCode = (reply: Uint8Array) =>
  fromBinary(JobCommandReplySchema, reply).code;
const apply = (machine: JobMachine, command: Command) =>
  readCode(machine.apply(encode(command), CONTEXT));
const createSubmit = (
  id: string,
  organisation?: string,
  tokens = 10,
): Command => ({
  case: "submit",
  value: {
    id,
    route: "jobs",
    organisation,
    waitingTokens: 100n,
    items: [{ id: `${id}-1`, tokens: BigInt(tokens) }],
  },
});
const createEnd = (id: string, organisation?: string): Command => ({
  case: "end",
  value: { id, organisation },
});
const createMachine = (commandVersion = 2) => {
  const machine = new JobMachine();
  apply(machine, {
    case: "setRunners",
    value: { ids: ["r"], commandVersion },
  });
  return machine;
};
const { UNKNOWN_JOB, QUOTA_SPENT } = MessageCode;

describe("jobs of organisations", () => {
  it("are repeated and ended by their organisation only", () => {
    const machine = createMachine();
    expect(apply(machine, createSubmit("j", "a"))).equal(0);
    expect(apply(machine, createSubmit("j", "a"))).equal(0);
    expect(apply(machine, createSubmit("j", "b"))).equal(UNKNOWN_JOB);
    expect(apply(machine, createSubmit("j", ""))).equal(UNKNOWN_JOB);
    expect(apply(machine, createEnd("j", "b"))).equal(UNKNOWN_JOB);
    expect(machine.tryGetJob("j")?.isEnded).equal(false);
    // As for a job that belongs to another organisation.
    expect(apply(machine, createEnd("none", "b"))).equal(UNKNOWN_JOB);
    expect(apply(machine, createEnd("j", "a"))).equal(0);
    expect(machine.tryGetJob("j")?.isEnded).equal(true);
    expect(apply(machine, createEnd("j", "a"))).equal(0);
  });

  // Guards against jobs of the time before organisations that nobody can use.
  it("without an owner belong to all organisations", () => {
    const machine = createMachine();
    apply(machine, createSubmit("j"));
    expect(apply(machine, createSubmit("j", "a"))).equal(0);
    expect(apply(machine, createEnd("j", "a"))).equal(0);
    expect(machine.tryGetJob("j")?.isEnded).equal(true);
  });

  it("have a limit of waiting tokens for each organisation", () => {
    const machine = createMachine();
    expect(apply(machine, createSubmit("a1", "a", 90))).equal(0);
    expect(apply(machine, createSubmit("b1", "b", 90))).equal(0);
    expect(apply(machine, createSubmit("a2", "a", 11))).equal(QUOTA_SPENT);
    expect(apply(machine, createSubmit("a2", "a", 10))).equal(0);
    apply(machine, createEnd("a1", "a"));
    expect(machine.getWaitingTokens("jobs", "a")).equal(10n);
    expect(machine.getWaitingTokens("jobs")).equal(100n);
  });

  it("count together where callers are not identified", () => {
    const machine = createMachine();
    expect(apply(machine, createSubmit("j1", undefined, 90))).equal(0);
    expect(apply(machine, createSubmit("j2", undefined, 11)))
      .equal(QUOTA_SPENT);
  });

  // Guards against members of two builds that apply one command in different ways.
  it("are applied as by older builds until all members know organisations", () => {
    const machine = createMachine(1);
    expect(apply(machine, createSubmit("a1", "a", 90))).equal(0);
    expect(apply(machine, createSubmit("b1", "b", 11))).equal(QUOTA_SPENT);
    apply(machine, createEnd("a1", "b"));
    expect(machine.tryGetJob("a1")?.isEnded).equal(true);
  });

  it("keep owner, priority and waiting tokens in a snapshot", () => {
    const machine = createMachine();
    const submit = createSubmit("a1", "a", 90);
    if (submit?.case !== "submit") expect.fail("no submission");
    submit.value.items = [{ id: "x", tokens: 90n, priority: 0 }];
    apply(machine, submit);
    const restored = new JobMachine();
    restored.restore([...machine.capture()]);
    expect(restored.tryGetJob("a1")?.job.organisation).equal("a");
    expect(restored.tryGetJob("a1")?.job.items[0]?.priority).equal(0);
    expect(restored.getWaitingTokens("jobs", "a")).equal(90n);
    expect(apply(restored, createSubmit("a2", "a", 11))).equal(QUOTA_SPENT);
  });

  // Guards against items of a job from before the configuration had organisations,
  // or from an older gateway, that name one by themselves.
  it("have items that can't set their organisation", () => {
    const item = create(JobItemSchema, {
      id: "i",
      path: "/b/x",
      headers: [
        { name: "x-tenant", value: "forged" },
        { name: "Authorization", value: "Token k" },
        { name: "X-Model", value: "m" },
      ],
    });
    const read = (owner: string | undefined, areCallersIdentified: boolean) => {
      const identity = { owner, areCallersIdentified, priority: 1 };
      const { headers, organisation } = createItemRequest(
        "h",
        item,
        new PlatformBackendDialect(),
        identity,
      );
      return { isForged: headers.includes("forged"), organisation };
    };
    expect(read(undefined, false))
      .deep.equal({ isForged: true, organisation: undefined });
    [true, false].forEach((isIdentified) => {
      expect(read("a", isIdentified))
        .deep.equal({ isForged: false, organisation: "a" });
      expect(read("", isIdentified))
        .deep.equal({ isForged: false, organisation: undefined });
    });
    expect(read(undefined, true))
      .deep.equal({ isForged: false, organisation: undefined });
  });

  // Guards against the commands that older members would apply.
  it("are kept from others by the leader before it proposes", async () => {
    const machine = createMachine(1);
    apply(machine, createSubmit("j", "a"));
    const admission = new JobAdmission({
      machine,
      getMemberVersions: () => [2],
      processBytes: 220 << 20,
      clock: { getWallMs: () => 0 },
      log: createSilentLog(),
    });
    const proposed: Command[] = [];
    const admit = async (command: Command) =>
      readCode(
        await admission.admit(encode(command), {
          canServe: true,
          uncommittedBytes: 0,
          propose: () => {
            proposed.push(command);
            return Promise.resolve(machine.apply(encode(command), CONTEXT));
          },
        }),
      );
    expect(await admit(createSubmit("j", "b"))).equal(UNKNOWN_JOB);
    expect(await admit(createEnd("j", "b"))).equal(UNKNOWN_JOB);
    const [first, second] = await Promise.all([
      admit(createSubmit("k", "a")),
      admit(createSubmit("k", "b")),
    ]);
    expect([first, second]).deep.equal([0, UNKNOWN_JOB]);
    expect(proposed).length(1);
    expect(await admit(createEnd("j", "a"))).equal(0);
  });
});
