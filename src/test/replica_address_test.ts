/**
 * A host that lost its disk restarts under a new replica id at its old address.
 * Guards against its replica handling messages for the old id, including those
 * that it sends itself as leader while the old id is still a member.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { ReplicaMessageSchema } from "../schema/mod.ts";
import { createMembership, Replica } from "../state/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom } from "../sys/random.ts";
import { EmptyStateMachine, NullTransport } from "./empty_replica.ts";
import { MemoryFolder } from "./memory_folder.ts";

function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe("replica address", () => {
  it("ignores messages to another replica id, even its own", async () => {
    const clock = new ManualClock();
    const replica = new Replica({
      id: "host/new",
      group: 1,
      folder: new MemoryFolder(),
      machine: new EmptyStateMachine(),
      transport: new NullTransport(),
      initialMembership: createMembership(["host/new"]),
      clock,
      random: new SeededRandom(1),
      log: createSilentLog(),
      metrics: new Metrics({ prefix: "test" }),
      onFailure: (error) => {
        throw error;
      },
    });
    await replica.start();
    for (let turn = 0; turn < 100 && !replica.isLeader; turn += 1) {
      clock.advance(50);
      await yieldToEventLoop();
    }
    expect(replica.isLeader).equal(true);
    const { term } = replica;
    const receive = (message: object) =>
      replica.receive(create(ReplicaMessageSchema, {
        group: 1,
        from: "host/new",
        to: "host/old",
        ...message,
      }));
    receive({
      term: BigInt(term),
      body: { case: "appendRequest", value: { previousIndex: 0n, round: 1n } },
    });
    receive({
      term: BigInt(term + 5),
      body: { case: "appendRequest", value: { previousIndex: 0n, round: 1n } },
    });
    expect(replica.isLeader).equal(true);
    expect(replica.term).equal(term);
    await replica.stop();
  });
});
