/** Requests of each kind through a complete fleet, and their guarantees. */
import { expect } from "chai";
import {
  createConfig,
  PlatformFleet,
  sendHttpRequest,
} from "./platform_fleet.ts";
import { getCompleteText, PlatformServer } from "./platform_server.ts";

interface JobResultsPage {
  readonly Total: number;
  readonly Next: number;
  readonly Results: { Id: string; State: string; Text: string }[];
}

describe("platform fleet", () => {
  let fleet: PlatformFleet;

  before(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 2, gateways: 2 });
  });

  after(() => fleet.close());

  afterEach(() =>
    [fleet, ...fleet.servers].forEach((owner) => owner.behaviours.length = 0)
  );

  const getEventText = (text: string) =>
    text.split("\n").filter((line) => line.startsWith("data: "))
      .map((line) => line.slice("data: ".length)).join("\n");

  const queueBehaviours = (...behaviours: PlatformServer["behaviours"]) =>
    fleet.behaviours.push(...behaviours);

  it("forwards requests and responses of each kind unchanged", async () => {
    for (const prefix of ["p", "n", "s", "l"]) {
      const id = `whole-${prefix}`;
      const target = `/${prefix}/x?y=%20z`;
      const response = await fleet.sendRequest(id, target, {
        body: "\u00ff\0bytes",
      });
      expect(response, id).include({ status: 200, isComplete: true });
      expect(response.headers["x-server-stamp"]).match(/^stamp-i-/);
      expect(getEventText(response.text)).equal(getCompleteText(id));
      const [received] = fleet.getReceivedRequests(id);
      expect(received?.path).equal(target);
      expect(received?.body).equal(
        Buffer.from("\u00ff\0bytes").toString("latin1"),
      );
      expect(Number(received?.headers["x-deadline-ms"])).within(1, 2_500);
      expect(received?.headers["x-expect-instance"]).match(/^i-/);
    }
  });

  it("rejects a request without a route and one with too large a body", async () => {
    expect((await fleet.sendRequest("r1", "/none/")).status).equal(404);
    const large = await fleet.sendRequest("r2", "/p/", {
      body: "x".repeat(100_001),
    });
    expect(large.status).equal(413);
    expect(fleet.getReceivedRequests("r1")).deep.equal([]);
    expect(fleet.getReceivedRequests("r2")).deep.equal([]);
  });

  it("retries on another server when a server did not run the request", async () => {
    const [first] = fleet.servers;
    for (const behaviour of ["full", "other"] as const) {
      for (let turn = 0; turn < 4; turn += 1) {
        first?.behaviours.push(behaviour);
        const id = `else-${behaviour}-${turn}`;
        expect((await fleet.sendRequest(id, "/n/")).status).equal(200);
        expect(fleet.getReceivedRequests(id).filter((request) => request.ran))
          .length(
            1,
          );
      }
      if (first) await fleet.registerServer(first);
    }
  });

  it("responds 503 only when no server ran the request", async () => {
    queueBehaviours("full", "full", "full", "full");
    const response = await fleet.sendRequest("refused", "/n/");
    expect(response.status).equal(503);
    expect(Number(response.headers["retry-after"])).greaterThan(0);
    expect(fleet.getReceivedRequests("refused").some((request) => request.ran))
      .equal(
        false,
      );
  });

  // Guards against a response that names no request, taken for a refusal of one.
  it("never runs a non-idempotent request twice", async () => {
    for (const behaviour of ["reset", "mixed", "unnamed"] as const) {
      for (const prefix of ["n", "l"]) {
        queueBehaviours(behaviour);
        const id = `once-${behaviour}-${prefix}`;
        const response = await fleet.sendRequest(id, `/${prefix}/`);
        expect(response.status, id).equal(502);
        expect(fleet.getReceivedRequests(id), id).length(1);
      }
    }
  });

  it("retries an idempotent request up to the attempts of its route", async () => {
    for (const behaviour of ["reset", "fail", "break"] as const) {
      queueBehaviours(behaviour);
      const id = `again-${behaviour}`;
      const response = await fleet.sendRequest(id, "/p/");
      expect(response, id).include({ status: 200, isComplete: true });
      expect(fleet.getReceivedRequests(id), id).length(2);
    }
  });

  it("resumes a broken stream without losing or repeating events", async () => {
    for (let turn = 0; turn < 4; turn += 1) {
      queueBehaviours("break");
      const id = `resumed-${turn}`;
      const response = await fleet.sendRequest(id, "/s/");
      expect(response, id).include({ status: 200, isComplete: true });
      expect(getEventText(response.text)).equal(getCompleteText(id));
    }
  });

  const countExtraResponses = () =>
    fleet.servers.reduce((sum, server) => sum + server.extraCount, 0);

  // Guards against extra bytes of faulty servers that callers get as their answers.
  it("gives callers their own answers only, whatever servers send besides", async () => {
    const before = countExtraResponses();
    let spoiltCount = 0;
    for (let turn = 0; turn < 60; turn += 1) {
      // One at a time, so that the other attempt of a request succeeds.
      if (countExtraResponses() === before + spoiltCount) {
        queueBehaviours("extra");
        spoiltCount += 1;
      }
      const id = `beside-${turn}`;
      const response = await fleet.sendRequest(id, turn % 2 ? "/p/" : "/s/");
      expect(response, id).include({ status: 200, isComplete: true });
      expect(getEventText(response.text), id).equal(getCompleteText(id));
    }
    expect(countExtraResponses()).greaterThan(before);
    fleet.servers.forEach((server) => server.discardExtraResponses());
  });

  it("truncates a broken stream that is not resumable, so that it is not taken as complete", async () => {
    queueBehaviours("break");
    const response = await fleet.sendRequest("cut", "/l/");
    expect(response).include({ status: 200, isComplete: false });
    expect(fleet.getReceivedRequests("cut")).length(1);
  });

  it("cancels the request at the server when the caller disconnects", async () => {
    queueBehaviours("silent");
    const abort = new AbortController();
    const pending = fleet.sendRequest("left", "/n/", { signal: abort.signal });
    await fleet.waitUntil(
      "the request to arrive",
      () => fleet.getReceivedRequests("left").length === 1,
    );
    abort.abort();
    await pending;
    await fleet.waitUntil(
      "the request to be cancelled",
      () => fleet.getReceivedRequests("left")[0]?.left === true,
    );
  });

  it("moves a resumable stream away from a silent server", async () => {
    queueBehaviours("silent");
    const response = await fleet.sendRequest("moved", "/s/");
    expect(response).include({ status: 200, isComplete: true });
    expect(getEventText(response.text)).equal(getCompleteText("moved"));
    const received = fleet.getReceivedRequests("moved");
    expect(received).length(2);
    expect(received.some((request) => request.left)).equal(true);
  });

  it("responds 504 at the route's timeout", async () => {
    await fleet.putConfig(createConfig(5, {
      Routes: [{
        Name: "short",
        Host: "a.example",
        PathPrefix: "/t/",
        Kind: "non_idempotent",
        TimeoutMs: 200,
        SloMs: 100,
        Service: "s",
        Attempts: 1,
      }, ...JSON.parse(createConfig(1)).Routes],
    }));
    await fleet.waitUntil(
      "the new route to be in force",
      async () => (await fleet.sendRequest("probe", "/t/")).status === 200,
    );
    queueBehaviours("silent");
    expect((await fleet.sendRequest("late", "/t/")).status).equal(504);
  });

  const createJob = (items: string[]) =>
    JSON.stringify({
      Items: items.map((id) => ({
        Id: id,
        Path: `/b/${id}`,
        Headers: { "X-Model": "m", "X-Prompt-Prefix": "ab:10,cd:5" },
        Body: Buffer.from(`body of ${id}`).toString("base64"),
        Tokens: 10,
      })),
    });

  const readPage = async (
    jobId: string,
    after = 0,
    gatewayIndex = 0,
  ): Promise<JobResultsPage> => {
    const response = await fleet.sendJobRequest(
      "GET",
      `/-/lots/${jobId}?After=${after}`,
      gatewayIndex,
    );
    expect(response.status).equal(200);
    return JSON.parse(response.text);
  };

  it("runs a job's items and keeps each result at its position", async () => {
    const items = ["a1", "a2", "a3", "a4", "a5", "a6"];
    queueBehaviours("break", "full", "impossible");
    const submitted = await fleet.sendRequest("job-1", "/b/", {
      body: createJob(items),
    });
    expect(submitted.status).equal(202);
    const again = await fleet.sendRequest("job-1", "/b/", {
      body: createJob(items),
      gatewayIndex: 1,
    });
    expect(again.status).equal(202);
    let page = await readPage("job-1");
    const earlyResults = page.Results;
    await fleet.waitUntil("all results of the job", async () => {
      page = await readPage("job-1", 0, 1);
      return page.Next === items.length;
    });
    expect(page.Total).equal(items.length);
    expect(page.Results.slice(0, earlyResults.length)).deep.equal(earlyResults);
    expect(page.Results.map((result) => result.Id).sort()).deep.equal(items);
    const deadLetters = page.Results.filter((result) =>
      result.State === "dead_letter"
    );
    expect(deadLetters).length(1);
    page.Results.filter((result) => result.State === "done").forEach((result) =>
      expect(result.Text).equal(getCompleteText(result.Id))
    );
    const received = fleet.getReceivedRequests("a3")[0];
    expect(received).include({ path: "/b/a3", body: "body of a3" });
    expect(received?.headers.host).equal("a.example");
    expect((await readPage("job-1", 4)).Results).length(2);
  });

  // Guards against items that are done with what faulty servers send besides.
  it("ends items with their own output only", async () => {
    const before = countExtraResponses();
    queueBehaviours(...Array.from({ length: 12 }, () => "extra" as const));
    const items = Array.from({ length: 24 }, (_, index) => `x${index}`);
    await fleet.sendRequest("job-x", "/b/", { body: createJob(items) });
    let page = await readPage("job-x");
    await fleet.waitUntil("all results of the job", async () => {
      page = await readPage("job-x");
      return page.Next === items.length;
    });
    expect(countExtraResponses()).greaterThan(before);
    fleet.servers.forEach((server) => server.discardExtraResponses());
    page.Results.forEach((result) =>
      expect(result).include({
        State: "done",
        Text: getCompleteText(result.Id),
      })
    );
  });

  it("rejects an oversized or invalid job and does not store it", async () => {
    const many = Array.from({ length: 101 }, (_, index) => `m${index}`);
    const response = await fleet.sendRequest("job-2", "/b/", {
      body: createJob(many),
    });
    expect(response.status).equal(429);
    expect((await fleet.sendJobRequest("GET", "/-/lots/job-2")).status).equal(
      404,
    );
    expect((await fleet.sendRequest("job-3", "/b/", { body: "{}" })).status)
      .equal(400);
  });

  it("returns an unfinished item's body, and runs no item of a cancelled job", async () => {
    queueBehaviours(...Array.from({ length: 20 }, () => "silent" as const));
    const items = ["e1", "e2", "e3"];
    await fleet.sendRequest("job-4", "/b/", { body: createJob(items) });
    const body = await fleet.sendJobRequest("GET", "/-/items/job-4?Id=e2", 1);
    expect(body).include({ status: 200, text: "body of e2" });
    await fleet.waitUntil(
      "runs",
      () => fleet.getReceivedRequests("e1").length > 0,
    );
    expect((await fleet.sendJobRequest("DELETE", "/-/lots/job-4")).status)
      .equal(200);
    expect((await fleet.sendJobRequest("DELETE", "/-/lots/job-4", 1)).status)
      .equal(200);
    await fleet.waitUntil(
      "all runs to be cancelled",
      () =>
        items.flatMap((id) => fleet.getReceivedRequests(id)).every((request) =>
          request.left
        ),
    );
    const before = items.flatMap((id) => fleet.getReceivedRequests(id)).length;
    await fleet.clock.delay(700);
    expect(items.flatMap((id) => fleet.getReceivedRequests(id))).length(before);
    expect((await fleet.sendJobRequest("GET", "/-/items/job-4?Id=e2")).status)
      .equal(404);
  });

  it("acknowledges a configuration and reads the newest at each control host", async () => {
    const document = createConfig(20);
    expect((await fleet.putConfig(document, 1)).status).equal(200);
    expect((await fleet.putConfig(document, 2)).status).equal(200);
    expect((await fleet.putConfig(createConfig(19), 0)).status).equal(200);
    for (const address of fleet.controlAddresses) {
      const read = await sendHttpRequest(address, "GET", "/-/config");
      expect(read).include({ status: 200, text: document });
    }
    const bad = createConfig(21, { Services: [] });
    expect((await fleet.putConfig(bad)).status).equal(400);
    expect((await fleet.putConfig(document.slice(0, 90))).status).equal(400);
    const read = await sendHttpRequest(
      fleet.controlAddresses[0] ?? "",
      "GET",
      "/-/config",
    );
    expect(read.text).equal(document);
  });

  it("reads the newest configuration at a control host outside the group", async () => {
    const outside = await fleet.addControl();
    const document = createConfig(30);
    expect((await fleet.putConfig(document)).status).equal(200);
    const read = await sendHttpRequest(outside, "GET", "/-/config");
    expect(read).include({ status: 200, text: document });
  });

  it("tells runs apart by their chains once all store hosts know them", () =>
    fleet.waitUntil(
      "all store hosts to apply commands of version 1",
      () =>
        fleet.stores.every((store) => store.getDump()["commandVersion"] === 3),
    ));

  it("refuses to retire a store host when too few would remain", async () => {
    const retire = (method: string, name: string) =>
      sendHttpRequest(
        fleet.controlAddresses[0] ?? "",
        method,
        `/-/retire/${name}`,
        {
          body: method === "POST" ? `{"DurationS":10}` : undefined,
        },
      );
    expect((await retire("POST", "none")).status).equal(404);
    expect((await retire("POST", "store-0")).status).equal(409);
    expect((await retire("GET", "store-0")).status).equal(404);
  });

  it("sends no further requests to a draining server", async () => {
    const leaving = await fleet.addServer("i-leaving");
    await fleet.registerServer(leaving, { State: "draining" }, 1);
    await fleet.waitUntil(
      "the gateways to see the server as draining",
      () =>
        fleet.gateways.every((gateway) =>
          JSON.stringify(gateway.getDump()).includes(
            `"id":"i-leaving","service":"s","state":2`,
          )
        ),
    );
    const before = leaving.receivedRequests.length;
    await Promise.all(
      Array.from(
        { length: 20 },
        (_, index) =>
          fleet.sendRequest(`after-${index}`, "/p/", {
            gatewayIndex: index % 2,
          }),
      ),
    );
    expect(leaving.receivedRequests).length(before);
  });

  it("completes the requests in progress when a gateway stops", async () => {
    fleet.servers.forEach((server) => server.eventIntervalMs = 60);
    const pending = ["d1", "d2", "d3"].map((id) =>
      fleet.sendRequest(id, "/l/", { gatewayIndex: 1 })
    );
    await fleet.waitUntil(
      "requests",
      () => fleet.getReceivedRequests("d3").length === 1,
    );
    const stopped = fleet.gateways[1]?.stop();
    const ready = await sendHttpRequest(
      fleet.readyAddresses[1] ?? "",
      "GET",
      "/-/readyz",
    );
    expect(ready.status).equal(503);
    const late = await fleet.sendRequest("d4", "/l/", { gatewayIndex: 1 });
    expect(late).include({ status: 200, isComplete: true });
    expect(late.headers.connection).equal("close");
    (await Promise.all(pending)).forEach((response) =>
      expect(response).include({ status: 200, isComplete: true })
    );
    await stopped;
  });
});
