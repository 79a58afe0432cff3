/**
 * The operator takes a batch route away while many of its items wait. From then on, items
 * of a batch job on another route, which stays, aren't started, though its servers are idle.
 */
import { fileURLToPath } from "node:url";
import { BATCH_ROUTE, callGateway, createConfig, createId, putConfig, readJob, runCase, sendEvents, Server, sleep, TROUBLE } from "../lab-3.mjs";

const OLD_ROUTE = { ...BATCH_ROUTE, Name: "old-route", PathPrefix: "/old/", Service: "old-models" };
const KEPT_ROUTE = { ...BATCH_ROUTE, Name: "kept-route", PathPrefix: "/kept/", Service: "kept-models" };
/** Output of an item at the servers of each service. */
const OUTPUTS = {
  "old-models": { events: 5, gapMs: 20 },
  "kept-models": { events: 20, gapMs: 150 },
};
const SERVICES = Object.keys(OUTPUTS);
const SERVERS_PER_SERVICE = 6;

/** Batch jobs on the route that is taken away, each with as many items as one may have. */
const OLD_JOBS = 5;
const OLD_JOB_ITEMS = 200;
const KEPT_JOB_ITEMS = 12;
/** Tokens of an item, as on the sheet: in all, 350,000 of the 1,400,000 that may wait. */
const ITEM_TOKENS = 350;
/** Time after the traffic in which batch jobs must end (`FinishS`). */
const FINISH_MS = 18_000;
const CALM_MS = 5_000;

function submit(fleet, prefix, id, count) {
  const items = Array.from({ length: count }, () => ({ Id: createId(), Path: `${prefix}${createId()}`,
    Headers: { "X-Model": "m" }, Body: "q83v", Tokens: ITEM_TOKENS }));
  return callGateway(fleet, "gateway-1", { method: "POST", path: `${prefix}submit`,
    headers: { "X-Request-Id": id, "Content-Type": "application/json" }, body: JSON.stringify({ Items: items }) });
}

/** Number of items that are listed; the last one known if the job can't be read now. */
async function countListed(fleet, id, known) {
  const reply = await readJob(fleet, "gateway-2", id).catch((error) => error);
  return reply.status === 200 ? JSON.parse(reply.body).Results.length : known;
}

const folder = fileURLToPath(new URL(".", import.meta.url));
await runCase(folder, async ({ fleet, record, servers }) => {
  let oldRuns = 0;
  let lastRunMs = -Infinity;
  const handle = async (exchange) => {
    const { service, id } = exchange.server;
    if (service === "old-models") oldRuns += 1;
    else record.add("run", { server: id, item: exchange.req.headers["x-request-id"] });
    await sendEvents(exchange, { ...OUTPUTS[service], getData: (number) => `word ${number}` });
    lastRunMs = performance.now();
  };
  for (const service of SERVICES) {
    for (let index = 0; index < SERVERS_PER_SERVICE; index += 1) {
      const server = new Server(fleet, { service, zone: `zone-${index % 3 + 1}`, slots: 8, handle });
      servers.push(server);
      await server.start();
    }
  }
  const isReady = await putConfig(fleet, createConfig(3, [OLD_ROUTE, KEPT_ROUTE], SERVICES)) &&
    await fleet.waitUntilReady();
  if (!isReady) return { code: 2, reason: "the fleet did not start" };
  await sleep(4_000);

  // A batch job on the kept route before: its items take some three seconds each.
  const firstJob = createId();
  const first = await submit(fleet, "/kept/", firstJob, KEPT_JOB_ITEMS);
  if (first.status !== 202) return { code: 2, reason: "the first batch job was not accepted" };
  const firstEndMs = performance.now() + FINISH_MS;
  for (let listed = 0; listed < KEPT_JOB_ITEMS; listed = await countListed(fleet, firstJob, listed)) {
    if (performance.now() > firstEndMs) return { code: 2, reason: "the first batch job was not done" };
    await sleep(250);
  }
  record.add("first-job-done", { job: firstJob });

  const oldJobs = Array.from({ length: OLD_JOBS }, () => createId());
  for (const id of oldJobs) {
    const { status } = await submit(fleet, "/old/", id, OLD_JOB_ITEMS);
    record.add("submitted", { route: "old", job: id, items: OLD_JOB_ITEMS, status });
    if (status !== 202) return { code: 2, reason: "a batch job on the old route was not accepted" };
  }
  if (TROUBLE && !await putConfig(fleet, createConfig(8, [KEPT_ROUTE], SERVICES))) {
    return { code: 2, reason: "the config was not acknowledged" };
  }
  const job = createId();
  const { status } = await submit(fleet, "/kept/", job, KEPT_JOB_ITEMS);
  record.add("submitted", { route: "kept", job, items: KEPT_JOB_ITEMS, status });
  if (status !== 202) return { code: 2, reason: "the batch job was not accepted" };

  const endMs = performance.now() + FINISH_MS;
  let listed = 0;
  while (performance.now() < endMs) {
    listed = await countListed(fleet, job, listed);
    record.add("read", { job, listed, old_runs: oldRuns, running: servers.reduce((sum, { running }) => sum + running, 0) });
    if (listed === KEPT_JOB_ITEMS) return { code: 0, reason: "all items on the kept route are listed" };
    await sleep(500);
  }
  let oldListed = 0;
  for (const id of oldJobs) oldListed += await countListed(fleet, id, 0);
  const idleMs = Math.round(performance.now() - lastRunMs);
  const isCalm = idleMs > CALM_MS && servers.every(({ running }) => running === 0);
  return {
    code: isCalm ? 1 : 2,
    reason: `${listed} of ${KEPT_JOB_ITEMS} items on the kept route and ${oldListed} of ${OLD_JOBS * OLD_JOB_ITEMS} on the old one are listed when FinishS is over; the last run ended ${idleMs} ms before`,
  };
});
