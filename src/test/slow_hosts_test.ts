/**
 * Links between replicas when the event loop of the receiving process turns slowly.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { Worker } from "node:worker_threads";
import { ReplicaMessageSchema } from "../schema/mod.ts";
import { ReplicaLinks } from "../services/control/replica_links.ts";
import { SystemClock } from "../sys/clock.ts";
import { createCredentials } from "../sys/rpc.ts";
import { DEFAULT_TIMING, MAX_APPEND_BYTES } from "../state/agreement/timing.ts";

/** Turns of members' event loops under a flood of jobs, in milliseconds. */
const FLOOD_TURN_MS = 200;

/** Turns that fit into an election timeout then. */
const MAX_TURNS = DEFAULT_TIMING.electionTimeoutMs / FLOOD_TURN_MS;

/** Turns of the receiver's event loop in the test, in milliseconds. */
const TURN_MS = 20;

/**
 * A process that receives messages of replicas, and whose event loop is busy for
 * TURN_MS in each turn. It reports its address and the turn of each message.
 */
const RECEIVER = `
const { parentPort, workerData } = require("node:worker_threads");
(async () => {
  const { RpcServer } = await import(workerData.source + "sys/rpc_server.js");
  const { createCredentials } = await import(workerData.source + "sys/rpc.js");
  const { Replicas } = await import(workerData.source + "schema/mod.js");
  const server = new RpcServer(createCredentials(undefined));
  let turn = 0;
  server.addService(Replicas, {
    introduce: () => Promise.resolve({ accepted: false }),
    exchange: (onMessage) =>
      onMessage(({ messages }) =>
        messages.forEach(({ term }) =>
          parentPort.postMessage({ term: Number(term), turn })
        )
      ),
  });
  parentPort.postMessage({ address: await server.listen("127.0.0.1:0") });
  setInterval(() => {
    turn += 1;
    const endMs = performance.now() + workerData.turnMs;
    while (performance.now() < endMs);
  }, 1);
})();
`;

interface Arrival {
  readonly term: number;
  readonly turn: number;
}

describe("a replica whose host is slow", () => {
  // Guards against elections under a flood of jobs: a heartbeat that waits behind
  // entries for longer than an election timeout.
  it("hears of its leader while entries are on their way", async () => {
    const worker = new Worker(RECEIVER, {
      eval: true,
      workerData: {
        source: new URL("../", import.meta.url).href,
        turnMs: TURN_MS,
      },
    });
    const arrivals: Arrival[] = [];
    const address = await new Promise<string>((resolve) =>
      worker.on("message", (message) => {
        if (message.address === undefined) arrivals.push(message);
        else resolve(message.address);
      })
    );
    const links = new ReplicaLinks({
      credentials: createCredentials(undefined),
      getAddress: () => address,
      clock: new SystemClock(),
    });
    const createRequest = (term: number, bytes: number) => {
      const payload = {
        case: "command",
        value: new Uint8Array(bytes),
      } as const;
      const entries = bytes === 0 ? [] : [{ index: 1n, term: 1n, payload }];
      return create(ReplicaMessageSchema, {
        to: "slow",
        term: BigInt(term),
        body: { case: "appendRequest", value: { entries } },
      });
    };
    const waitFor = async (term: number): Promise<Arrival> => {
      for (;;) {
        const arrival = arrivals.find((other) => other.term === term);
        if (arrival !== undefined) return arrival;
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    };
    try {
      // Opens both connections, as hosts in operation have done.
      links.send(createRequest(1, 0));
      links.sendHeartbeat(createRequest(2, 0));
      await waitFor(1);
      await waitFor(2);
      const turn = Math.max(...arrivals.map((arrival) => arrival.turn));
      links.send(createRequest(3, MAX_APPEND_BYTES));
      links.sendHeartbeat(createRequest(4, 0));
      const heartbeat = await waitFor(4);
      expect(heartbeat.turn - turn).most(MAX_TURNS);
    } finally {
      links.close();
      await worker.terminate();
    }
  });
});
