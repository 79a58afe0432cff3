/** Connections between replicas that break without a reset. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { ReplicaMessageSchema } from "../schema/mod.ts";
import { ReplicaLinks } from "../services/control/replica_links.ts";
import { ManualClock, SystemClock } from "../sys/clock.ts";
import { createCredentials } from "../sys/rpc.ts";

/** Time without messages after which connections are replaced, and more. */
const SILENT_MS = 2_000;

describe("links between replicas", () => {
  // Guards against entries that go on over a broken connection while heartbeats on
  // another one show that the host is there.
  it("are replaced together once the host has been silent", async () => {
    let connectionCount = 0;
    const host = createServer((socket) => {
      connectionCount += 1;
      socket.on("error", () => {});
    });
    host.listen(0, "127.0.0.1");
    await once(host, "listening");
    const { port } = host.address() as AddressInfo;
    const clock = new ManualClock();
    const links = new ReplicaLinks({
      credentials: createCredentials(undefined),
      getAddress: () => `127.0.0.1:${port}`,
      clock,
    });
    const message = create(ReplicaMessageSchema, {
      to: "b",
      from: "a",
      body: { case: "appendRequest", value: {} },
    });
    const waitForConnections = async (count: number) => {
      while (connectionCount < count) await new SystemClock().delay(10);
    };
    try {
      links.sendHeartbeat(message);
      links.send(message);
      await waitForConnections(2);
      await clock.advance(SILENT_MS);
      links.sendHeartbeat(message);
      await waitForConnections(3);
      // The host is heard again before the next entries.
      links.recordReceived("b");
      links.send(message);
      await waitForConnections(4);
      expect(connectionCount).equal(4);
    } finally {
      links.close();
      host.close();
    }
  });
});
