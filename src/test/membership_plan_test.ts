/** Self-repair of replicated groups, with seeded sequences of host failures. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  getRequiredVoters,
  type MemberHealth,
  type PlannedChange,
  selectInitialMembers,
  tryPlanChange,
} from "../policy/mod.ts";
import {
  type HostRecord,
  HostRecordSchema,
  HostRole,
  type Member,
  MemberSchema,
} from "../schema/mod.ts";
import { SeededRandom } from "../sys/random.ts";

const REPLACE_AFTER_MS = 6_000;
const REPLACE_BY_SPARE_AFTER_MS = 1_500;
const LEARNER_TIMEOUT_MS = 5_000;

/** Time between two checks of a leader, in milliseconds. */
const STEP_MS = 250;

/** Time for which a machine that lost its disk is away, in milliseconds. */
const RESTART_MS = 750;

/** Returns all sequences of integers below `limit`. */
function createSequences(length: number, limit: number): number[][] {
  if (length === 0) return [[]];
  return createSequences(length - 1, limit).flatMap((rest) =>
    Array.from({ length: limit }, (_, index) => [...rest, index])
  );
}

interface SimulatedHost {
  address: string;
  dataCentre: string;
  /** Incremented when the disk is lost. */
  diskGeneration: number;
  /** Generation that the host registered last: on each start. */
  registeredGeneration: number;
  isUp: boolean;
  downSinceMs: number;
}

/** Simulated group whose leader applies at most one planned change per step. */
class SimulatedGroup {
  readonly hosts: SimulatedHost[];
  readonly lostHosts: number;
  readonly retired = new Set<string>();
  members: Member[];
  nowMs = 0;
  readonly #firstSeenMs = new Map<string, number>();
  readonly #lostSinceMs = new Map<string, number>();

  constructor(hostCount: number, lostHosts: number) {
    this.lostHosts = lostHosts;
    this.hosts = Array.from({ length: hostCount }, (_, index) => ({
      address: `h${index}:1`,
      dataCentre: `dc${index % 4}`,
      diskGeneration: 0,
      registeredGeneration: 0,
      isUp: true,
      downSinceMs: 0,
    }));
    this.members = selectInitialMembers(this.getRecords(), lostHosts).map((
      host,
    ) => create(MemberSchema, { ...host, $typeName: undefined } as object));
  }

  getRecords(): HostRecord[] {
    return this.hosts.map((host, index) =>
      create(HostRecordSchema, {
        id: `${host.address}/${host.registeredGeneration}`,
        role: HostRole.STORE,
        address: host.address,
        dataCentre: host.dataCentre,
        index: BigInt(index),
      })
    );
  }

  /** Voters that are up and still have the disk they were added with. */
  getHealthyVoters(): Member[] {
    return this.members.filter((member) =>
      !member.learner && this.getSilentMs(member) === 0
    );
  }

  get voters(): Member[] {
    return this.members.filter((member) => !member.learner);
  }

  hasQuorum(): boolean {
    return this.getHealthyVoters().length > this.voters.length / 2;
  }

