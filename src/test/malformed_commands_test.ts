/**
 * Commands that other processes propose. Guards against one that no replica can
 * decode ending all replicas of its group, at each start.
 */
import { expect } from "chai";
import { MessageCode, State } from "../schema/mod.ts";
import { createCredentials, RpcClient } from "../sys/rpc.ts";
import { HOST_IP, HostProcesses } from "./platform_process.ts";

/** An unfinished varint. */
const MALFORMED = Uint8Array.of(0xff);

describe("malformed commands", () => {
  const hosts = new HostProcesses();

  before(() => hosts.open());
  after(() => hosts.close());

  it("are refused before they are in the log", async () => {
    const settings = await hosts.createSettings("control");
    const first = hosts.start(settings);
    await first.waitFor(/event=host_registered/);
    const client = new RpcClient(
      `${HOST_IP}:${settings.peer}`,
      createCredentials(),
    );
    const reply = await client.call(State.method.propose, {
      group: 0,
      commands: [MALFORMED],
    });
    client.close();
    expect(reply.code).equal(MessageCode.INTERNAL);
    expect(reply.detail).match(/cannot be decoded/);
    first.kill("SIGKILL");
    await first.ended;
    const second = hosts.start(settings);
    await second.waitFor(/event=host_registered/);
    expect(second.isRunning).equal(true);
  });
});
