/**
 * Refusals that a faulty server writes once more on a connection that was kept: the
 * copy bears the id of the request that was refused, and meets that request when it
 * is sent there again, while the server runs it.
 */
import { expect } from "chai";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { callService, runEngineAttempt } from "../relay/mod.ts";
import { createHttpAgent, type HttpAgent, readBody } from "../sys/http.ts";
import { SeededRandom } from "../sys/random.ts";
import { createBackendClient, createPermit } from "./backend_calls.ts";
import { range } from "./fleet_helpers.ts";
import { PlatformFleet } from "./platform_fleet.ts";
import { getCompleteText } from "./platform_server.ts";
import {
  createAnswer,
  createResponse,
  ScriptedServer,
} from "./scripted_server.ts";

const IDLE_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 5_000;
const IDLE_DELAY_MS = 10;
const MAX_BODY_BYTES = 1_000;

const REFUSALS = ["503 Full", "429 Too Many", "408 Timeout", "421 Other"];

/** Bytes of a refusal by a server of the platform. */
const createRefusal = (id: string, status = "503 Full") =>
  createResponse(status, [`X-Request-Id: ${id}`, "X-Not-Run: full"], "full");

describe("refusals that are written once more", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;
  /** Ids of the requests that the server ran. */
  let ran: string[];

  beforeEach(async () => {
    server = new ScriptedServer();
    agent = createHttpAgent({ idleTimeoutMs: IDLE_TIMEOUT_MS });
    ran = [];
    await server.start();
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  /** Refuses each request once and repeats the refusal on its connection. */
  const refuseOnce = (refuse: (id: string) => string) => {
    const refused = new Map<string, unknown>();
    server.serve = (id, socket) => {
      if (!refused.has(id)) {
        refused.set(id, socket);
        socket.write(refuse(id));
        return;
      }
      ran.push(id);
      const copy = refused.get(id) === socket ? refuse(id) : "";
      socket.write(copy + createAnswer(id));
    };
  };

  /** Waits until connections whose answers have ended can be used again. */
  const waitUntilIdle = () =>
    new Promise((resolve) => setTimeout(resolve, IDLE_DELAY_MS));

  const createAttempt = (id: string) => ({
    request: {
      requestId: id,
      method: "POST",
      target: "/x",
      headers: ["Host", "a.example", "X-Request-Id", id],
      body: Buffer.from("body"),
    },
    permit: createPermit(server.address),
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });

  /** Sends a request; returns the body of its answer, or how it ended. */
  const send = async (id: string): Promise<string> => {
    const result = await createBackendClient(agent).send({
      ...createAttempt(id),
      remainingMs: REQUEST_TIMEOUT_MS,
      resumeAfter: undefined,
      useNewConnection: false,
    });
    if (result.kind !== "response") return result.kind;
    const body = await readBody(result.response.body, MAX_BODY_BYTES);
    return body.toString();
  };

  const runItem = async (id: string) => {
    const outcome = await runItemAttempt({
      ...createAttempt(id),
      backendClient: createBackendClient(agent),
      timeoutMs: REQUEST_TIMEOUT_MS,
      progress: new ItemProgress({ random: new SeededRandom(1) }),
    });
    return outcome.kind;
  };

  // Guards against a promise to a caller that a request doesn't run while it runs.
  REFUSALS.forEach((status) => {
    it(`are no answer to the request that is sent again: ${status}`, async () => {
      refuseOnce((id) => createRefusal(id, status));
      expect(await send("first")).equal("notRun");
      await waitUntilIdle();
      expect(await send("first")).equal("first");
      expect(ran).deep.equal(["first"]);
    });
  });

  // Guards against a copy that arrives only after several other requests.
  it("are no answer to it after other requests on the connection", async () => {
    refuseOnce(createRefusal);
    await send("first");
    await waitUntilIdle();
    for (const index of range(5)) {
      await send(`other-${index}`);
      await waitUntilIdle();
    }
    expect(await send("first")).equal("first");
  });

  // Guards against a failure that is counted twice, or a run that is refused.
  [
    { what: "500", bytes: "500 Failed" },
    { what: "502", bytes: "502 Bad" },
    { what: "503 without the server's statement", bytes: "503 Busy" },
  ].forEach(({ what, bytes }) => {
    it(`may be failures, which answer one attempt alone: ${what}`, async () => {
      refuseOnce((id) =>
        createResponse(bytes, [`X-Request-Id: ${id}`, "X-Server-Stamp: st"])
      );
      await send("first");
      await waitUntilIdle();
      expect(await send("first")).equal("first");
    });
  });

  it("don't end an item that runs", async () => {
    refuseOnce(createRefusal);
    expect(await runItem("item")).equal("notRun");
    await waitUntilIdle();
    expect(await runItem("item")).not.equal("notRun");
    expect(ran).deep.equal(["item"]);
  });

  // Guards against a new connection for each request of a server that is full.
  it("leave the connection in use for other requests", async () => {
    refuseOnce(createRefusal);
    for (const index of range(5)) {
      await send(`other-${index}`);
      await waitUntilIdle();
    }
    expect(server.connections.size).equal(1);
  });

  describe("at the product's own entries", () => {
    const signal = () => AbortSignal.timeout(REQUEST_TIMEOUT_MS);

    /** Refuses the first request, and does it again where the next answer is due. */
    const refuseFirst = (next: string) => {
      let count = 0;
      server.serve = (_, socket) => {
        count += 1;
        const refusal = createResponse("503 Full", [], "full");
        socket.write(count === 1 ? refusal : next);
        if (count === 1) {
          // The copy meets the next request on this connection.
          server.serve = (id, other) => {
            ran.push(id);
            other.write((other === socket ? refusal : "") + next);
          };
        }
      };
    };

    const call = async (id: string) => {
      const result = await callService({
        address: server.address,
        method: "POST",
        path: "/x",
        headers: { "x-request-id": id },
        body: "body",
        signal: signal(),
      });
      if (result.kind !== "answered") return result.kind;
      await readBody(result.response.body, MAX_BODY_BYTES);
      return result.response.status;
    };

    it("don't answer the next request to a plain service", async () => {
      refuseFirst(createResponse("200 OK", [], "done"));
      expect(await call("first")).equal(503);
      await waitUntilIdle();
      expect(await call("second")).equal(200);
    });

    const complete = async (id: string) => {
      const outcome = await runEngineAttempt({
        address: server.address,
        path: "/v1/completions",
        body: { model: "m", prompt: "p" },
        progress: { text: "", tokens: 0 },
        requestId: id,
        usesNewConnection: false,
        stallTimeoutMs: REQUEST_TIMEOUT_MS,
        signal: signal(),
      }, { onEvents: () => true, whenReady: () => Promise.resolve() });
      return outcome.kind === "answered" ? outcome.status : outcome.kind;
    };

    it("don't answer the next completion", async () => {
      refuseFirst(createResponse(
        "200 OK",
        ["Content-Type: text/event-stream"],
        "data: [DONE]\n\n",
      ));
      expect(await complete("first")).equal(503);
      await waitUntilIdle();
      expect(await complete("second")).equal("done");
    });
  });
});

describe("refusals that a server of a fleet writes once more", () => {
  const fleet = new PlatformFleet();

  before(async () => {
    await fleet.start({ servers: 2, gateways: 2 });
  });

  after(() => fleet.close());

  beforeEach(() => {
    fleet.cutOffGateways.clear();
  });

  const refuseOnce = () =>
    fleet.servers.forEach((server) => server.behaviours.push("refuseAgain"));

  // Guards against REFUSED and TWICE on each route, also through another gateway.
  [0, 1].forEach((cutOffCount) =>
    ["/p/", "/n/", "/s/", "/l/"].forEach((target) => {
      const way = cutOffCount === 0 ? "" : " that another gateway passed on";
      it(`don't end a request on ${target}${way}`, async () => {
        if (cutOffCount === 1) {
          fleet.cutOffGateways.add(0);
          await fleet.waitUntil(
            "the gateway to find that it reaches no server",
            async () =>
              (await fleet.sendRequest("probe", "/p/")).status === 200,
          );
        }
        for (const index of range(3)) {
          refuseOnce();
          const id = `again${target}${cutOffCount}${index}`;
          const { status, isComplete } = await fleet.sendRequest(id, target);
          const runs = fleet.getReceivedRequests(id).filter(({ ran }) => ran);
          expect({ status, isComplete, runs: runs.length }, id)
            .deep.equal({ status: 200, isComplete: true, runs: 1 });
        }
      });
    })
  );

  it("don't end an item's run", async () => {
    refuseOnce();
    const job = "job-again";
    const items = [{
      Id: "item-again",
      Path: "/b/1",
      Headers: {},
      Body: Buffer.from("x").toString("base64"),
      Tokens: 10,
    }];
    const { status } = await fleet.sendRequest(job, "/b/", {
      body: JSON.stringify({ Items: items }),
    });
    expect(status).equal(202);
    await fleet.waitUntil("the item to be done", async () => {
      const page = await fleet.sendJobRequest("GET", `/-/lots/${job}?After=0`);
      return page.status === 200 && JSON.parse(page.text).Results.length === 1;
    });
    const page = await fleet.sendJobRequest("GET", `/-/lots/${job}?After=0`);
    expect(JSON.parse(page.text).Results).deep.equal([{
      Id: "item-again",
      State: "done",
      Text: getCompleteText("item-again"),
    }]);
    const runs = fleet.getReceivedRequests("item-again")
      .filter(({ ran }) => ran);
    expect(runs.length).equal(1);
  });
});
