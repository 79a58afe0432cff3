/**
 * A gateway whose settings ask for the flow between data centres, with servers in two
 * of them, and the page that says where it would send a request. Guards against a flow
 * that is decided but not in force, and against a page that changes what it shows.
 */
import { expect } from "chai";
import { formatPlacement, queryGateway } from "../cli/placement_command.ts";
import { type Placement, PLACEMENT_PATH } from "../fleet/placement.ts";
import { type HttpListener } from "../sys/http.ts";
import { Metrics } from "../sys/metrics.ts";
import { findFreePorts } from "../sys/ports.ts";
import { PlatformFleet } from "./platform_fleet.ts";

describe("a gateway with a flow between data centres", () => {
  const fleet = new PlatformFleet({
    settings: { remote_reserve: 20, remote_latency_ms: 1.4 },
  });
  const metrics = new Metrics({ prefix: "test" });
  let listener: HttpListener | undefined;
  let address = "";

  before(async () => {
    await fleet.start({ servers: 2, gateways: 1 });
    const [local, remote] = fleet.servers;
    await fleet.registerServer(local!, { Slots: 1 });
    await fleet.registerServer(remote!, { Zone: "dc-2", Slots: 10 });
    await fleet.waitUntil(
      "the gateway to know the changed servers",
      () => JSON.stringify(getPlacement()).includes('"dc-2"'),
    );
    const [port] = await findFreePorts(1);
    address = `127.0.0.1:${port}`;
    listener = await metrics.listen(address, {
      pages: fleet.gateways[0]?.pages,
    });
  });

  after(async () => {
    listener?.close();
    await fleet.close();
  });

  const getPlacement = (path = "/p/x") =>
    fleet.gateways[0]?.pages.get(PLACEMENT_PATH)?.(
      new URLSearchParams({ host: "a.example", path }),
    ) as Placement;

  const getSums = () =>
    fleet.gateways[0]?.getDump()["metrics"] as Record<string, number>;

  it("sends requests to the other data centre once its own is full", async () => {
    const local = fleet.servers[0]!;
    expect(getPlacement().services[0]).include({
      outcome: "slot",
      server: local.id,
    });
    local.behaviours.push("silent");
    const held = fleet.sendRequest("held", "/l/x");
    await fleet.waitUntil(
      "the local server to be full",
      () => fleet.getReceivedRequests("held").length > 0,
    );
    const placement = getPlacement();
    expect(placement.services[0]).include({
      outcome: "slot",
      server: fleet.servers[1]!.id,
      flow: "wait",
    });
    const { status } = await fleet.sendRequest("leaves", "/p/x");
    expect(status).equal(200);
    expect(fleet.servers[1]!.receivedRequests.map(({ id }) => id))
      .include("leaves");
    const line = fleet.log.lines.find((one) =>
      one.includes("event=request_leaves_data_centre") &&
      one.includes("request=leaves")
    );
    // The expected wait equals the time for which a request may be held, so that the
    // time since its arrival decides between the two reasons.
    expect(line).match(
      /kind=online .*to=dc-2 reason=(wait|late) wait_ms=200 cost_ms=3 /,
    );
    const sums = getSums();
    expect(
      (sums["remote_sends.wait"] ?? 0) + (sums["remote_sends.late"] ?? 0),
    ).at.least(1);
    expect(sums["remote_bytes.requests"]).above(100);
    expect(sums["remote_bytes.responses"]).above(100);
    await held;
  });

  it("answers the page and the command without an effect", async () => {
    const before = JSON.stringify(
      fleet.gateways[0]?.getDump()["backendServers"],
    );
    const sent = fleet.servers.map((server) => server.receivedRequests.length);
    const query = new URLSearchParams({
      host: "a.example:80",
      path: "/b/x?y",
      bytes: "500",
    });
    const placement = await queryGateway(address, query);
    expect(placement).include({ route: "jobs", kind: "BATCH" });
    // The local server may still be backed off, as it was silent.
    expect(placement.services[0]?.candidates.map(({ id }) => id))
      .include(fleet.servers[1]!.id);
    expect(formatPlacement(placement)).contain("of 10 slots, 0 items");
    expect(JSON.stringify(fleet.gateways[0]?.getDump()["backendServers"]))
      .equal(before);
    expect(fleet.servers.map((server) => server.receivedRequests.length))
      .deep.equal(sent);
    expect(getSums()["placement_previews.slot"]).at.least(1);
  });

  it("says that no route matches, and that no gateway is there", async () => {
    const query = new URLSearchParams({ host: "b.example", path: "/p/x" });
    const placement = await queryGateway(address, query);
    expect(formatPlacement(placement)).equal("no route matches");
    const other = await queryGateway("127.0.0.1:1", query)
      .catch((error: Error) => error.message);
    expect(other).contain("no metrics address of a running gateway");
  });
});
