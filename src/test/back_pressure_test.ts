/** A caller that doesn't read slows its engine down and fills no memory. */
import { expect } from "chai";
import { connect } from "node:net";
import { Announcer, FleetName, waitUntil } from "../bench/mod.ts";
import { listenHttp, parseAddress, type ServerResponse } from "../sys/http.ts";
import { withFleet } from "./fleet_helpers.ts";

const EVENT_BYTES = 16 * 1024;
const TOTAL_BYTES = 512 << 20;

/** Kernel buffers of four sockets and what Node keeps beside them. */
const MAX_SENT_BYTES = 64 << 20;

const EVENT = `data: {"choices":[{"text":"${"x".repeat(EVENT_BYTES)}"}]}\n\n`;

describe("back-pressure", () => {
  it("reaches from the caller to the engine", () =>
    withFleet({ engines: 0, services: 0 }, async (fleet) => {
      let sent = 0;
      let isClosed = false;
      const sendEvents = (res: ServerResponse) => {
        let canWrite = true;
        while (canWrite && sent < TOTAL_BYTES && !isClosed) {
          canWrite = res.write(EVENT);
          sent += EVENT.length;
        }
        if (!isClosed) res.once("drain", () => sendEvents(res));
      };
      const engine = await listenHttp("127.0.0.1:0", (_, res) => {
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.on("close", () => {
          isClosed = true;
        });
        sendEvents(res);
      });
      const announcer = new Announcer({
        entries: fleet.getEntryAddresses(),
        clock: fleet.clock,
        intervalMs: 300,
        fields: () => ({
          name: "pouring",
          incarnation: 1n,
          address: engine.address,
          deployment: FleetName.engines,
          dataCentre: "dc-1",
          leaseMs: 5_000,
        }),
      });
      await announcer.start();
      const { host, port } = parseAddress(fleet.getEntryAddresses()[0] ?? "");
      const body = JSON.stringify({
        model: FleetName.model,
        prompt: "pour",
        stream: true,
      });
      const socket = connect(port, host).pause();
      socket.write(
        `POST /v1/completions HTTP/1.1\r\nhost: x\r\n` +
          `content-length: ${body.length}\r\n\r\n${body}`,
      );
      let last = -1;
      await waitUntil(fleet.clock, "a standstill", async () => {
        const before = sent;
        await fleet.clock.delay(300);
        const isStalled = sent > 0 && sent === before && sent === last;
        last = sent;
        return isStalled;
      });
      expect(sent).lessThan(MAX_SENT_BYTES);
      socket.destroy();
      await waitUntil(fleet.clock, "the engine's stream ended", () => isClosed);
      announcer.stop();
      engine.close();
    }));
});
