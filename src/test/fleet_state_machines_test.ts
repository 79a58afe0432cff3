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

const encode = (text: string) => Buffer.from(text);

let nextIndex = 1;

function apply(machine: StateMachine, bytes: Uint8Array, timeMs = 0) {
  nextIndex += 1;
  return machine.apply(bytes, { index: nextIndex, term: 1, timeMs });
}

function runFleet(machine: FleetMachine, command: FleetCommandInit) {
  const bytes = toBinary(
    FleetCommandSchema,
    create(FleetCommandSchema, { command }),
  );
  return fromBinary(FleetReplySchema, apply(machine, bytes));
}

function runJob(machine: JobMachine, command: JobCommandInit, timeMs = 0) {
  const bytes = toBinary(
    JobCommandSchema,
    create(JobCommandSchema, { command }),
  );
  return fromBinary(JobCommandReplySchema, apply(machine, bytes, timeMs)).code;
}

function submit(machine: JobMachine, id: string, items: string[], more = {}) {
  return runJob(machine, {
    case: "submit",
    value: {
      id,
      route: "r",
      host: "h",
      retentionMs: 1_000,
      maxAttempts: 3,
      items: items.map((item) => ({ id: item, tokens: 10n })),
      ...more,
    },
  });
}

function finish(machine: JobMachine, job: string, id: string, text: string) {
  return runJob(machine, {
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

const fail = (machine: JobMachine, job: string, item: string, count: number) =>
  runJob(machine, {
    case: "recordRuns",
    value: { finished: [], failed: [{ job, item, count }] },
  });

function getTexts(machine: JobMachine, job: string): string[] {
  return machine.tryGetJob(job)?.results.map((result) =>
    `${result.id}=${ItemEnd[result.end]}:${Buffer.from(result.text)}`
  ) ?? [];
}

function copy<M extends StateMachine>(from: M, to: M): M {
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
            runFleet(machine, {
              case: "putRoutes",
              value: { version: BigInt(version) },
            }).version,
          )
        );
        expect(replies).deep.equal(
          versions.map((_, at) => Math.max(...versions.slice(0, at + 1))),
        );
        expect(copy(machine, new FleetMachine()).routes.version)
          .equal(machine.routes.version);
      },
    ));
  });

  it("doesn't take other content under the version in force", () => {
    const machine = new FleetMachine();
    const put = (text: string) =>
      runFleet(machine, {
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
      runFleet(machine, {
        case: "readState",
        value: { routesVersion, hostsVersion },
      });
    runFleet(machine, { case: "putRoutes", value: { version: 7n } });
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
    runFleet(machine, {
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
      runFleet(machine, { case: "retireHost", value: name }).code;
    expect(retire("none")).equal(MessageCode.UNKNOWN_HOST);
    expect(retire("one")).equal(0);
    expect(retire("one")).equal(0);
    expect(retire("two")).equal(MessageCode.TOO_FEW_HOSTS);
    const copied = copy(machine, new FleetMachine({ minStoreHosts: 2 }));
    expect(copied.hosts.retired).deep.equal(["one/a"]);
  });

  it("drops an older report of the store's members", () => {
    const machine = new FleetMachine();
    const report = (ids: string[], term: bigint, index: bigint) =>
      runFleet(machine, { case: "reportStore", value: { ids, term, index } });
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
    expect(submit(machine, "j", ["a", "b"])).equal(0);
    expect(submit(machine, "j", ["a", "b", "c"])).equal(0);
    finish(machine, "j", "b", "first");
    finish(machine, "j", "b", "second");
    finish(machine, "other", "b", "none");
    finish(machine, "j", "a", "third");
    expect(getTexts(machine, "j")).deep.equal(["b=DONE:first", "a=DONE:third"]);
    expect(machine.tryGetJob("j")?.job.items).length(2);
    expect(machine.getOpenJobs()).deep.equal([]);
  });

  it("makes a dead letter after as many failures as the route allows", () => {
    const machine = new JobMachine();
    submit(machine, "j", ["a"]);
    fail(machine, "j", "a", 1);
    fail(machine, "j", "a", 2);
    expect(getTexts(machine, "j")).deep.equal([]);
    fail(machine, "j", "a", 3);
    expect(getTexts(machine, "j")).deep.equal(["a=DEAD_LETTER:"]);
  });

  it("counts a failure once, however often it is recorded", () => {
    const machine = new JobMachine();
    submit(machine, "j", ["a"]);
    [1, 1, 1, 2, 1, 2].forEach((count) => fail(machine, "j", "a", count));
    expect(getTexts(machine, "j")).deep.equal([]);
    fail(machine, "j", "a", 3);
    expect(getTexts(machine, "j")).deep.equal(["a=DEAD_LETTER:"]);
  });

  it("keeps the agreed list of runners over a snapshot", () => {
    const machine = new JobMachine();
    const set = (ids: string[]) =>
      runJob(machine, { case: "setRunners", value: { ids } });
    set(["a", "b"]);
    submit(machine, "j", ["x"]);
    set(["b"]);
    expect(copy(machine, new JobMachine()).runners).deep.equal(["b"]);
    expect(copy(new JobMachine(), machine).runners).deep.equal([]);
  });

  it("keeps what a run has produced, and drops parts that don't follow", () => {
    const machine = new JobMachine();
    submit(machine, "j", ["a"]);
    const record = (after: bigint, last: bigint, text: string) =>
      runJob(machine, {
        case: "recordRuns",
        value: {
          finished: [],
          failed: [],
          progress: [{ job: "j", item: "a", after, last, text: encode(text) }],
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
    expect(read(copy(machine, new JobMachine()))).equal("3:1\n2\n3");
    fail(machine, "j", "a", 1);
    expect(machine.tryGetJob("j")?.progress.size).equal(0);
  });

  it("counts waiting tokens of items that are neither done nor ended", () => {
    const machine = new JobMachine();
    const limit = { waitingTokens: 30n };
    expect(submit(machine, "j", ["a", "b"], limit)).equal(0);
    expect(submit(machine, "k", ["a", "b"], limit))
      .equal(MessageCode.QUOTA_SPENT);
    expect(submit(machine, "j", ["a", "b"], limit), "again").equal(0);
    finish(machine, "j", "a", "x");
    expect(submit(machine, "k", ["a", "b"], limit)).equal(0);
    runJob(machine, { case: "end", value: { id: "k" } });
    runJob(machine, { case: "end", value: { id: "k" } });
    expect(machine.getWaitingTokens("r")).equal(10n);
    finish(machine, "k", "a", "after the end");
    expect(machine.getWaitingTokens("r")).equal(10n);
    expect(copy(machine, new JobMachine()).getWaitingTokens("r")).equal(10n);
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
      const take = (target: JobMachine, one: typeof steps[number]) => {
        const { kind, job, item } = one;
        if (kind === "submit") submit(target, job, ["a", "b", "c"]);
        if (kind === "finish") finish(target, job, item, `${job}${item}`);
        if (kind === "fail") {
          const known = target.tryGetJob(job)?.failures.get(item) ?? 0;
          fail(target, job, item, known + 1);
        }
        if (kind === "end") {
          runJob(target, { case: "end", value: { id: job } });
        }
      };
      const half = Math.floor(steps.length / 2);
      steps.slice(0, half).forEach((one) => take(machine, one));
      const copied = copy(machine, new JobMachine());
      steps.slice(half).forEach((one) => {
        take(machine, one);
        take(copied, one);
      });
      ["a", "b", "c"].forEach((job) => {
        expect(getTexts(copied, job)).deep.equal(getTexts(machine, job));
        expect([...copied.tryGetJob(job)?.open.keys() ?? []])
          .deep.equal([...machine.tryGetJob(job)?.open.keys() ?? []]);
      });
      expect(copied.getWaitingTokens("r"))
        .equal(machine.getWaitingTokens("r"));
    }));
  });
});
