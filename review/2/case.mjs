/**
 * One ping of another writer names an address that is none: its port is above
 * 65535. Sound clients go on sending requests, which sound servers answer.
 */
import { createConfig, delay, hasTrouble, runCase, send } from "../fleet.mjs";
import { Server } from "../server.mjs";

/** Ends of one process that count in the rule. */
const MAX_OWN_ENDS = 3;

await runCase(import.meta.url, async ({ fleet, record }) => {
  await fleet.start({ gateways: 4 });
  await fleet.putConfig(createConfig(1));
  await fleet.waitUntilReady();
  const zones = ["norte-a", "norte-b", "norte-c"];
  const servers = [0, 1, 2, 3, 4, 5].map((n) =>
    new Server(fleet, `i-model-${n}`, { zone: zones[n % 3] })
  );
  servers.push(...zones.map((zone, n) =>
    new Server(fleet, `i-shop-${n}`, { service: "wuno96b", slots: 6, zone })
  ));
  await Promise.all(servers.map((server) => server.start()));
  await delay(1_500);

  /** Sends requests for some seconds; returns how many were served. */
  const load = async (seconds, from) => {
    const sent = [];
    for (let n = from; n < from + seconds * 40; n += 1) {
      const gateway = fleet.gateways[n % fleet.gateways.length];
      const target = Math.floor(n / 4) % 2 === 0 ? "/lohu930/2f" : "/pufi791/2f";
      const id = `r${String(n).padStart(5, "0")}`;
      sent.push(
        send(gateway.address, "POST", target, {
          headers: {
            Host: "ficu95.example", "X-Request-Id": id, "X-Deadline-Ms": "2500",
            "X-Model": "m", "X-Token-Count": "450,5", "Content-Type": "text/plain",
          },
          body: "prompt",
          timeoutMs: 3_000,
        }).then(({ status, isComplete }) => {
          record.write("client", `${id} ${target} at ${gateway.id}: ${status || "no answer"}`);
          return status === 200 && isComplete;
        }),
      );
      await delay(25);
    }
    const served = (await Promise.all(sent)).filter(Boolean).length;
    record.write("case", `${served} of ${sent.length} requests were served`);
    return { served, sent: sent.length };
  };

  const before = await load(4, 0);
  if (before.served < before.sent * 0.9) throw new Error("the fleet doesn't serve");
  if (hasTrouble) {
    const reply = await send(fleet.controls[0].address, "PUT", "/-/instances/i-foreign", {
      headers: { "Content-Type": "application/json" },
      body: JSON.stringify({
        Service: "wuno96b", Address: "127.0.0.1:80800", Zone: "norte-a", Version: "v1", Slots: 6,
        State: "ready", ColdLeftMs: 0, Stage: "mixed", Models: [], Seq: 1, born: Date.now(),
      }),
      timeoutMs: 1_000,
    });
    record.write("other writer", `ping of i-foreign at 127.0.0.1:80800 got ${reply.status}`);
  }
  const after = await load(25, 1_000);
  const ended = fleet.daemons.filter((daemon) => daemon.ownEnds.length > 0);
  const counted = ended.filter((daemon) => daemon.ownEnds.length >= MAX_OWN_ENDS);
  const text = ended.map((daemon) => `${daemon.id} ended by itself ${daemon.ownEnds.length} times`).join(", ");
  record.write("case", text || "no process ended by itself");
  const limit = Math.max(2, fleet.daemons.length / 10);
  if (counted.length >= limit) {
    return `${text}; ${after.sent - after.served} of ${after.sent} requests weren't served`;
  }
});
