/**
 * Errors that no caller waits for, in real processes. Guards against one of them
 * ending a process that serves others' requests.
 */
import { expect } from "chai";
import { logMemory } from "../daemons/memory_log.ts";
import { createMembership, Replica } from "../state/mod.ts";
import { ReplicaMessageSchema } from "../schema/mod.ts";
import { create } from "@bufbuild/protobuf";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog, MemoryLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom } from "../sys/random.ts";
import { startDaemon, type TestDaemon } from "./daemon_process.ts";
import { MemoryFolder } from "./memory_folder.ts";
import { EmptyStateMachine, NullTransport } from "./empty_replica.ts";

describe("unexpected errors", () => {
  let daemon: TestDaemon | undefined;

  afterEach(async () => {
    await daemon?.close();
  });

  // Guards against gateways that end for an error in a timer or for a promise
  // that nobody waits for, such as a probe of an odd address.
  it("are logged with their stack, and the process goes on", async () => {
    daemon = await startDaemon(`{
      start: () => {
        setTimeout(() => { throw new Error("odd timer"); }, 20);
        setTimeout(() => Promise.reject(new Error("odd promise")), 40);
        setTimeout(() => context.log.info("went_on"), 200);
        return Promise.resolve({});
      },
      stop: () => Promise.resolve(),
    }`);
    await daemon.process.waitFor(/event=went_on/);
    const { output } = daemon.process;
    expect(output).match(
      /event=unexpected_error origin=exception reason="odd timer" stack="at /,
    );
    expect(output).match(
      /event=unexpected_error origin=rejection reason="odd promise" stack="at /,
    );
    daemon.process.kill("SIGTERM");
    expect(await daemon.process.ended).eql({ code: 0, signal: null });
  });

  // Guards against a process that does nothing but fail and never ends.
  it("end a process that has them without a pause", async () => {
    daemon = await startDaemon(`{
      start: () => {
        const loop = () => {
          setImmediate(loop);
          throw new Error("odd loop");
        };
        setImmediate(loop);
        return Promise.resolve({});
      },
      stop: () => Promise.resolve(),
    }`);
    expect(await daemon.process.ended).eql({ code: 1, signal: null });
    expect(daemon.process.output).match(/event=failed .*odd loop/);
  });

  // Guards against processes of all roles that end while their descriptors are
  // used up: reading the own memory takes one.
  it("don't come of a lack of descriptors for the log of memory", () => {
    const clock = new ManualClock();
    const log = new MemoryLog();
    logMemory({ clock, log }, () => {
      throw new Error("EMFILE: too many open files, uv_resident_set_memory");
    });
    clock.advance(25_000);
    expect(log.lines).length(2);
    expect(log.lines[0]).match(/event=memory_unknown reason="EMFILE/);
  });

  // Guards against a host that goes on with a replica whose state is half
  // changed, now that an exception in a timer no longer ends the process.
  it("of a replica end it", async () => {
    const clock = new ManualClock();
    const failures: unknown[] = [];
    const replica = new Replica({
      id: "a",
      group: 1,
      folder: new MemoryFolder(),
      machine: new EmptyStateMachine(),
      transport: new NullTransport(),
      initialMembership: createMembership(["a", "b"]),
      clock,
      random: new SeededRandom(1),
      log: createSilentLog(),
      metrics: new Metrics({ prefix: "test" }),
      onFailure: (error) => failures.push(error),
    });
    await replica.start();
    const message = create(ReplicaMessageSchema, {
      to: "a",
      from: "b",
      body: { case: "appendRequest", value: {} },
    });
    Object.defineProperty(message, "term", {
      get: () => {
        throw new Error("odd message");
      },
    });
    expect(() => replica.receive(message)).not.throw();
    expect(failures.map(String)).eql(["Error: odd message"]);
    await replica.stop();
  });

  // Guards against a store host that ends because a listener for applied entries,
  // such as the scheduling of items, meets an odd entry.
  it("of a listener for applied entries don't end the replica", async () => {
    const clock = new ManualClock();
    const failures: unknown[] = [];
    let notified = 0;
    const replica = new Replica({
      id: "a",
      group: 1,
      folder: new MemoryFolder(),
      machine: new EmptyStateMachine(),
      transport: new NullTransport(),
      initialMembership: createMembership(["a"]),
      clock,
      random: new SeededRandom(1),
      log: createSilentLog(),
      metrics: new Metrics({ prefix: "test" }),
      onFailure: (error) => failures.push(error),
      onApplied: () => {
        notified += 1;
        throw new Error("odd listener");
      },
    });
    await replica.start();
    for (let turn = 0; turn < 100 && !replica.isLeader; turn += 1) {
      clock.advance(50);
      await new Promise((resolve) => setImmediate(resolve));
    }
    await replica.propose(new Uint8Array());
    await replica.propose(new Uint8Array());
    expect(notified).greaterThan(1);
    expect(failures).eql([]);
    await replica.stop();
  });
});
