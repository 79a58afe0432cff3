/**
 * Raft safety and progress under seeded message loss, duplication, reordering,
 * partitions and crashes.
 */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { MemberSchema, ReplicaMessageSchema } from "../schema/mod.ts";
import { Role } from "../state/mod.ts";
import { HEARTBEAT_MS, SimulatedGroup } from "./agreement_harness.ts";

/** Interval between late ticks, in milliseconds: longer than a heartbeat. */
const LATE_TICK_MS = 160;

const STABILIZATION_MS = 3_000;

function runFaults(seed: number, size: number, steps: number): SimulatedGroup {
  const group = new SimulatedGroup(seed, size);
  const { random, hosts } = group;
  group.faults = { loss: 0.1, duplication: 0.1 };
  // Long steps cause some elections in each run.
  group.maxStepMs = 40;
  Array.from({ length: steps }).forEach(() => {
    const host = hosts[random.getIntegerBelow(size)];
    const peer = hosts[random.getIntegerBelow(size)];
    const roll = random.getFraction();
    if (host === undefined || peer === undefined) return;
    if (roll < 0.05) group.propose(host);
    else if (roll < 0.053 && host.isUp) group.crash(host);
    else if (roll < 0.06 && !host.isUp) group.restart(host);
    else if (roll < 0.065) group.blockedLinks.add(`${host.id}>${peer.id}`);
    else if (roll < 0.067) group.blockedLinks.clear();
    else if (roll < 0.068) host.core.transferLeadership();
    else if (roll < 0.073) group.delaysEntries = !group.delaysEntries;
    group.step();
  });
  return group;
}

function getAppliedIndex(host: SimulatedGroup["hosts"][number]): number {
  return Number(host.applied.at(-1)?.index ?? 0n);
}

