/** State machines of the fleet and store groups: commands and snapshots. */
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

/** Recorded output of a job's items as `item:last:chain`. */
function readRecorded(machine: JobMachine, job: string): string[] {
  return [...machine.tryGetJob(job)?.progress ?? []]
    .map(([item, { last, chain }]) => `${item}:${last}:${chain}`);
}

/** Encodes a snapshot only after `change`, which it must not contain. */
function restoreFromEarlierSnapshot<M extends StateMachine>(
  from: M,
  change: () => void,
  to: M,
): M {
  const parts = from.capture();
  change();
  to.restore([...parts]);
  return to;
}

function restoreFromSnapshot<M extends StateMachine>(from: M, to: M): M {
  to.restore([...from.capture()]);
  return to;
}

describe("fleet machine", () => {
  // Parts of a snapshot are written one after the other, while commands after its
  // mark are applied; they would be applied twice.
  it("captures the state at the time of the call", () => {
    const machine = new FleetMachine();
    const put = (version: bigint) =>
      applyFleetCommand(machine, { case: "putRoutes", value: { version } });
    put(1n);
    const restored = restoreFromEarlierSnapshot(
      machine,
      () => put(2n),
      new FleetMachine(),
    );
    expect(restored.routes.version).equal(1n);
  });

  it("keeps the highest routes version regardless of arrival order", () => {
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

  it("ignores different content for the current version", () => {
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

  it("returns only the state that is newer than the reader's", () => {
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

  it("replaces a host that lost its disk and lists each host once", () => {
    const machine = new FleetMachine();
    register(machine, "h1/a", "one");
    const { version } = machine.hosts;
    register(machine, "h1/a", "one");
    expect(machine.hosts.version).equal(version);
    register(machine, "h1/b", "one");
    expect(machine.hosts.hosts.map((host) => host.id)).deep.equal(["h1/b"]);
  });

  it("retires a host only if enough store hosts remain", () => {
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
    const restored = restoreFromSnapshot(
      machine,
      new FleetMachine({ minStoreHosts: 2 }),
    );
    expect(restored.hosts.retired).deep.equal(["one/a"]);
  });

  it("ignores outdated reports of the store's members", () => {
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

  // Guards against a server that comes back once the host that heard it leave is lost.
  it("keeps the starts of servers that have left, also in a snapshot", () => {
    const told: string[] = [];
    const onServerLeft = ({ id, bornMs }: { id: string; bornMs: bigint }) =>
      told.push(`${id}/${bornMs}`);
    const machine = new FleetMachine({ onServerLeft });
    const leave = (id: string, bornMs: bigint) =>
      applyFleetCommand(machine, {
        case: "recordLeft",
        value: { id, bornMs },
      });
    leave("a", 1n);
    leave("a", 1n);
    leave("b", 1n);
    expect(told).deep.equal(["a/1", "b/1"]);
    const [first] = machine.left;
    expect(first !== undefined && machine.hasLeft(first)).equal(true);
    // Another start of the server may be used.
    expect(first !== undefined && machine.hasLeft({ ...first, bornMs: 2n }))
      .equal(false);
    restoreFromSnapshot(machine, new FleetMachine({ onServerLeft }));
    expect(told).deep.equal(["a/1", "b/1", "a/1", "b/1"]);
    const later = new FleetMachine({ onServerLeft });
    later.foreseeCommand(
      toBinary(
        FleetCommandSchema,
        create(FleetCommandSchema, {
          command: { case: "recordLeft", value: { id: "d", bornMs: 1n } },
        }),
      ),
    );
    expect(told.at(-1)).equal("d/1");
    expect(later.left).deep.equal([]);
    for (let index = 0; index < 5_000; index += 1) leave(`c${index}`, 1n);
    expect(machine.left.length).equal(4_096);
    expect(machine.left.at(-1)?.id).equal("c4999");
  });
});

describe("job machine", () => {
  // As for the fleet machine.
  it("captures the state at the time of the call", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a", "b"]);
    recordResult(machine, "j", "a", "first");
    const restored = restoreFromEarlierSnapshot(machine, () => {
      recordResult(machine, "j", "b", "second");
      submitJob(machine, "k", ["a"]);
    }, new JobMachine());
    expect(formatResults(restored, "j")).deep.equal(["a=DONE:first"]);
    expect(restored.tryGetJob("k")).equal(undefined);
  });

  // A command is a part of a message with many of them. Results are kept much
  // longer than the bodies of other jobs in the same message.
  it("keeps no message in memory for the output in it", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a", "b"]);
    const command = toBinary(
      JobCommandSchema,
      create(JobCommandSchema, {
        command: {
          case: "recordRuns",
          value: {
            finished: [{
              job: "j",
              result: { id: "a", end: ItemEnd.DONE, text: encodeText("text") },
            }],
            progress: [{
              job: "j",
              item: "b",
              last: 1n,
              text: encodeText("1"),
            }],
          },
        },
      }),
    );
    const message = Buffer.alloc(1 << 20);
    message.set(command, 1_000);
    machine.apply(message.subarray(1_000, 1_000 + command.length), {
      index: 1,
      term: 1,
      timeMs: 0,
    });
    const job = machine.tryGetJob("j");
    const texts = [
      job?.results[0]?.text,
      job?.progress.get("b")?.parts[0],
    ];
    expect(texts.map((text) => Buffer.from(text ?? []).toString()))
      .deep.equal(["text", "1"]);
    texts.forEach((text) =>
      expect(text?.buffer.byteLength).below(message.length)
    );
  });

  it("accepts a job once and keeps the first result of each item", () => {
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

  it("dead-letters an item after the route's maximum number of attempts", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a"]);
    recordFailure(machine, "j", "a", 1);
    recordFailure(machine, "j", "a", 2);
    expect(formatResults(machine, "j")).deep.equal([]);
    recordFailure(machine, "j", "a", 3);
    expect(formatResults(machine, "j")).deep.equal(["a=DEAD_LETTER:"]);
  });

  it("counts a failure once even if it is recorded repeatedly", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a"]);
    [1, 1, 1, 2, 1, 2].forEach((count) =>
      recordFailure(machine, "j", "a", count)
    );
    expect(formatResults(machine, "j")).deep.equal([]);
    recordFailure(machine, "j", "a", 3);
    expect(formatResults(machine, "j")).deep.equal(["a=DEAD_LETTER:"]);
  });

  it("restores the list of runners from a snapshot", () => {
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

  it("keeps an item's progress and drops parts that don't continue it", () => {
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

  /** Tells the members to go by chains from now on. */
  const applyChains = (machine: JobMachine) =>
    applyJobCommand(machine, {
      case: "setRunners",
      value: { ids: ["r"], commandVersion: 1 },
    });

  /** Records a part of the output of item `a` of job `j`. */
  const recordPart = (
    machine: JobMachine,
    part: { chain: bigint; chainAfter?: bigint; after: bigint; last: bigint },
  ) =>
    applyJobCommand(machine, {
      case: "recordRuns",
      value: {
        progress: [{
          job: "j",
          item: "a",
          chainAfter: 0n,
          text: encodeText(`${part.chain}`),
          softwareVersion: "v1",
          ...part,
        }],
      },
    });

  const readProgress = (machine: JobMachine) => {
    const progress = machine.tryGetJob("j")?.progress.get("a");
    const text = Buffer.from(joinProgressParts(progress?.parts ?? []));
    return `${progress?.last}:${text.toString().replaceAll("\n", ",")}`;
  };

  // Guards against texts that join the output of two runners whose records have
  // the same event numbers.
  it("joins only parts of one chain, or of one that continues it", () => {
    const machine = new JobMachine();
    applyChains(machine);
    submitJob(machine, "j", ["a"]);
    recordPart(machine, { chain: 1n, after: 0n, last: 5n });
    recordPart(machine, { chain: 2n, after: 0n, last: 5n });
    recordPart(machine, { chain: 2n, after: 5n, last: 8n });
    expect(readProgress(machine)).equal("5:1");
    recordPart(machine, { chain: 1n, after: 5n, last: 8n });
    expect(readProgress(machine)).equal("8:1,1");
    // Another runner continues after event 8 and takes over.
    recordPart(machine, { chain: 3n, chainAfter: 8n, after: 8n, last: 9n });
    recordPart(machine, { chain: 1n, after: 8n, last: 9n });
    recordPart(machine, { chain: 1n, after: 9n, last: 12n });
    const restored = restoreFromSnapshot(machine, new JobMachine());
    [machine, restored].forEach((target) => {
      expect(readProgress(target)).equal("9:1,1,3");
      expect(target.tryGetJob("j")?.progress.get("a")?.softwareVersion)
        .equal("v1");
      recordPart(target, { chain: 3n, chainAfter: 8n, after: 9n, last: 10n });
      recordPart(target, { chain: 0n, after: 10n, last: 11n });
      expect(readProgress(target)).equal("10:1,1,3,3");
    });
  });

  const failChain = (machine: JobMachine, chain: bigint) =>
    applyJobCommand(machine, {
      case: "recordRuns",
      value: { failed: [{ job: "j", item: "a", count: 1, chain }] },
    });

  // Guards against failures of two runners that were counted as one, because
  // each had the same number, so that the item ran more often than allowed.
  it("counts the failure of each chain once", () => {
    const machine = new JobMachine();
    applyChains(machine);
    submitJob(machine, "j", ["a"]);
    [1n, 2n, 1n].forEach((chain) => failChain(machine, chain));
    const restored = restoreFromSnapshot(machine, new JobMachine());
    [machine, restored].forEach((target) => {
      failChain(target, 2n);
      expect(target.tryGetJob("j")?.failures.get("a")).equal(2);
      failChain(target, 3n);
      expect(formatResults(target, "j")).deep.equal(["a=DEAD_LETTER:"]);
    });
  });

  it("goes by numbers until all members know chains", () => {
    const machine = new JobMachine();
    submitJob(machine, "j", ["a"]);
    [1n, 2n].forEach((chain) => failChain(machine, chain));
    expect(machine.tryGetJob("j")?.failures.get("a")).equal(1);
    recordPart(machine, { chain: 0n, after: 0n, last: 5n });
    recordPart(machine, { chain: 2n, after: 5n, last: 8n });
    expect(readProgress(machine)).equal("8:0,2");
    expect(machine.identifiesChains).equal(false);
    applyChains(machine);
    // A leader of an older build doesn't name a version.
    applyJobCommand(machine, { case: "setRunners", value: { ids: ["r"] } });
    [machine, restoreFromSnapshot(machine, new JobMachine())]
      .forEach((target) => expect(target.identifiesChains).equal(true));
  });

  it("counts waiting tokens of open items in jobs that were not ended", () => {
    const machine = new JobMachine();
    const limit = { waitingTokens: 30n };
    expect(submitJob(machine, "j", ["a", "b"], limit)).equal(0);
    expect(submitJob(machine, "k", ["a", "b"], limit))
      .equal(MessageCode.QUOTA_SPENT);
    expect(submitJob(machine, "j", ["a", "b"], limit), "resubmitted").equal(0);
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

  it("restores an equivalent state from a snapshot after random commands", () => {
    const names = fc.constantFrom("a", "b", "c");
    const step = fc.record({
      kind: fc.constantFrom(
        "submit",
        "finish",
        "fail",
        "failChain",
        "part",
        "end",
        "upgrade",
      ),
      job: names,
      item: names,
      chain: fc.bigInt(0n, 3n),
      after: fc.bigInt(0n, 3n),
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
        if (kind === "upgrade") applyChains(target);
        const { chain, after } = step;
        const failed = [{ job, item, count: 1, chain }];
        if (kind === "failChain") {
          applyJobCommand(target, { case: "recordRuns", value: { failed } });
        }
        const last = after + 1n;
        const progress = [{ job, item, chain, after, last, chainAfter: after }];
        if (kind === "part") {
          applyJobCommand(target, { case: "recordRuns", value: { progress } });
        }
      };
      const half = Math.floor(steps.length / 2);
      steps.slice(0, half).forEach((one) => applyStep(machine, one));
      const restored = restoreFromSnapshot(machine, new JobMachine());
      steps.slice(half).forEach((one) => {
        applyStep(machine, one);
        applyStep(restored, one);
      });
      ["a", "b", "c"].forEach((job) => {
        expect(formatResults(restored, job)).deep.equal(
          formatResults(machine, job),
        );
        expect([...restored.tryGetJob(job)?.open.keys() ?? []])
          .deep.equal([...machine.tryGetJob(job)?.open.keys() ?? []]);
        expect(restored.tryGetJob(job)?.failedChains)
          .deep.equal(machine.tryGetJob(job)?.failedChains);
        expect(readRecorded(restored, job))
          .deep.equal(readRecorded(machine, job));
      });
      expect(restored.getWaitingTokens("r"))
        .equal(machine.getWaitingTokens("r"));
    }));
  });
});
