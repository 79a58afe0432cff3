/**
 * Crowds of callers that ask for results of jobs and read nothing. Pages are held by the
 * leader of the store group and by the gateway, so their sum is bounded.
 */
import { rm } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { JobClient } from "../fleet/job_client.ts";
import { MAX_PAGE_BYTES, PageReads } from "../fleet/page_reads.ts";
import type { StateClient } from "../services/common/state_client.ts";
import { range } from "./fleet_helpers.ts";
import { createConfig, sendHttpRequest } from "./platform_fleet.ts";
import { pollUntil } from "./poll_until.ts";
import { createResponse, ScriptedServer } from "./scripted_server.ts";
import { SoakFleet } from "./soak/soak_fleet.ts";

const READERS = 400;
const ITEMS = 200;
const EVENTS_PER_ITEM = 170;
const EVENT_TEXT = "x".repeat(70);

/** Part of a process's memory that pages may take, in bytes. */
const MAX_OPEN_BYTES = 32 << 20;

const HEARTBEAT_INTERVAL_MS = 400;
const CALLER_TIMEOUT_MS = 3_500;
const WATCHED_MS = 6_000;

/** Time of a test on a machine that is ten times as slow, in milliseconds. */
const TIMEOUT_MS = 240_000;

const GATEWAY = "gateway-1";
const CONTROL = "control-1";

/** What the platform gives a gateway; store hosts have 220 MB. */
const LIMITS = { memory_mb: 200, max_files: 4_100 };

describe("callers that read no results", () => {
  it("share the size of pages", () => {
    const reads = new PageReads();
    const sizes = range(READERS).map(() => reads.open());
    expect(sizes[0]).equal(MAX_PAGE_BYTES);
    expect(sizes.reduce((sum, bytes) => sum + bytes, 0)).below(MAX_OPEN_BYTES);
    sizes.forEach(() => reads.close());
    expect(reads.open()).equal(MAX_PAGE_BYTES);
  });

  // Guards against a leader that takes more memory than its host has, for bodies that
  // gateways ask for all at once.
  it("have the bodies of items read a few at a time", async () => {
    let open = 0;
    let mostOpen = 0;
    const client = new JobClient({
      callLeader: async () => {
        open += 1;
        mostOpen = Math.max(mostOpen, open);
        await delay(1);
        open -= 1;
        return { code: 0, body: Buffer.from("body") };
      },
    } as unknown as StateClient);
    const gone = client.readBody("job", "gone", undefined, AbortSignal.abort())
      .catch(() => undefined);
    const bodies = await Promise.all(
      range(50).map((index) => client.readBody("job", `${index}`, undefined)),
    );
    expect(bodies).length(50);
    expect(await gone).equal(undefined);
    expect(mostOpen).equal(2);
  });

  describe("in a fleet of real processes", () => {
    let fleet: SoakFleet;
    let server: ScriptedServer;
    let heartbeats: ReturnType<typeof setInterval> | undefined;
    let readers: Socket[] = [];

    const send = (
      host: string,
      method: string,
      target: string,
      options: { body?: string; headers?: Record<string, string> } = {},
    ) =>
      sendHttpRequest(fleet.getAddress(host), method, target, {
        headers: { Host: "a.example", ...options.headers },
        body: options.body,
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
      });

    /** Reads all pages of the job; returns the number of its results. */
    const countResults = async () => {
      let after = 0;
      for (;;) {
        const { status, text } = await send(
          GATEWAY,
          "GET",
          `/-/lots/job?After=${after}`,
        );
        if (status !== 200) return after;
        const { Results: results } = JSON.parse(text);
        if (results.length === 0) return after;
        after += results.length;
      }
    };

    before(async function () {
      this.timeout(TIMEOUT_MS);
      server = new ScriptedServer();
      await server.start();
      server.serve = (id, socket) =>
        socket.write(
          createResponse(
            "200 OK",
            [
              `X-Request-Id: ${id}`,
              "X-Server-Stamp: st",
              "Content-Type: text/event-stream",
            ],
            range(EVENTS_PER_ITEM).map((index) =>
              `id: ${index + 1}\ndata: ${EVENT_TEXT}\n\n`
            ).join(""),
          ),
        );
      fleet = new SoakFleet(
        { controls: 3, stores: 3, gateways: 1, servers: 1 },
        LIMITS,
      );
      await fleet.start();
      const [registered] = fleet.servers;
      heartbeats = setInterval(
        () =>
          send(CONTROL, "PUT", `/-/instances/${registered?.id}`, {
            body: registered?.createRegistration({ Address: server.address }),
          }),
        HEARTBEAT_INTERVAL_MS,
      );
      await pollUntil("the configuration to be acknowledged", async () => {
        const body = createConfig(1);
        const { status } = await send(CONTROL, "PUT", "/-/config", { body });
        return status === 200;
      });
      await pollUntil("the job to be accepted", async () => {
        const { status } = await send(GATEWAY, "POST", "/b/", {
          headers: { "X-Request-Id": "job" },
          body: JSON.stringify({
            Items: range(ITEMS).map((index) => ({
              Id: `item-${index}`,
              Path: "/b/x",
              Headers: {},
              Body: "",
              Tokens: 1,
            })),
          }),
        });
        return status === 202;
      });
      await pollUntil(
        "the results",
        async () => await countResults() === ITEMS,
      );
    });

    after(async () => {
      clearInterval(heartbeats);
      readers.forEach((socket) => socket.destroy());
      server.close();
      await fleet.close({ keepFolder: true });
      await rm(fleet.folder, { recursive: true, force: true });
    });

    // Guards against processes that end for their memory: each read held a whole page.
    it("leave hosts within their memory", async () => {
      const [host = "", port] = fleet.getAddress(GATEWAY).split(":");
      readers = range(READERS).map(() => {
        const socket = connect(Number(port), host);
        socket.on("error", () => {});
        socket.pause();
        socket.write(
          "GET /-/lots/job?After=0 HTTP/1.1\r\nHost: a.example\r\n\r\n",
        );
        return socket;
      });
      await delay(WATCHED_MS);
      expect(fleet.getMemoryViolations()).deep.equal([]);
      readers.forEach((socket) => socket.destroy());
      await pollUntil(
        "all results for another caller",
        async () => await countResults() === ITEMS,
      );
    }).timeout(TIMEOUT_MS);
  });
});