describe("agreement", () => {
  it("elects one leader and commits", () => {
    const group = new SimulatedGroup(1, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    expect(leader).not.equal(undefined);
    if (leader !== undefined) expect(group.propose(leader)).equal(true);
    group.heal(STABILIZATION_MS);
    const applied = group.hosts.map((host) => host.core.commitIndex);
    expect(new Set(applied).size).equal(1);
  });

  it("loses no committed entry in 1000 seeded runs", () => {
    Array.from({ length: 1_000 }, (_, seed) => seed).forEach((seed) => {
      const group = runFaults(seed, 3 + 2 * (seed % 2), 600);
      const before = Math.max(0, ...group.committed.keys());
      group.heal(STABILIZATION_MS);
      const leader = group.tryGetLeader();
      expect(leader, `leader after seed ${seed}`).not.equal(undefined);
      group.hosts.forEach((host) => {
        expect(host.core.commitIndex, `seed ${seed}`).least(before);
      });
    });
  }).timeout(120_000);

  it("keeps its leader when a partitioned follower reconnects", () => {
    const group = new SimulatedGroup(7, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    const follower = group.hosts.find((host) => host !== leader);
    const term = leader?.core.term;
    group.hosts.forEach((host) => {
      group.blockedLinks.add(`${host.id}>${follower?.id}`);
      group.blockedLinks.add(`${follower?.id}>${host.id}`);
    });
    Array.from({ length: 3_000 }).forEach(() => group.step());
    group.heal(STABILIZATION_MS);
    expect(group.tryGetLeader()?.id).equal(leader?.id);
    expect(leader?.core.term).equal(term);
  });

  /** Creates a group of three and partitions its leader from the others. */
  function partitionLeader(seed: number) {
    const group = new SimulatedGroup(seed, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    if (leader === undefined) throw new Error("no leader");
    const others = group.hosts.filter((host) => host !== leader);
    others.forEach(({ id }) => {
      group.blockedLinks.add(`${id}>${leader.id}`);
      group.blockedLinks.add(`${leader.id}>${id}`);
    });
    return { group, leader, others };
  }

  it("sends a partitioned leader its missing entries about once", () => {
    [11, 12, 13].forEach((seed) => {
      const { group, leader, others } = partitionLeader(seed);
      // Uncommitted entries, which the others never receive.
      for (let count = 0; count < 60; count += 1) group.propose(leader);
      group.run(STABILIZATION_MS);
      const successor = others.find((host) => host.core.role === Role.leader);
      if (successor === undefined) throw new Error("no successor");
      const backlog = 300 * 10_000;
      for (let count = 0; count < 300; count += 1) {
        group.propose(successor, 10_000);
        if (count % 10 === 0) group.run(10);
      }
      group.blockedLinks.clear();
      group.sentBytes.clear();
      // Keep proposing while it catches up.
      for (let count = 0; count < 200; count += 1) {
        group.propose(successor, 100);
        group.run(5);
      }
      group.run(STABILIZATION_MS);
      expect(leader.core.commitIndex).equal(successor.core.commitIndex);
      expect(group.sentBytes.get(leader.id)).below(2 * backlog);
    });
  });

  // Guards against a member that acts on old state because it knows a leader:
  // readiness after a restart, and runs of items by a host that was cut off.
  it("does not count a member as caught up before it has the leader's entries", () => {
    [21, 22, 23].forEach((seed) => {
      const { group, leader: old, others } = partitionLeader(seed);
      group.run(STABILIZATION_MS);
      const successor = others.find((host) => host.core.role === Role.leader);
      if (successor === undefined) throw new Error("no successor");
      for (let count = 0; count < 500; count += 1) {
        group.propose(successor, 10_000);
      }
      group.run(STABILIZATION_MS);
      const { commitIndex } = successor.core;
      const isCaughtUp = () =>
        old.core.isCaughtUp(getAppliedIndex(old), group.getHostMs(old));
      expect(isCaughtUp()).equal(false);
      group.blockedLinks.clear();
      let knewLeaderBefore = 0;
      while (!isCaughtUp()) {
        if (old.core.leader !== "") knewLeaderBefore += 1;
        group.step();
      }
      expect(getAppliedIndex(old)).least(commitIndex);
      expect(knewLeaderBefore).above(0);
    });
  });

  // Guards against a step of the wall clock that ends a sound leader's lead, or
  // keeps a sound member from acting for longer than an exchange of messages.
  it("confirms contact within a heartbeat after a step of the wall clock", () => {
    const group = new SimulatedGroup(15, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    if (leader === undefined) throw new Error("no leader");
    const { term } = leader.core;
    const isSound = (host: typeof leader) =>
      host === leader
        ? host.core.holdsLease(group.getHostMs(host))
        : host.core.isCaughtUp(getAppliedIndex(host), group.getHostMs(host));
    expect(group.hosts.map(isSound)).deep.equal([true, true, true]);
    group.hosts.forEach((host) =>
      host.core.recordSuspension(group.getHostMs(host))
    );
    expect(group.hosts.map(isSound)).deep.equal([false, false, false]);
    group.run(2 * HEARTBEAT_MS);
    expect(group.hosts.map(isSound)).deep.equal([true, true, true]);
    expect(leader.core.term).equal(term);
  });

  // A leader of an older build returns no contact check.
  it("accepts the contact of a leader that returns no contact check", () => {
    const group = new SimulatedGroup(15, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    const follower = group.hosts.find((host) => host !== leader);
    if (leader === undefined || follower === undefined) {
      throw new Error("no leader");
    }
    const nowMs = group.getHostMs(follower);
    follower.core.recordSuspension(nowMs);
    follower.core.receive(
      create(ReplicaMessageSchema, {
        from: leader.id,
        to: follower.id,
        term: BigInt(leader.core.term),
        body: { case: "appendRequest", value: {} },
      }),
      nowMs,
    );
    expect(follower.core.isCaughtUp(getAppliedIndex(follower), nowMs)).equal(
      true,
    );
  });

  it("bounds the unacknowledged bytes of an unreachable member", () => {
    const group = new SimulatedGroup(14, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    const peer = group.hosts.find((host) => host !== leader);
    if (leader === undefined || peer === undefined) throw new Error("no group");
    group.blockedLinks.add(`${leader.id}>${peer.id}`);
    group.sentBytes.clear();
    for (let count = 0; count < 100; count += 1) {
      group.propose(leader, 100_000);
      group.run(10);
    }
    const twoAppends = 2 << 20;
    expect(group.sentBytes.get(peer.id)).most(twoAppends + (1 << 20));
    group.blockedLinks.clear();
    group.run(STABILIZATION_MS);
    expect(peer.core.commitIndex).equal(leader.core.commitIndex);
  });

  it("holds no election while heartbeats overtake entries", () => {
    const group = new SimulatedGroup(15, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    if (leader === undefined) throw new Error("no leader");
    const { commitIndex, term } = leader.core;
    const before = group.voteRequestCount;
    group.delaysEntries = true;
    // More than may be in flight, in several requests.
    for (let count = 0; count < 30; count += 1) {
      group.propose(leader, 100_000);
      group.run(100);
      expect(leader.core.holdsLease(group.getHostMs(leader))).equal(true);
    }
    expect(group.voteRequestCount).equal(before);
    group.hosts.filter((host) => host !== leader).forEach((host) => {
      expect(host.core.leader).equal(leader.id);
      expect(leader.core.getMatchIndex(host.id)).equal(commitIndex);
    });
    expect(leader.core.commitIndex).equal(commitIndex);
    group.delaysEntries = false;
    group.run(STABILIZATION_MS);
    expect(leader.core.term).equal(term);
    group.hosts.forEach((host) =>
      expect(host.core.commitIndex).equal(commitIndex + 30)
    );
  });

  it("holds no election when one follower loses only the leader", () => {
    const group = new SimulatedGroup(23, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    const follower = group.hosts.find((host) => host !== leader);
    const term = leader?.core.term;
    group.blockedLinks.add(`${leader?.id}>${follower?.id}`);
    group.blockedLinks.add(`${follower?.id}>${leader?.id}`);
    group.run(STABILIZATION_MS);
    expect(leader?.core.role).equal(Role.leader);
    expect(group.hosts.map((host) => host.core.term))
      .deep.equal([term, term, term]);
  });

  it("deposes a leader cut off from a majority in either direction", () => {
    [true, false].forEach((outgoing) => {
      const group = new SimulatedGroup(11, 3);
      group.heal(STABILIZATION_MS);
      const old = group.tryGetLeader();
      group.hosts.forEach((host) =>
        group.blockedLinks.add(
          outgoing ? `${old?.id}>${host.id}` : `${host.id}>${old?.id}`,
        )
      );
      Array.from({ length: 4_000 }).forEach(() => group.step());
      expect(old?.core.role).not.equal(Role.leader);
      expect(group.tryGetLeader()).not.equal(undefined);
      group.heal(STABILIZATION_MS);
    });
  });

  it("changes members one at a time, through learners", () => {
    const group = new SimulatedGroup(13, 3);
    group.heal(STABILIZATION_MS);
    const leader = group.tryGetLeader();
    if (leader === undefined) throw new Error("no leader");
    group.addHost("r4");
    const add = create(MemberSchema, { id: "r4" });
    expect(leader.core.changeMembership({ add }, 0)).equal(undefined);
    expect(leader.core.changeMembership({ remove: "r3" }, 0))
      .equal("another change is not committed yet");
    group.heal(STABILIZATION_MS);
    expect(leader.core.changeMembership({ promote: "r4" }, 0))
      .equal(undefined);
    group.heal(STABILIZATION_MS);
    expect(leader.core.changeMembership({ remove: "r3" }, 0))
      .equal(undefined);
    group.heal(STABILIZATION_MS);
    const voters = leader.core.membership.members.map((member) => member.id);
    expect(voters.sort()).deep.equal(["r1", "r2", "r3", "r4"]
      .filter((id) => id !== "r3"));
  });

  it("survives the loss of a second host right after a restart", () => {
    const group = new SimulatedGroup(17, 3);
    group.heal(STABILIZATION_MS);
    const first = group.tryGetLeader();
    const [lost, second] = group.hosts.filter((host) => host !== first);
    if (!first || !lost || !second) throw new Error("no leader");
    group.crash(lost);
    group.propose(first);
    Array.from({ length: 400 }).forEach(() => group.step());
    const newest = Math.max(...group.committed.keys());
    group.restart(lost);
    group.crash(second);
    Array.from({ length: 4_000 }).forEach(() => group.step());
    const leader = group.tryGetLeader();
    expect(leader?.core.commitIndex).least(newest);
    if (leader !== undefined) expect(group.propose(leader)).equal(true);
    Array.from({ length: 1_000 }).forEach(() => group.step());
    expect(Math.max(...group.committed.keys())).greaterThan(newest);
  });

  it("transfers leadership", () => {
    const group = new SimulatedGroup(19, 3);
    group.heal(STABILIZATION_MS);
    const old = group.tryGetLeader();
    expect(old?.core.transferLeadership()).equal(true);
    group.heal(200);
    expect(group.tryGetLeader()?.id).not.equal(old?.id);
  });

  /** Steps until `test` holds; throws when it does not within 20,000 steps. */
  function stepUntil(group: SimulatedGroup, test: () => boolean): void {
    for (let step = 0; step < 20_000; step += 1) {
      if (test()) return;
      group.step();
    }
    throw new Error("condition not met within 20000 steps");
  }

  function blockLinks(
    group: SimulatedGroup,
    from: string[],
    to: string[],
  ): void {
    from.forEach((a) => to.forEach((b) => group.blockedLinks.add(`${a}>${b}`)));
  }

  it("commits no entry of an older term by counting replicas", () => {
    [21, 22, 23, 24].forEach((seed) => {
      const group = new SimulatedGroup(seed, 5);
      const ids = group.hosts.map((host) => host.id);
      group.heal(STABILIZATION_MS);
      const isolate = (kept: string[]) => {
        group.blockedLinks.clear();
        const others = ids.filter((id) => !kept.includes(id));
        blockLinks(group, kept, others);
        blockLinks(group, others, kept);
      };
      const first = group.tryGetLeader();
      const second = group.hosts.find((host) => host !== first);
      if (first === undefined || second === undefined) throw new Error("none");
      // Figure 8 of the Raft paper. An entry so large that it takes an append
      // request of its own is replicated to one other host.
      isolate([first.id, second.id]);
      const index = first.core.lastIndex + 1;
      group.propose(first, 1 << 20);
      stepUntil(group, () => second.core.lastIndex >= index);
      group.run(20);
      [first, second].forEach((host) => group.crash(host));
      // A new leader appends an entry at that index and replicates it to none.
      group.blockedLinks.clear();
      stepUntil(group, () => group.tryGetLeader() !== undefined);
      const third = group.tryGetLeader();
      if (third === undefined) throw new Error("none");
      blockLinks(group, [third.id], ids);
      blockLinks(group, ids, [third.id]);
      group.run(20);
      group.crash(third);
      const rest = group.hosts.filter((host) =>
        ![first, second, third].includes(host)
      );
      const [fourth] = rest;
      if (fourth === undefined) throw new Error("none");
      // The large entry reaches a third host; no entry of the new term does.
      [first, second].forEach((host) => group.restart(host));
      isolate([first.id, second.id, fourth.id]);
      stepUntil(group, () => fourth.core.lastIndex >= index);
      const successor = group.tryGetLeader();
      if (successor === undefined) throw new Error("none");
      blockLinks(group, [successor.id], ids);
      group.run(20);
      // The host with the conflicting entry, of a later term, is elected.
      [first, second].forEach((host) => group.crash(host));
      group.blockedLinks.clear();
      group.restart(third);
      stepUntil(group, () => third.core.role === Role.leader);
      group.run(STABILIZATION_MS);
      group.heal(STABILIZATION_MS);
    });
  });

  it("holds no lease after it asked another to start an election", () => {
    Array.from({ length: 10 }, (_, seed) => seed + 100).forEach((seed) => {
      const group = new SimulatedGroup(seed, 3);
      group.heal(STABILIZATION_MS);
      // Short steps, so that the lease would outlast the transfer.
      group.maxStepMs = 2;
      const leader = group.tryGetLeader();
      if (leader === undefined) throw new Error("none");
      const others = group.hosts.filter((host) => host !== leader);
      const ids = others.map((host) => host.id);
      leader.core.transferLeadership();
      const tryGetNext = () =>
        others.find((host) => host.core.term > leader.core.term);
      stepUntil(group, () => tryGetNext() !== undefined);
      blockLinks(group, [leader.id], ids);
      blockLinks(group, ids, [leader.id]);
      const next = tryGetNext();
      if (next === undefined) throw new Error("none");
      // drainOutputs throws when the old leader would still answer reads.
      stepUntil(group, () => group.propose(next));
      const { lastIndex } = next.core;
      stepUntil(group, () => next.core.commitIndex >= lastIndex);
      group.heal(STABILIZATION_MS);
    });
  });

  // Guards against a follower that gives up its leader after a stall of its
  // process, although the leader's messages wait to be read.
  it("asks for no votes after a stall during which the leader went on", () => {
    Array.from({ length: 50 }, (_, seed) => seed).forEach((seed) => {
      const group = new SimulatedGroup(seed, 3);
      group.heal(STABILIZATION_MS);
      const leader = group.tryGetLeader();
      if (leader === undefined) throw new Error("none");
      const follower = group.hosts.find((host) => host !== leader);
      if (follower === undefined) throw new Error("none");
      const before = group.voteRequestCount;
      group.stall(follower);
      group.run(1_000);
      group.endStall(follower);
      expect(follower.core.leader, `seed ${seed}`).equal(leader.id);
      group.run(STABILIZATION_MS);
      expect(group.voteRequestCount, `seed ${seed}`).equal(before);
    });
  });

  // Guards against UNASKED: a stopped process that goes on and starts items by a state
  // from before, while the messages that tell the end of their job wait to be read.
  it("doesn't count a member as caught up after a stall before it has heard anew", () => {
    Array.from({ length: 50 }, (_, seed) => seed).forEach((seed) => {
      const group = new SimulatedGroup(seed, 3);
      group.heal(STABILIZATION_MS);
      const leader = group.tryGetLeader();
      if (leader === undefined) throw new Error("none");
      const follower = group.hosts.find((host) => host !== leader);
      if (follower === undefined) throw new Error("none");
      const isCaughtUp = () =>
        follower.core.isCaughtUp(
          getAppliedIndex(follower),
          group.getHostMs(follower),
        );
      expect(isCaughtUp(), `seed ${seed}`).equal(true);
      group.stall(follower);
      group.run(1_000);
      group.propose(leader);
      group.run(1_000);
      const { commitIndex } = leader.core;
      expect(getAppliedIndex(follower)).below(commitIndex);
      // A timer of the process may ask before anything is read.
      expect(isCaughtUp(), `seed ${seed}`).equal(false);
      group.endStall(follower, { readCount: 1 });
      expect(isCaughtUp(), `seed ${seed}`).equal(false);
      while (!isCaughtUp()) group.step();
      expect(getAppliedIndex(follower), `seed ${seed}`).least(commitIndex);
    });
  });

  it("elects a leader after a stall during which the leader was lost", () => {
    Array.from({ length: 50 }, (_, seed) => seed).forEach((seed) => {
      const group = new SimulatedGroup(seed, 3);
      group.heal(STABILIZATION_MS);
      const leader = group.tryGetLeader();
      if (leader === undefined) throw new Error("none");
      const others = group.hosts.filter((host) => host !== leader);
      others.forEach((host) => group.stall(host));
      group.crash(leader);
      group.run(1_000);
      others.forEach((host) => group.endStall(host));
      group.run(STABILIZATION_MS);
      expect(others).include(group.tryGetLeader());
    });
  });

  // Guards against timers that never fire on a host that is always slow.
  it("elects and keeps a leader although each tick comes late", () => {
    Array.from({ length: 50 }, (_, seed) => seed).forEach((seed) => {
      const group = new SimulatedGroup(seed, 3);
      group.run(20 * STABILIZATION_MS, LATE_TICK_MS);
      const leader = group.tryGetLeader();
      expect(leader, `seed ${seed}`).not.equal(undefined);
      const { term } = leader?.core ?? {};
      group.run(10 * STABILIZATION_MS, LATE_TICK_MS);
      expect(group.tryGetLeader()?.core.term, `seed ${seed}`).equal(term);
    });
  });
});
