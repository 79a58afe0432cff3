/**
 * Calls to a group whose first attempt has no known outcome: its bytes may reach the
 * group after a later attempt was refused, and the command is applied then.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { ControlHost } from "../fleet/control_host.ts";
import { JobClient } from "../fleet/job_client.ts";
import {
  FleetReplySchema,
  FleetSettingsSchema,
  ItemReplySchema,
  JobCommandReplySchema,
  JobCommandSchema,
  MessageCode,
  State,
  SubmitJobSchema,
  Verdict,
} from "../schema/mod.ts";
import { createProcessContext } from "../services/common/process_context.ts";
import { StateClient } from "../services/common/state_client.ts";
import { SystemClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import { createCredentials, RpcClient, RpcServer } from "../sys/rpc.ts";

const JOB = "job-1";
const CALL_TIMEOUT_MS = 300;

/** Forwards connections to an address, but holds what clients send meanwhile. */
class HoldingProxy {
  readonly #server: Server;
  readonly #held: { socket: Socket; bytes: Buffer }[] = [];
  readonly #sockets = new Set<Socket>();
  #isHolding = false;
  address = "";

  constructor(target: string) {
    const [host, port] = target.split(":");
    this.#server = createServer((client) => {
      // What was sent before a client gives up still arrives.
      const upstream = connect({ host, port: Number(port) });
      [client, upstream].forEach((socket) => {
        this.#sockets.add(socket);
        socket.on("error", () => {});
      });
      client.on("data", (bytes) => {
        if (this.#isHolding) this.#held.push({ socket: upstream, bytes });
        else upstream.write(bytes);
      });
      upstream.on("data", (bytes) => client.write(bytes));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  hold(): void {
    this.#isHolding = true;
  }

  release(): void {
    this.#isHolding = false;
    this.#held.splice(0).forEach(({ socket, bytes }) => socket.write(bytes));
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

/** A host of the store group that replies to proposals as a test says. */
class StandInHost {
  readonly #server = new RpcServer(createCredentials());
  /** Ids of the jobs that it was asked to submit. */
  readonly submitted: string[] = [];
  code: MessageCode | 0 = 0;
  /** Reply of its state machine to each command. */
  reply: Uint8Array = new Uint8Array();
  isSilent = false;
  /** Whether the commands are those of jobs. */
  recordsJobs = true;
  address = "";

  async start(): Promise<void> {
    const notLeader = () => Promise.resolve({ code: MessageCode.NOT_LEADER });
    this.#server.addService(State, {
      propose: ({ commands }) => this.#propose(commands),
      query: notLeader,
      renew: notLeader,
      watch: () => Promise.resolve(),
    });
    this.address = await this.#server.listen("127.0.0.1:0");
  }

  close(): void {
    this.#server.close();
  }

  #record(bytes: Uint8Array): void {
    const { command } = fromBinary(JobCommandSchema, bytes);
    if (command.case === "submit") this.submitted.push(command.value.id);
  }

  #propose(commands: readonly Uint8Array[]) {
    if (this.recordsJobs) commands.forEach((bytes) => this.#record(bytes));
    if (this.isSilent) return new Promise<never>(() => {});
    return Promise.resolve(
      this.code === 0
        ? { replies: commands.map(() => this.reply) }
        : { code: this.code },
    );
  }
}

describe("calls with an attempt without an outcome", () => {
  let first: StandInHost;
  let leader: StandInHost;
  let state: StateClient;
  let addresses: string[];
  /** The host that the first attempt goes to. */
  let firstAddress: string;

  beforeEach(async () => {
    first = new StandInHost();
    leader = new StandInHost();
    leader.reply = toBinary(
      JobCommandReplySchema,
      create(JobCommandReplySchema, { code: MessageCode.QUOTA_SPENT }),
    );
    await Promise.all([first.start(), leader.start()]);
    addresses = [first.address, leader.address];
    firstAddress = first.address;
    state = new StateClient({
      getAddresses: () => addresses,
      tryGetLeader: () => firstAddress,
      credentials: createCredentials(),
      clock: new SystemClock(),
    });
  });

  afterEach(() => {
    state.close();
    first.close();
    leader.close();
  });

  /** Submits a job that the leader refuses; returns the error. */
  const submit = () =>
    new JobClient(state).submit(create(SubmitJobSchema, { id: JOB })).then(
      () => expect.fail("a refusal"),
      (error: ServingError) => error,
    );

  const expectUnknown = (error: ServingError) => {
    expect(error.verdict).equal(Verdict.MAY_HAVE_RUN);
    expect(error.code).equal(MessageCode.STATE_UNREACHABLE);
  };

  const expectRefused = (error: ServingError) => {
    expect(error.verdict).equal(Verdict.NOT_RUN);
    expect(error.code).equal(MessageCode.QUOTA_SPENT);
  };

  // Guards against a job that was refused and runs after all.
  it("are not refused while their bytes are on the way", async () => {
    const proxy = new HoldingProxy(first.address);
    await proxy.start();
    addresses = [proxy.address, leader.address];
    firstAddress = proxy.address;
    first.code = MessageCode.NOT_LEADER;
    // Opens the connection.
    await submit();
    first.submitted.length = 0;
    first.code = 0;
    proxy.hold();
    expectUnknown(await submit());
    expect(leader.submitted).contain(JOB);
    expect(first.submitted).deep.equal([]);
    proxy.release();
    while (first.submitted.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(first.submitted).deep.equal([JOB]);
    proxy.close();
  });

  it("are not refused while a host has them and is silent", async () => {
    first.isSilent = true;
    expectUnknown(await submit());
  });

  it("are not refused after a host lost them on its way out of the lead", async () => {
    first.code = MessageCode.MAY_HAVE_COMMITTED;
    expectUnknown(await submit());
  });

  // Guards against a refusal that becomes unknown without need.
  it("are refused if the first host doesn't lead", async () => {
    first.code = MessageCode.NOT_LEADER;
    expectRefused(await submit());
  });

  it("are refused if the first host can't be reached", async () => {
    first.close();
    expectRefused(await submit());
  });

  // Guards against a refusal of the product's own groups that is not final.
  it("are refused with the verdict that is known", async () => {
    [first, leader].forEach((host) => host.recordsJobs = false);
    leader.reply = toBinary(
      ItemReplySchema,
      create(ItemReplySchema, {
        code: MessageCode.KEY_REUSED,
        detail: "reused",
      }),
    );
    const run = () =>
      state.runItemCommand(0, { case: "commitJob", value: { id: JOB } }).then(
        () => expect.fail("a refusal"),
        (error: ServingError) => error,
      );
    first.code = MessageCode.NOT_LEADER;
    expect(await run()).include({
      code: MessageCode.KEY_REUSED,
      verdict: Verdict.NOT_RUN,
    });
    first.code = MessageCode.MAY_HAVE_COMMITTED;
    expect(await run()).include({
      code: MessageCode.KEY_REUSED,
      verdict: Verdict.MAY_HAVE_RUN,
    });
  });

  // Guards against a job that ends though its caller was told that its end is not run.
  it("that end a job are refused only if that is final", async () => {
    const code = MessageCode.JOB_MEMORY_SPENT;
    leader.reply = toBinary(
      JobCommandReplySchema,
      create(JobCommandReplySchema, { code }),
    );
    const end = () =>
      new JobClient(state).end(JOB, undefined, "").then(
        () => expect.fail("a refusal"),
        (error: ServingError) => error,
      );
    first.code = MessageCode.NOT_LEADER;
    expect(await end()).include({ code, verdict: Verdict.NOT_RUN });
    first.code = MessageCode.MAY_HAVE_COMMITTED;
    expectUnknown(await end());
  });

  // Guards against a job that is acknowledged and kept by nobody.
  it("are not accepted by a reply without an outcome", async () => {
    firstAddress = leader.address;
    leader.code = MessageCode.INTERNAL;
    expectUnknown(await submit());
  });

  // Guards against a host that is retired after the operator was told that it isn't.
  it("are refused to the operator only if they are final", async () => {
    const { TOO_FEW_HOSTS: code } = MessageCode;
    [first, leader].forEach((host) => host.recordsJobs = false);
    leader.reply = toBinary(
      FleetReplySchema,
      create(FleetReplySchema, { code }),
    );
    const retire = () => {
      const settings = create(FleetSettingsSchema, {
        id: "c",
        ip: "127.0.0.1",
        seeds: [first.address, leader.address],
      });
      return new ControlHost(settings, createProcessContext({ name: "c" }))
        .retireHost("s").then(
          () => expect.fail("a refusal"),
          (error: ServingError) => error,
        );
    };
    first.code = MessageCode.NOT_LEADER;
    expect(await retire()).include({ code, verdict: Verdict.NOT_RUN });
    first.code = MessageCode.MAY_HAVE_COMMITTED;
    expectUnknown(await retire());
  });

  it("are refused if the first host accepts no connection in time", async () => {
    const sockets: Socket[] = [];
    const mute = createServer((socket) => sockets.push(socket));
    await new Promise<void>((resolve) =>
      mute.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = mute.address() as AddressInfo;
    const client = new RpcClient(`127.0.0.1:${port}`, createCredentials());
    const error = await client.call(State.method.propose, {}, {
      timeoutMs: CALL_TIMEOUT_MS,
    }).then(() => expect.fail("an error"), (thrown: ServingError) => thrown);
    expect(error.verdict).equal(Verdict.NOT_RUN);
    client.close();
    sockets.forEach((socket) => socket.destroy());
    mute.close();
  });

  it("may have run if the host got them and doesn't reply", async () => {
    first.isSilent = true;
    const client = new RpcClient(first.address, createCredentials());
    const error = await client.call(State.method.propose, {}, {
      timeoutMs: CALL_TIMEOUT_MS,
    }).then(() => expect.fail("an error"), (thrown: ServingError) => thrown);
    expect(error.verdict).equal(Verdict.MAY_HAVE_RUN);
    client.close();
  });
});
