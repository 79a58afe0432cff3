/**
 * All store machines are killed at the same moment, while the replicas of two of
 * them rewrite their log after a snapshot. They come back and serve. Some seconds
 * later the platform restarts the store machines in turn, as planned work.
 */
import { existsSync, readdirSync, statSync } from "node:fs";
import path from "node:path";
import { createConfig, delay, hasTrouble, runCase, send } from "../fleet.mjs";
import { Server } from "../server.mjs";

/** Items of a job, and bytes of an item's body: a job has 225 KB, the sheet allows 310 KB. */
const ITEMS = 15;
const BODY_BYTES = 15_000;

/** Jobs after which the load ends; a replica rewrites its log about every 32 MB. */
const MAX_JOBS = 310;

/** Bounds.RecoverS and Bounds.CatchUpS of the sheet, in milliseconds. */
const RECOVER_MS = 12_000;
const CATCH_UP_MS = 4_700;

const HOST = { Host: "ficu95.example" };

await runCase(import.meta.url, async ({ fleet, record }) => {
  await fleet.start({ gateways: 2 });
  await fleet.putConfig(createConfig(1));
  await fleet.waitUntilReady();
  const servers = ["norte-a", "norte-b", "norte-c"].map((zone, n) =>
    new Server(fleet, `i-model-${n}`, { events: 3, eventMs: 5, zone })
  );
  await Promise.all(servers.map((server) => server.start()));
  await delay(1_500);

  const accepted = [];
  const submit = async (n) => {
    const id = `job${String(n).padStart(4, "0")}`;
    const items = Array.from({ length: ITEMS }, (_, index) => ({
      Id: `${id}i${index}`,
      Path: `/pule252/${index}`,
      Headers: { "X-Model": "m", "X-Token-Count": "350,3", "X-Prompt-Prefix": `c${index}:350` },
      Body: Buffer.alloc(BODY_BYTES, 97 + index).toString("base64"),
      Tokens: 353,
    }));
    const { status } = await send(fleet.gateways[n % 2].address, "POST", `/pule252/${id}`, {
      headers: { ...HOST, "X-Request-Id": id, "X-Deadline-Ms": "4000", "Content-Type": "application/json" },
      body: JSON.stringify({ Items: items }),
      timeoutMs: 4_000,
    });
    record.write("client", `${id}: ${status || "no answer"}`);
    if (status === 202) accepted.push(id);
  };

  /** Whether a replica has written a part of the file that replaces its log. */
  const isRewriting = (store) => {
    const folder = path.join(store.settings.data_folder, "jobs");
    if (!existsSync(folder)) return false;
    const name = readdirSync(folder).find((file) => /^segment-.*\.new$/.test(file));
    const stats = name && statSync(path.join(folder, name), { throwIfNoEntry: false });
    return stats ? stats.size > 0 : false;
  };
  let isKilled = false;
  const watch = hasTrouble
    ? setInterval(() => {
      const rewriting = fleet.stores.filter(isRewriting);
      if (isKilled || rewriting.length < 2) return;
      isKilled = true;
      record.write("case", `rewriting: ${rewriting.map(({ id }) => id).join(", ")}`);
      // The platform starts them again after a short delay.
      fleet.stores.forEach((store) => store.signal("SIGKILL"));
    }, 1)
    : undefined;
  let sent = 0;
  while (sent < MAX_JOBS && !isKilled) {
    await submit(sent);
    sent += 1;
    await delay(20);
  }
  clearInterval(watch);
  if (hasTrouble && !isKilled) throw new Error("no two replicas rewrote their logs at the same time");

  /** Reads a job from its start; returns the number of its results, or -1. */
  const read = async (id, gateway) => {
    let next = 0;
    for (;;) {
      const { status, text } = await send(gateway.address, "GET", `/-/lots/${id}?After=${next}`, {
        headers: { ...HOST, "X-Wait-Ms": "1000" }, timeoutMs: 4_000,
      });
      if (status !== 200) {
        record.write("client", `read of ${id} at ${gateway.id}: ${status || "no answer"}`);
        return -1;
      }
      const page = JSON.parse(text);
      if (page.Results.length === 0 || page.Next >= page.Total) return page.Next;
      next = page.Next;
    }
  };
  const readUntil = async (id, endMs) => {
    for (let attempt = 0;; attempt += 1) {
      const count = await read(id, fleet.gateways[attempt % 2]);
      if (count >= 0 || performance.now() > endMs) return count;
      await delay(500);
    }
  };
  const first = await readUntil(accepted[0], performance.now() + 15_000);
  record.write("case", `${accepted.length} jobs were accepted; after the kill the first one has ${first} results`);
  if (first < 0) throw new Error("the stores didn't come back after the kill");
  await delay(5_000);

  // As the platform does: SIGTERM, and a start after the process has ended. The next
  // one follows when the one before has been back for the time that it may need.
  for (const store of fleet.stores) {
    const before = store.ownEnds.length;
    store.signal("SIGTERM");
    await fleet.waitUntil(`${store.id} to end`, () => store.ownEnds.length > before, 10_000);
    await fleet.waitUntil(`${store.id} to start`, () => store.pid !== undefined, 5_000);
    await delay(CATCH_UP_MS);
  }
  await delay(RECOVER_MS);
  const ids = [accepted[0], accepted[Math.floor(accepted.length / 2)], accepted.at(-1)];
  const counts = await Promise.all(ids.map((id) => readUntil(id, performance.now() + 15_000)));
  ids.forEach((id, index) => record.write("case", `${id} has ${counts[index]} results at the end`));
  const ends = fleet.stores.map((store) => `${store.id} ${store.ownEnds.length}`).join(", ");
  record.write("case", `ends, those that were asked for too: ${ends}`);
  const unread = counts.filter((count) => count < 0).length;
  if (unread > 0) {
    return `${unread} of ${ids.length} accepted jobs can't be read at the end (ends of the store processes: ${ends})`;
  }
});