  getSilentMs(member: Member): number {
    const host = this.hosts.find((one) => one.address === member.address);
    const isSameDisk = host !== undefined &&
      member.id === `${host.address}/${host.diskGeneration}`;
    if (isSameDisk && host.isUp) return 0;
    return this.nowMs -
      (host?.downSinceMs ?? this.#lostSinceMs.get(member.id) ?? 0);
  }

  step(): PlannedChange | undefined {
    this.nowMs += STEP_MS;
    if (!this.hasQuorum()) return undefined;
    const health: MemberHealth[] = this.members.map((member) => ({
      member,
      silentMs: this.getSilentMs(member),
      isCurrent: this.getSilentMs(member) === 0,
    }));
    const change = tryPlanChange({
      members: health,
      hosts: this.getRecords(),
      retired: this.retired,
      lostHosts: this.lostHosts,
      getHostAgeMs: (id) => this.nowMs - (this.#firstSeenMs.get(id) ?? 0),
      replaceAfterMs: REPLACE_AFTER_MS,
      replaceBySpareAfterMs: REPLACE_BY_SPARE_AFTER_MS,
      learnerTimeoutMs: LEARNER_TIMEOUT_MS,
    });
    if (change !== undefined) this.#apply(change);
    return change;
  }

  run(ms: number): void {
    for (let passed = 0; passed < ms; passed += STEP_MS) this.step();
  }

  fail(index: number, options: { disk: boolean }): void {
    const host = this.hosts[index];
    if (host === undefined) return;
    this.#lostSinceMs.set(`${host.address}/${host.diskGeneration}`, this.nowMs);
    host.isUp = false;
    host.downSinceMs = this.nowMs;
    if (options.disk) host.diskGeneration += 1;
  }

  recover(index: number): void {
    const host = this.hosts[index];
    if (host !== undefined) {
      host.isUp = true;
      host.registeredGeneration = host.diskGeneration;
    }
    this.#recordNewHosts();
  }

  /** Replaces a permanently failed host by one at a new address. */
  replace(index: number): void {
    const failed = this.hosts[index];
    if (failed === undefined) return;
    this.fail(index, { disk: true });
    this.hosts[index] = {
      ...failed,
      address: `${failed.address}x`,
      diskGeneration: 0,
      registeredGeneration: 0,
      isUp: true,
    };
    this.#recordNewHosts();
  }

  #recordNewHosts(): void {
    this.getRecords().filter((host) => !this.#firstSeenMs.has(host.id))
      .forEach((host) => this.#firstSeenMs.set(host.id, this.nowMs));
  }

  #apply(change: PlannedChange): void {
    const id = change.kind === "add" ? change.host.id : change.id;
    if (change.kind === "add") {
      this.members.push(create(MemberSchema, {
        id,
        address: change.host.address,
        dataCentre: change.host.dataCentre,
        learner: true,
      }));
    }
    if (change.kind === "promote") {
      this.members.filter((member) => member.id === id)
        .forEach((member) => member.learner = false);
    }
    if (change.kind === "remove") {
      this.members = this.members.filter((member) => member.id !== id);
    }
  }
}

describe("membership plan", () => {
  it("spreads an odd number of initial voters over data centres", () => {
    const group = new SimulatedGroup(10, 2);
    expect(group.voters).length(5);
    const counts = new Map<string, number>();
    group.voters.forEach(({ dataCentre }) =>
      counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1)
    );
    expect(Math.max(...counts.values())).most(2);
    expect(selectInitialMembers(group.getRecords().slice(0, 2), 1)).length(1);
  });

  it("replaces a lost disk at once, and promotes only after catch-up", () => {
    const group = new SimulatedGroup(3, 1);
    group.fail(0, { disk: true });
    group.run(RESTART_MS);
    group.recover(0);
    const kinds = Array.from({ length: 4 }, () => group.step()?.kind);
    expect(kinds).deep.equal(["remove", "add", "promote", undefined]);
    expect(group.voters.map((member) => member.id)).includes("h0:1/1");
  });

  // Guards against LOST: a machine that loses its disk again right after its replica was
  // promoted, while the voter that it replaced still counted for the quorum.
  [{ hosts: 3, lost: 1 }, { hosts: 5, lost: 1 }, { hosts: 5, lost: 2 }]
    .forEach(({ hosts, lost }) =>
      it(`keeps a quorum of ${hosts} hosts when ${lost} lose their disks at any points`, () => {
        for (const gaps of createSequences(3, 7)) {
          const group = new SimulatedGroup(hosts, lost);
          for (const gap of [...gaps, 0]) {
            const victims = Array.from({ length: lost }, (_, index) => index);
            victims.forEach((index) => group.fail(index, { disk: true }));
            group.run(RESTART_MS);
            expect(group.hasQuorum(), `gaps ${gaps}`).equal(true);
            victims.forEach((index) => group.recover(index));
            group.run(gap * STEP_MS);
            expect(group.hasQuorum(), `gaps ${gaps}`).equal(true);
          }
          group.run(20_000);
          expect(group.getHealthyVoters(), `gaps ${gaps}`)
            .length(getRequiredVoters(lost));
          expect(group.members).length(getRequiredVoters(lost));
        }
      })
    );

  it("bears the loss of any host at each point while another is retired", () => {
    for (const victim of [0, 1, 2, 3]) {
      for (let steps = 0; steps < 8; steps += 1) {
        const group = new SimulatedGroup(4, 1);
        group.retired.add(group.voters[0]?.id ?? "");
        group.run(steps * STEP_MS);
        group.fail(victim, { disk: true });
        group.run(RESTART_MS);
        const label = `host ${victim} is lost after ${steps} steps`;
        expect(group.hasQuorum(), label).equal(true);
        group.recover(victim);
        group.run(20_000);
        expect(group.getHealthyVoters(), label).length(3);
      }
    }
  });

  it("keeps a member that answers while an older record has its address", () => {
    const group = new SimulatedGroup(3, 1);
    group.fail(0, { disk: true });
    group.run(RESTART_MS);
    group.recover(0);
    group.run(5_000);
    const members = group.members.map(({ id }) => id);
    const [host] = group.hosts;
    if (host !== undefined) host.registeredGeneration = 0;
    group.run(20_000);
    expect(group.members.map(({ id }) => id)).deep.equal(members);
  });

  it("keeps a host that restarts", () => {
    const group = new SimulatedGroup(4, 1);
    group.run(10_000);
    const before = group.voters.map((member) => member.id);
    group.fail(0, { disk: false });
    group.run(5_000);
    group.recover(0);
    group.run(5_000);
    expect(group.voters.map((member) => member.id)).deep.equal(before);
  });

  it("adds the successor of a failed host within 4 s", () => {
    const group = new SimulatedGroup(3, 1);
    for (const index of [0, 1, 2, 0, 1, 2]) {
      group.replace(index);
      group.run(4_000);
      expect(group.getHealthyVoters()).length(3);
      expect(group.members).length(3);
    }
  });

  it("removes the member of a retired host", () => {
    const group = new SimulatedGroup(4, 1);
    const retired = group.voters[0]?.id ?? "";
    group.retired.add(retired);
    group.run(3_000);
    expect(group.members.map((member) => member.id)).not.includes(retired);
    expect(group.voters).length(3);
  });

  it("removes a silent learner and adds another", () => {
    const group = new SimulatedGroup(5, 1);
    const spare = group.hosts.findIndex((host) =>
      group.members.every((member) => member.address !== host.address)
    );
    group.fail(spare, { disk: false });
    group.fail(0, { disk: true });
    group.run(60_000);
    expect(group.getHealthyVoters()).length(3);
  });

  [{ hosts: 4, lost: 1 }, { hosts: 3, lost: 1 }, { hosts: 10, lost: 2 }]
    .forEach(({ hosts, lost }) =>
      it(`keeps a quorum of ${hosts} hosts when ${lost} at a time fail`, () => {
        for (let seed = 1; seed <= 200; seed += 1) {
          const random = new SeededRandom(seed);
          const group = new SimulatedGroup(hosts, lost);
          for (let round = 0; round < 8; round += 1) {
            const victims = new Set(
              Array.from(
                { length: lost },
                () => random.getIntegerBelow(group.hosts.length),
              ),
            );
            victims.forEach((victim) =>
              group.fail(victim, { disk: random.getFraction() < 0.5 })
            );
            group.run(random.getIntegerBelow(12) * 1_000);
            expect(group.hasQuorum(), `seed ${seed}`).equal(true);
            victims.forEach((victim) => group.recover(victim));
            group.run(20_000);
            expect(group.getHealthyVoters(), `seed ${seed}`)
              .length(getRequiredVoters(lost));
            expect(group.members, `seed ${seed}`)
              .length(getRequiredVoters(lost));
          }
        }
      })
    );
});
