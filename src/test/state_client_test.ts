/**
 * Calls to the leader of a group while some of its hosts don't reply: frozen,
 * cut off, or behind a connection that broke without a reset.
 */
import { expect } from "chai";
import { MessageCode } from "../schema/mod.ts";
import {
  type LeaderCall,
  type RedirectableReply,
  StateClient,
} from "../services/common/state_client.ts";
import { ManualClock } from "../sys/clock.ts";
import { createCredentials } from "../sys/rpc.ts";
import { range } from "./fleet_helpers.ts";

const GROUP = 0;
const HOSTS = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"];
const [SILENT = "", FOLLOWER = "", LEADER = ""] = HOSTS;

/** Time within which the operator's clients expect a reply, in milliseconds. */
const OPERATOR_TIMEOUT_MS = 900;

/** Time that a silent host may delay a call by, in milliseconds. */
const MAX_DELAY_MS = 300;

const OK: RedirectableReply = { code: 0, leader: "" };
const REDIRECT = { code: MessageCode.NOT_LEADER, leader: LEADER };

/** A client of simulated hosts, each of which replies or stays silent. */
class SimulatedHosts {
  readonly clock = new ManualClock();
  readonly calls: string[] = [];
  readonly replies = new Map<string, RedirectableReply | undefined>([
    [SILENT, OK],
    [FOLLOWER, REDIRECT],
    [LEADER, OK],
  ]);
  knownLeader = "";
  readonly client = new StateClient({
    getAddresses: () => HOSTS,
    tryGetLeader: () => this.knownLeader,
    credentials: createCredentials(),
    clock: this.clock,
  });

  readonly call: LeaderCall<RedirectableReply> = ({ address }, callMs) => {
    this.calls.push(address);
    const reply = this.replies.get(address);
    return new Promise((resolve, reject) =>
      this.clock.startTimer(
        reply === undefined ? callMs : 2,
        () =>
          reply === undefined ? reject(new Error("silent")) : resolve(reply),
      )
    );
  };

  /** Calls the leader; returns the time until the reply, in milliseconds. */
  async measureCall(timeoutMs: number): Promise<number> {
    const startMs = this.clock.getMonotonicMs();
    let endMs: number | undefined;
    const ended = this.client.callLeader(GROUP, timeoutMs, this.call)
      .then(() => {
        endMs = this.clock.getMonotonicMs();
      });
    ended.catch(() => {});
    for (const _ of range(timeoutMs)) {
      if (endMs !== undefined) break;
      await new Promise((resolve) => setImmediate(resolve));
      this.clock.advance(1);
    }
    await ended;
    return (endMs ?? Infinity) - startMs;
  }
}

describe("state client", () => {
  // Guards against operators' orders that were refused for seconds because each
  // one waited out its time for the old leader, which was frozen.
  it("asks other hosts while the leader that it knows does not reply", async () => {
    const hosts = new SimulatedHosts();
    await hosts.measureCall(OPERATOR_TIMEOUT_MS);
    expect(hosts.calls).deep.equal([SILENT]);
    hosts.replies.set(SILENT, undefined);
    expect(await hosts.measureCall(OPERATOR_TIMEOUT_MS)).most(MAX_DELAY_MS);
    expect(hosts.calls).deep.equal([SILENT, SILENT, FOLLOWER, LEADER]);
    expect(await hosts.measureCall(OPERATOR_TIMEOUT_MS)).most(10);
  });

  it("goes to the leader that its process knows", async () => {
    const hosts = new SimulatedHosts();
    hosts.replies.set(SILENT, undefined);
    hosts.knownLeader = LEADER;
    await hosts.measureCall(OPERATOR_TIMEOUT_MS);
    expect(hosts.calls).deep.equal([LEADER]);
  });

  it("asks other hosts when the leader that its process knows does not lead", async () => {
    const hosts = new SimulatedHosts();
    hosts.replies.set(SILENT, { code: MessageCode.NOT_LEADER, leader: "" });
    hosts.knownLeader = SILENT;
    expect(await hosts.measureCall(OPERATOR_TIMEOUT_MS)).most(100);
    expect(hosts.calls).deep.equal([SILENT, FOLLOWER, LEADER]);
  });

  // Guards against a slow leader that gets each command several times.
  it("calls a host once at a time", async () => {
    const hosts = new SimulatedHosts();
    hosts.replies.set(SILENT, REDIRECT);
    hosts.replies.set(LEADER, undefined);
    await hosts.measureCall(1_400).then(
      () => expect.fail("a reply"),
      (error) => expect(error).property("code", MessageCode.STATE_UNREACHABLE),
    );
    expect(hosts.calls.filter((address) => address === LEADER)).length(1);
    expect(hosts.calls.length).most(20);
  });
});
