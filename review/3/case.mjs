/**
 * Another writer pings the control hosts in turn, as servers do, with a number of
 * slots that fits no server. After that, the operator adds a route.
 */
import { createConfig, delay, hasTrouble, runCase, send } from "../fleet.mjs";
import { Server } from "../server.mjs";

/** Bounds.ConfigMs of the sheet, in milliseconds. */
const CONFIG_MS = 2_000;

await runCase(import.meta.url, async ({ fleet, record }) => {
  await fleet.start({ gateways: 3 });
  await fleet.putConfig(createConfig(1));
  await fleet.waitUntilReady();
  const servers = ["norte-a", "norte-b", "norte-c"].map((zone, n) =>
    new Server(fleet, `i-shop-${n}`, { service: "wuno96b", slots: 6, zone })
  );
  await Promise.all(servers.map((server) => server.start()));
  await delay(1_500);

  let count = 0;
  const request = async (gateway, target) => {
    count += 1;
    const id = `r${String(count).padStart(4, "0")}`;
    const { status } = await send(gateway.address, "POST", target, {
      headers: { Host: "ficu95.example", "X-Request-Id": id, "X-Deadline-Ms": "2500", "Content-Type": "text/plain" },
      body: "prompt",
      timeoutMs: 3_000,
    });
    record.write("client", `${id} ${target} at ${gateway.id}: ${status || "no answer"}`);
    return status;
  };

  for (const gateway of fleet.gateways) {
    if (await request(gateway, "/lohu930/1") !== 200) throw new Error("the fleet doesn't serve");
  }
  if (hasTrouble) {
    for (const [index, control] of fleet.controls.entries()) {
      const reply = await send(control.address, "PUT", "/-/instances/i-foreign", {
        headers: { "Content-Type": "application/json" },
        body: JSON.stringify({
          Service: "elsewhere", Address: "127.0.0.1:9", Zone: "norte-a", Version: "v1", Slots: 2 ** 32,
          State: "ready", ColdLeftMs: 0, Stage: "mixed", Models: [], Seq: index + 1, born: 1_790_000_000_000,
        }),
        timeoutMs: 1_000,
      });
      record.write("other writer", `ping of i-foreign with Slots ${2 ** 32} at ${control.id} got ${reply.status}`);
      await delay(1_200);
    }
  }
  await delay(4_000);
  const config = createConfig(2);
  const [, plain] = config.Routes;
  config.Routes.push({ ...plain, Name: "r-added", PathPrefix: "/puxa403/" });
  await fleet.putConfig(config);
  await delay(CONFIG_MS + 200);
  const statuses = [];
  for (let round = 0; round < 20; round += 1) {
    for (const gateway of fleet.gateways) statuses.push(await request(gateway, "/puxa403/1"));
    await delay(500);
  }
  const refused = statuses.filter((status) => status === 404).length;
  record.write("case", `${refused} of ${statuses.length} requests on the added route got 404`);
  if (refused > 0) {
    return `${refused} of ${statuses.length} requests, sent 2.2 to 12 s after the acknowledgement of version 2, ` +
      "were refused with 404 though its route is there";
  }
});
