/** State of the fleet's groups: versions, jobs, and their snapshots. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import {
  FleetCommandSchema,
  FleetReplySchema,
  HostRole,
  ItemEnd,
  JobCommandReplySchema,
  JobCommandSchema,
  MessageCode,
} from "../schema/mod.ts";
import {
  FleetMachine,
  JobMachine,
  joinProgressParts,
  type StateMachine,
} from "../state/mod.ts";

type FleetCommandInit = MessageInitShape<typeof FleetCommandSchema>["command"];
type JobCommandInit = MessageInitShape<typeof JobCommandSchema>["command"];

const encodeText = (text: string) => Buffer.from(text);

let nextIndex = 1;

function apply(machine: StateMachine, bytes: Uint8Array, timeMs = 0) {
  nextIndex += 1;
  return machine.apply(bytes, { index: nextIndex, term: 1, timeMs });
}

function applyFleetCommand(machine: FleetMachine, command: FleetCommandInit) {
  const bytes = toBinary(
    FleetCommandSchema,
    create(FleetCommandSchema, { command }),
  );
  return fromBinary(FleetReplySchema, apply(machine, bytes));
}

function applyJobCommand(
  machine: JobMachine,
  command: JobCommandInit,
  timeMs = 0,
) {
  const bytes = toBinary(
    JobCommandSchema,
    create(JobCommandSchema, { command }),
  );
  return fromBinary(JobCommandReplySchema, apply(machine, bytes, timeMs)).code;
}

function submitJob(
  machine: JobMachine,
  id: string,
  items: string[],
  overrides = {},
) {
  return applyJobCommand(machine, {
    case: "submit",
    value: {
      id,
      route: "r",
      host: "h",
      retentionMs: 1_000,
      maxAttempts: 3,
      items: items.map((item) => ({ id: item, tokens: 10n })),
      ...overrides,
    },
  });
}

function recordResult(
  machine: JobMachine,
  job: string,
  id: string,
  text: string,
) {
  return applyJobCommand(machine, {
    case: "recordRuns",
    value: {
      finished: [{
        job,
        result: { id, end: ItemEnd.DONE, text: Buffer.from(text) },
      }],
      failed: [],
    },
  });
}

const recordFailure = (
  machine: JobMachine,
  job: string,
  item: string,
  count: number,
) =>
  applyJobCommand(machine, {
    case: "recordRuns",
    value: { finished: [], failed: [{ job, item, count }] },
  });

function formatResults(machine: JobMachine, job: string): string[] {
  return machine.tryGetJob(job)?.results.map((result) =>
    `${result.id}=${ItemEnd[result.end]}:${Buffer.from(result.text)}`
  ) ?? [];
}

function restoreFromSnapshot<M extends StateMachine>(from: M, to: M): M {
  to.restore([...from.capture()]);
  return to;
}

describe("fleet machine", () => {
  it("keeps the highest version, in whatever order versions come", () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }),
      (versions) => {
        const machine = new FleetMachine();
        const replies = versions.map((version) =>
          Number(
            applyFleetCommand(machine, {
              case: "putRoutes",
              value: { version: BigInt(version) },
            }).version,
          )
        );
        expect(replies).deep.equal(
          versions.map((_, at) => Math.max(...versions.slice(0, at + 1))),
        );
        expect(restoreFromSnapshot(machine, new FleetMachine()).routes.version)
          .equal(machine.routes.version);
      },
    ));
  });

  it("doesn't take other content under the version in force", () => {
    const machine = new FleetMachine();
    const put = (text: string) =>
      applyFleetCommand(machine, {
        case: "putRoutes",
        value: { version: 7n, document: Buffer.from(text) },
      });
    put("first");
    put("second");
    expect(Buffer.from(machine.routes.document).toString()).equal("first");
  });

  it("tells a reader what it lacks, and nothing else", () => {
    const machine = new FleetMachine();
    const read = (routesVersion: bigint, hostsVersion: bigint) =>
      applyFleetCommand(machine, {
        case: "readState",
        value: { routesVersion, hostsVersion },
      });
    applyFleetCommand(machine, { case: "putRoutes", value: { version: 7n } });
    register(machine, "a:1/x", "a");
    expect(read(0n, 0n).routes?.version).equal(7n);
    expect(read(0n, 0n).hosts?.hosts.map((host) => host.id))
      .deep.equal(["a:1/x"]);
    const { version } = machine.hosts;
    expect(read(7n, version).routes).equal(undefined);
    expect(read(7n, version).hosts).equal(undefined);
    expect(read(6n, version).version).equal(7n);
  });

  const register = (machine: FleetMachine, id: string, name: string) =>
    applyFleetCommand(machine, {
      case: "registerHost",
      value: {
        id,
        name,
        role: HostRole.STORE,
        address: id.split("/")[0],
        dataCentre: "dc",
      },
    });

  it("replaces a host whose disk was lost, and lists none twice", () => {
    const machine = new FleetMachine();
    register(machine, "h1/a", "one");
    const { version } = machine.hosts;
    register(machine, "h1/a", "one");
    expect(machine.hosts.version).equal(version);
    register(machine, "h1/b", "one");
    expect(machine.hosts.hosts.map((host) => host.id)).deep.equal(["h1/b"]);
  });

  it("takes a host out of service only while enough remain", () => {
    const machine = new FleetMachine({ minStoreHosts: 2 });
    ["one", "two", "three"].forEach((name) =>
      register(machine, `${name}/a`, name)
    );
    const retire = (name: string) =>
      applyFleetCommand(machine, { case: "retireHost", value: name }).code;
    expect(retire("none")).equal(MessageCode.UNKNOWN_HOST);
    expect(retire("one")).equal(0);
    expect(retire("one")).equal(0);
    expect(retire("two")).equal(MessageCode.TOO_FEW_HOSTS);
    const copied = restoreFromSnapshot(
      machine,
      new FleetMachine({ minStoreHosts: 2 }),
    );
    expect(copied.hosts.retired).deep.equal(["one/a"]);
  });

  it("drops an older report of the store's members", () => {
    const machine = new FleetMachine();
    const report = (ids: string[], term: bigint, index: bigint) =>
      applyFleetCommand(machine, {
        case: "reportStore",
        value: { ids, term, index },
      });
    report(["a", "b"], 2n, 10n);
    report(["a"], 1n, 99n);
    report(["b"], 2n, 9n);
    expect(machine.hosts.storeNow?.ids).deep.equal(["a", "b"]);
    report(["c"], 3n, 1n);
    expect(machine.hosts.storeNow?.ids).deep.equal(["c"]);
  });
});

describe("job machine", () => {
  it("accepts a job once and keeps the first result of an item", () => {
    const machine = new JobMachine();
    expect(submitJob(machine, "j", ["a", "b"])).equal(0);
    expect(submitJob(machine, "j", ["a", "b", "c"])).equal(0);
    recordResult(machine, "j", "b", "first");
    recordResult(machine, "j", "b", "second");
    recordResult(machine, "other", "b", "none");
    recordResult(machine, "j", "a", "third");
    expect(formatResults(machine, "j")).deep.equal([
      "b=DONE:first",
      "a=DONE:third",
    ]);
    expect(machine.tryGetJob("j")?.job.items).length(2);
    expect(machine.getOpenJobs()).deep.equal([]);
  });

  it("makes a dead letter after as many failures as the route allows", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a"]);
    recordFailure(machine, "j", "a", 1);
    recordFailure(machine, "j", "a", 2);
    expect(formatResults(machine, "j")).deep.equal([]);
    recordFailure(machine, "j", "a", 3);
    expect(formatResults(machine, "j")).deep.equal(["a=DEAD_LETTER:"]);
  });

  it("counts a failure once, however often it is recorded", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a"]);
    [1, 1, 1, 2, 1, 2].forEach((count) =>
      recordFailure(machine, "j", "a", count)
    );
    expect(formatResults(machine, "j")).deep.equal([]);
    recordFailure(machine, "j", "a", 3);
    expect(formatResults(machine, "j")).deep.equal(["a=DEAD_LETTER:"]);
  });

  it("keeps the agreed list of runners over a snapshot", () => {
    const machine = new JobMachine();
    const set = (ids: string[]) =>
      applyJobCommand(machine, { case: "setRunners", value: { ids } });
    set(["a", "b"]);
    submitJob(machine, "j", ["x"]);
    set(["b"]);
    expect(restoreFromSnapshot(machine, new JobMachine()).runners).deep.equal([
      "b",
    ]);
    expect(restoreFromSnapshot(new JobMachine(), machine).runners).deep.equal(
      [],
    );
  });

  it("keeps what a run has produced, and drops parts that don't follow", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a"]);
    const record = (after: bigint, last: bigint, text: string) =>
      applyJobCommand(machine, {
        case: "recordRuns",
        value: {
          finished: [],
          failed: [],
          progress: [{
            job: "j",
            item: "a",
            after,
            last,
            text: encodeText(text),
          }],
        },
      });
    const read = (from: JobMachine) => {
      const known = from.tryGetJob("j")?.progress.get("a");
      return `${known?.last}:${
        Buffer.from(joinProgressParts(known?.parts ?? []))
      }`;
    };
    record(0n, 2n, "1\n2");
    record(0n, 9n, "of another run");
    record(5n, 6n, "after a gap");
    record(2n, 3n, "3");
    expect(read(machine)).equal("3:1\n2\n3");
    expect(read(restoreFromSnapshot(machine, new JobMachine()))).equal(
      "3:1\n2\n3",
    );
    recordFailure(machine, "j", "a", 1);
    expect(machine.tryGetJob("j")?.progress.size).equal(0);
  });

  it("counts waiting tokens of items that are neither done nor ended", () => {
    const machine = new JobMachine();
    const limit = { waitingTokens: 30n };
    expect(submitJob(machine, "j", ["a", "b"], limit)).equal(0);
    expect(submitJob(machine, "k", ["a", "b"], limit))
      .equal(MessageCode.QUOTA_SPENT);
    expect(submitJob(machine, "j", ["a", "b"], limit), "again").equal(0);
    recordResult(machine, "j", "a", "x");
    expect(submitJob(machine, "k", ["a", "b"], limit)).equal(0);
    applyJobCommand(machine, { case: "end", value: { id: "k" } });
    applyJobCommand(machine, { case: "end", value: { id: "k" } });
    expect(machine.getWaitingTokens("r")).equal(10n);
    recordResult(machine, "k", "a", "after the end");
    expect(machine.getWaitingTokens("r")).equal(10n);
    expect(restoreFromSnapshot(machine, new JobMachine()).getWaitingTokens("r"))
      .equal(10n);
  });

  it("is the same after a snapshot, whatever came before", () => {
    const names = fc.constantFrom("a", "b", "c");
    const step = fc.record({
      kind: fc.constantFrom("submit", "finish", "fail", "end"),
      job: names,
      item: names,
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const machine = new JobMachine();
      const applyStep = (target: JobMachine, step: typeof steps[number]) => {
        const { kind, job, item } = step;
        if (kind === "submit") submitJob(target, job, ["a", "b", "c"]);
        if (kind === "finish") recordResult(target, job, item, `${job}${item}`);
        if (kind === "fail") {
          const known = target.tryGetJob(job)?.failures.get(item) ?? 0;
          recordFailure(target, job, item, known + 1);
        }
        if (kind === "end") {
          applyJobCommand(target, { case: "end", value: { id: job } });
        }
      };
      const half = Math.floor(steps.length / 2);
      steps.slice(0, half).forEach((one) => applyStep(machine, one));
      const copied = restoreFromSnapshot(machine, new JobMachine());
      steps.slice(half).forEach((one) => {
        applyStep(machine, one);
        applyStep(copied, one);
      });
      ["a", "b", "c"].forEach((job) => {
        expect(formatResults(copied, job)).deep.equal(
          formatResults(machine, job),
        );
        expect([...copied.tryGetJob(job)?.open.keys() ?? []])
          .deep.equal([...machine.tryGetJob(job)?.open.keys() ?? []]);
      });
      expect(copied.getWaitingTokens("r"))
        .equal(machine.getWaitingTokens("r"));
    }));
  });
});
