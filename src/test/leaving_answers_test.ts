/**
 * Servers that say in their responses that they leave: no request reaches them
 * any more, from whichever door the response came in.
 */
import { expect } from "chai";
import { PlatformFleet } from "./platform_fleet.ts";
import type { Behaviour, PlatformServer } from "./platform_server.ts";

/** Requests sent after a server has said that it leaves. */
const LATER_REQUESTS = 24;

describe("servers that say in a response that they leave", () => {
  let fleet: PlatformFleet;
  let leaving: PlatformServer;

  beforeEach(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 2, gateways: 2 });
    leaving = await fleet.addServer("i-leaving");
    leaving.leaves = true;
  });

  afterEach(() => fleet.close());

  /** Sends requests until the server has received one; returns its response. */
  const reachLeaving = async (target: string) => {
    for (let index = 0; index < 200; index += 1) {
      const before = leaving.receivedRequests.length;
      const response = await fleet.sendRequest(`reach-${index}`, target);
      if (leaving.receivedRequests.length > before) return response;
    }
    throw new Error("no request reached the server");
  };

  const countLater = async (gatewayIndex: number) => {
    const before = leaving.receivedRequests.length;
    await Promise.all(
      Array.from(
        { length: LATER_REQUESTS },
        (_, index) =>
          fleet.sendRequest(`later-${index}`, "/p/x", { gatewayIndex }),
      ),
    );
    return leaving.receivedRequests.length - before;
  };

  const doors: { target: string; behaviour?: Behaviour }[] = [
    { target: "/p/x" },
    { target: "/n/x" },
    { target: "/s/x" },
    { target: "/l/x" },
    { target: "/p/x", behaviour: "full" },
    { target: "/p/x", behaviour: "other" },
    { target: "/p/x", behaviour: "fail" },
    { target: "/n/x", behaviour: "impossible" },
    { target: "/p/x", behaviour: "mixed" },
    { target: "/s/x", behaviour: "break" },
  ];
  // Guards against a door that does not read the header.
  doors.forEach(({ target, behaviour }) => {
    it(`get nothing more after a response to ${target}, ${behaviour ?? "whole"}`, async () => {
      if (behaviour !== undefined) leaving.behaviours.push(behaviour);
      await reachLeaving(target);
      expect(await countLater(0)).equal(0);
    });
  });

  it("get nothing more from a gateway that is cut off from the control hosts", async () => {
    await reachLeaving("/p/x");
    await Promise.all(fleet.controls.map((control) => control.stop()));
    expect(await countLater(0)).equal(0);
  });

  it("get nothing more from another gateway, which hears of it", async () => {
    await reachLeaving("/p/x");
    await fleet.waitUntil(
      "the other gateway to hear of it",
      () =>
        JSON.stringify(fleet.gateways[1]?.getDump()).includes(
          `"id":"i-leaving","service":"s","state":1,"leaving":true`,
        ),
    );
    expect(await countLater(1)).equal(0);
  });

  it("get nothing more although they register as ready again", async () => {
    await reachLeaving("/p/x");
    await fleet.registerServer(leaving);
    await fleet.registerServer(leaving, {}, 1);
    expect(await countLater(0)).equal(0);
  });

  it("get requests again after another start under their id", async () => {
    await reachLeaving("/p/x");
    leaving.leaves = false;
    await fleet.registerServer(leaving, { born: 2_000 });
    await fleet.waitUntil(
      "requests at the new start",
      async () => await countLater(0) > 0,
    );
  });

  it("get no items of jobs", async () => {
    fleet.servers.filter((server) => server !== leaving)
      .forEach((server) => server.close());
    await fleet.addServer("i-other");
    const items = Array.from({ length: 40 }, (_, index) => `item-${index}`);
    const submitted = await fleet.sendRequest("job-1", "/b/", {
      body: JSON.stringify({
        Items: items.map((id) => ({
          Id: id,
          Path: `/b/${id}`,
          Headers: { "X-Model": "m" },
          Body: "",
          Tokens: 10,
        })),
      }),
    });
    expect(submitted.status).equal(202);
    await fleet.waitUntil("all results", async () => {
      const page = await fleet.sendJobRequest("GET", "/-/lots/job-1?After=0");
      return page.status === 200 &&
        JSON.parse(page.text).Results.length === items.length;
    });
    // Each of the three store hosts fills its slots once, before it knows.
    expect(leaving.receivedRequests.length).at.most(3 * 4);
  });

  // The header is the server's, not the connection's, so callers get it.
  it("pass the header on to the caller", async () => {
    const response = await reachLeaving("/s/x");
    expect(response.headers["server-leaving"]).equal("1");
  });

  it("leave a true refusal to callers when all servers leave", async () => {
    fleet.servers.forEach((server) => server.leaves = true);
    await fleet.waitUntil(
      "all servers to have said so",
      async () => (await fleet.sendRequest("probe", "/n/x")).status === 503,
    );
    const before = fleet.servers.flatMap((server) => server.receivedRequests);
    const response = await fleet.sendRequest("refused", "/n/x");
    expect(response.status).equal(503);
    expect(Number(response.headers["retry-after"])).greaterThan(0);
    expect(fleet.servers.flatMap((server) => server.receivedRequests))
      .length(before.length);
  });
});
