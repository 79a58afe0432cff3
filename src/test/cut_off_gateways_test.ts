/**
 * Gateways that reach no server while callers and other hosts reach them: their
 * callers are served as those of other gateways are.
 */
import { expect } from "chai";
import { EVENT_COUNT, getEventData } from "./platform_server.ts";
import { PlatformFleet } from "./platform_fleet.ts";

/** Time from a cut on in which a gateway need not serve, in milliseconds. */
const REACTION_MS = 3_000;

describe("gateways that reach no server", () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = new PlatformFleet();
    await fleet.start({ servers: 4, gateways: 3 });
  });

  afterEach(() => fleet.close());

  let sentCount = 0;

  /** Sends requests to gateways for some time; returns their responses. */
  const sendFor = async (ms: number, gateways: number[], target: string) => {
    const responses: ReturnType<PlatformFleet["sendRequest"]>[] = [];
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      gateways.forEach((gatewayIndex) => {
        sentCount += 1;
        responses.push(
          fleet.sendRequest(`load-${sentCount}`, target, { gatewayIndex }),
        );
      });
      await fleet.clock.delay(40);
    }
    return Promise.all(responses);
  };

  const cutOff = async (...gateways: number[]) => {
    gateways.forEach((index) => fleet.cutOffGateways.add(index));
    await sendFor(REACTION_MS, gateways, "/p/x");
  };

  // Guards against a gateway that keeps trying servers that it can't reach.
  ["/p/x", "/n/x", "/s/x", "/l/x"].forEach((target) => {
    it(`serve requests to ${target} as often as the others`, async () => {
      await sendFor(200, [0, 1, 2], target);
      await cutOff(0, 1);
      const responses = await sendFor(1_000, [0, 1], target);
      const served = responses.filter(({ status, isComplete }) =>
        status === 200 && isComplete
      );
      expect(served.length).at.least(responses.length * 2 / 3);
    });
  });

  // Guards against a request that runs at two hosts, or whose events are mixed up.
  it("run each request once and give it its own whole answer", async () => {
    await cutOff(0);
    const id = "own-answer";
    const response = await fleet.sendRequest(id, "/n/x");
    expect(response.status).equal(200);
    expect(response.text).contain(getEventData(id, EVENT_COUNT));
    expect(fleet.getReceivedRequests(id).length).equal(1);
    expect(fleet.getReceivedRequests(id)[0]?.body).equal(`body of ${id}`);
  });
});
