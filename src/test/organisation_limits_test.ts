/**
 * Rate limits of organisations through a complete fleet. Load pattern: one
 * organisation sends several times its limit at two gateways, another one little.
 */
import { expect } from "chai";
import { createConfig, PlatformFleet } from "./platform_fleet.ts";

const RATE_PER_S = 5;
const BURST = 5;

/** Requests that may run in one window, as the specification states it. */
const ALLOWED_IN_WINDOW = (RATE_PER_S * 5 + BURST) * 1.1 + 20;

describe("rate limits of organisations in a fleet", () => {
  let fleet: PlatformFleet;

  const send = (
    id: string,
    key: string,
    gatewayIndex: number,
    target = "/p/",
  ) =>
    fleet.sendRequest(id, target, {
      gatewayIndex,
      headers: { Authorization: `Token ${key}` },
    });

  before(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 2, gateways: 2 });
    const config = createConfig(2, {
      Tenants: [
        {
          Name: "busy",
          ApiKeys: ["key-1"],
          RatePerS: RATE_PER_S,
          Burst: BURST,
        },
        { Name: "small", ApiKeys: ["key-2"], RatePerS: 5, Burst: 5 },
        { Name: "free", ApiKeys: ["key-3"] },
      ],
    });
    expect((await fleet.putConfig(config)).status).equal(200);
    await fleet.waitUntil(
      "the gateways to know the organisations",
      async () => {
        const responses = await Promise.all(
          [0, 1].map((index) => send(`known-${index}`, "key-3", index)),
        );
        const unknown = await Promise.all(
          [0, 1].map((index) => send(`unknown-${index}`, "none", index)),
        );
        return responses.every(({ status }) => status === 200) &&
          unknown.every(({ status }) => status === 401);
      },
    );
  });

  after(() => fleet.close());

  // Guards against a limit that holds at each gateway alone, and against one that
  // also refuses other organisations.
  it("refuse what exceeds them at all gateways together, with 429", async () => {
    const ids = Array.from({ length: 120 }, (_, index) => `busy-${index}`);
    const [responses, others] = await Promise.all([
      Promise.all(ids.map((id, index) => send(id, "key-1", index % 2))),
      Promise.all(
        [0, 1, 0, 1].map((gateway, index) =>
          send(`small-${index}`, "key-2", gateway)
        ),
      ),
    ]);
    const refused = responses.filter(({ status }) => status === 429);
    const served = responses.filter(({ status }) => status === 200);
    expect(served.length + refused.length).equal(ids.length);
    expect(served.length).within(1, ALLOWED_IN_WINDOW);
    refused.forEach(({ headers, text }) => {
      expect(Number(headers["retry-after"])).above(0);
      expect(text).not.include("key-1");
    });
    const waits = new Set(refused.map(({ headers }) => headers["retry-after"]));
    expect(waits.size).above(refused.length / 2);
    const ran = ids.filter((id) => fleet.getReceivedRequests(id).length > 0);
    expect(ran.length).equal(served.length);
    expect(others.map(({ status }) => status)).deep.equal([200, 200, 200, 200]);
  });

  it("admit any number of requests of an organisation without one", async () => {
    const responses = await Promise.all(
      Array.from(
        { length: 60 },
        (_, index) => send(`free-${index}`, "key-3", index % 2),
      ),
    );
    expect(responses.some(({ status }) => status === 429)).equal(false);
  });
});
