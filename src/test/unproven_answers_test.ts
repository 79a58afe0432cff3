/**
 * Responses that claim more than their server vouches for: they bear the id of the
 * request, but a success lacks the server's proof, or a status that callers take for
 * "not run" lacks the server's statement that it didn't run the request.
 */
import { expect } from "chai";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { GatewayRelay } from "../fleet/gateway_relay.ts";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { Gateways } from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { createHttpAgent, type HttpAgent, readBody } from "../sys/http.ts";
import { MemoryLog } from "../sys/log.ts";
import { SeededRandom } from "../sys/random.ts";
import { createCredentials, RpcServer } from "../sys/rpc.ts";
import {
  createBackendClient,
  createBackendRequest,
  createPermit,
} from "./backend_calls.ts";
import { createResponse, ScriptedServer } from "./scripted_server.ts";

const IDLE_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 5_000;
const MAX_BODY_BYTES = 1_000;

const ID = "X-Request-Id: r";
const STAMP = "X-Server-Stamp: st";
const EVENT = "id: 1\ndata: a\n\n";

describe("responses without the server's proof", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;

  beforeEach(async () => {
    server = new ScriptedServer();
    agent = createHttpAgent({ idleTimeoutMs: IDLE_TIMEOUT_MS });
    await server.start();
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  const respond = (bytes: string) => {
    server.serve = (_, socket) => socket.write(bytes);
  };

  const createAttempt = () => ({
    request: createBackendRequest(),
    permit: createPermit(server.address),
    remainingMs: REQUEST_TIMEOUT_MS,
    resumeAfter: undefined,
    useNewConnection: false,
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });

  /** Sends a request; returns the status of its answer, or how it ended. */
  const send = async () => {
    const result = await createBackendClient(agent).send(createAttempt());
    if (result.kind !== "response") return result.kind;
    await readBody(result.response.body, MAX_BODY_BYTES);
    return result.response.status;
  };

  const unproven = [
    { what: "200", bytes: createResponse("200 OK", [ID], EVENT) },
    { what: "an empty 200", bytes: createResponse("200 OK", [ID]) },
    { what: "201", bytes: createResponse("201 Created", [ID], "body") },
    { what: "204", bytes: `HTTP/1.1 204 No Content\r\n${ID}\r\n\r\n` },
    {
      what: "200 with an empty proof",
      bytes: createResponse("200 OK", [ID, "X-Server-Stamp: "], EVENT),
    },
    {
      what: "200 without a length",
      bytes: `HTTP/1.1 200 OK\r\n${ID}\r\n\r\n${EVENT}`,
    },
  ];

  // Guards against a success that a caller can't count as the server's.
  unproven.forEach(({ what, bytes }) => {
    it(`are no success: ${what}`, async () => {
      respond(bytes);
      expect(await send()).equal("lost");
    });
  });

  // Guards against an item that is done with a text that is not the server's.
  unproven.forEach(({ what, bytes }) => {
    it(`end no item: ${what}`, async () => {
      respond(bytes);
      const progress = new ItemProgress({ random: new SeededRandom(1) });
      const outcome = await runItemAttempt({
        ...createAttempt(),
        backendClient: createBackendClient(agent),
        timeoutMs: REQUEST_TIMEOUT_MS,
        progress,
      });
      expect(outcome.kind).equal("broken");
      expect(progress.last).equal(undefined);
    });
  });

  it("are answers with the proof, or with a status that needs none", async () => {
    respond(createResponse("200 OK", [ID, STAMP], EVENT));
    expect(await send()).equal(200);
    respond(createResponse("500 Failed", [ID]));
    expect(await send()).equal(500);
    respond(createResponse("404 Not Found", [ID]));
    expect(await send()).equal(404);
  });

  const refusals = ["408 Timeout", "429 Too Many", "503 Unavailable"];
  // Guards against a promise to a caller that the request didn't run, by a server
  // that may have run it.
  refusals.forEach((status) => {
    it(`are no refusal without the server's statement: ${status}`, async () => {
      respond(createResponse(status, [ID, STAMP, "Retry-After: 1"]));
      expect(await send()).equal("lost");
      respond(createResponse(status, [ID, "X-Not-Run: full"]));
      expect(await send()).equal("notRun");
    });
  });

  it("are a refusal if another server got the request", async () => {
    respond(createResponse("421 Other", [ID]));
    expect(await send()).equal("notRun");
  });

  describe("from another gateway", () => {
    let merger: RpcServer;
    let relay: GatewayRelay;

    beforeEach(async () => {
      const credentials = createCredentials();
      merger = new RpcServer(credentials);
      merger.addService(Gateways, {
        find: () =>
          Promise.resolve({
            gateways: [{ address: server.address, dataCentre: "dc-1" }],
          }),
      });
      const address = await merger.listen("127.0.0.1:0");
      relay = new GatewayRelay({
        name: "g",
        dataCentre: "dc-1",
        getMergers: () => [address],
        getRoutesVersion: () => 1n,
        dialect: new PlatformBackendDialect(),
        credentials,
        clock: new SystemClock(),
        random: new SeededRandom(1),
        log: new MemoryLog(),
      });
    });

    afterEach(() => {
      relay.close();
      merger.close();
    });

    /** Passes a request on; returns the status of its answer, or how it ended. */
    const relayRequest = async () => {
      const result = await relay.send(createAttempt());
      if (result.kind !== "response") return result.kind;
      await readBody(result.response.body, MAX_BODY_BYTES);
      return result.response.status;
    };

    // Guards against what a gateway of another build lets through.
    unproven.forEach(({ what, bytes }) => {
      it(`are no success: ${what}`, async () => {
        respond(bytes);
        expect(await relayRequest()).equal("lost");
      });
    });

    it("are no answer with the id of another request", async () => {
      const id = "X-Request-Id: other";
      respond(createResponse("200 OK", [id, STAMP], EVENT));
      expect(await relayRequest()).equal("lost");
      respond(createResponse("500 Failed", [id]));
      expect(await relayRequest()).equal("lost");
    });

    it("are no success without an id", async () => {
      respond(createResponse("200 OK", [STAMP], EVENT));
      expect(await relayRequest()).equal("lost");
    });

    refusals.forEach((status) => {
      it(`are no refusal without the server's statement: ${status}`, async () => {
        respond(createResponse(status, [ID, STAMP]));
        expect(await relayRequest()).equal("lost");
      });
    });

    it("are answers with the proof, or of the gateway itself", async () => {
      respond(createResponse("200 OK", [ID, STAMP], EVENT));
      expect(await relayRequest()).equal(200);
      respond(createResponse("503 Busy", ["Retry-After: 1"]));
      expect(await relayRequest()).equal(503);
    });
  });
});
