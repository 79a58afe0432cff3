/**
 * One store machine loses its disk several times in a row, each time soon after it is
 * back. No other machine is touched. Afterwards a job that was accepted and read before
 * must still be readable.
 */
import path from "node:path";
import { fileURLToPath } from "node:url";
import { call, createConfig, createRoute, Lab, openRecord, sleep, waitUntil } from "../lab-2.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = openRecord(path.dirname(fileURLToPath(import.meta.url)));

/** Time for which the machine is away, in milliseconds. */
const DOWN_MS = 300;
/**
 * Time from its registration to the next loss, in milliseconds; the last one is final.
 * It takes part in the group again about half a second after its registration.
 */
const UP_MS = [200, 300, 400, 500, 600, 700, 300, 400, 500, 600, 800, 1_000];
/** RecoverS and CatchUpS of the site, in milliseconds. */
const RECOVER_MS = 12_000 + 4_700;
const READ_LIMIT_MS = 20_000;

const lab = new Lab({ controls: 3, stores: 3, gateways: 2 });

/** A model server: three events for each item. */
function answerWithEvents(run, _req, res, headers) {
  res.writeHead(200, { ...headers, "Content-Type": "text/event-stream", "X-Weight-Versions": "1" });
  [1, 2, 3].forEach((id) => res.write(`id: ${id}\ndata: ${run.id}-${id}\n\n`));
  res.end();
  return true;
}

async function callFront(gateway, method, target, body, headers = {}) {
  const answer = await call({
    host: gateway.ip, port: lab.ports.front, method, path: target, body,
    headers: { Host: "a.example", ...headers }, timeoutMs: 4_000,
  });
  record(`${method} ${target} at ${gateway.name}: ${answer.status ?? answer.error} ${String(answer.body ?? "").slice(0, 200)}`);
  return answer;
}

async function submit(id) {
  const Items = [0, 1, 2].map((index) => ({
    Id: `${id}-item${index}`, Path: `/b/${index}`, Body: "aGVsbG8=", Tokens: 12,
    Headers: { "X-Model": "m", "X-Token-Count": "6,6", "X-Prompt-Prefix": "aa:6" },
  }));
  return await waitUntil(async () => {
    const gateway = lab.gateways[Math.floor(Math.random() * lab.gateways.length)];
    const { status } = await callFront(gateway, "POST", `/b/${id}`, { Items }, { "X-Request-Id": id });
    return status === 202;
  }, 15_000, 300);
}

/** Reads a job at all gateways in turn until it comes with all results. */
async function read(id, limitMs) {
  let turn = 0;
  return await waitUntil(async () => {
    const gateway = lab.gateways[turn++ % lab.gateways.length];
    const { status, body } = await callFront(gateway, "GET", `/-/lots/${id}?After=0`, undefined, { "X-Wait-Ms": "1000" });
    if (status !== 200) return undefined;
    const page = JSON.parse(body);
    return page.Results.length === page.Total ? JSON.stringify(page) : undefined;
  }, limitMs, 400);
}

async function run() {
  await lab.open();
  const routes = [createRoute("b", "/b/", "batch", "llm", { RunTargetMs: 18_000, RetentionS: 60, MaxCount: 1_400_000, Attempts: 3 })];
  const { status } = await lab.callControl("PUT", "/-/config", createConfig(2, routes, ["llm"]));
  await lab.addServer({ id: "i-1", service: "llm", answer: answerWithEvents }).open();
  const isReady = status === 200 && await lab.waitUntilReady();
  if (!isReady || !(await submit("job-1"))) return 2;
  const before = await read("job-1", 20_000);
  if (before === undefined) return 2;
  record(`the job was accepted and read: ${before}`);
  // All members of the group have joined and are caught up.
  await sleep(5_000);
  const [machine] = lab.stores;
  for (const upMs of hasTrouble ? [...UP_MS, 0] : []) {
    await machine.kill();
    machine.wipe();
    record(`${machine.name} lost its disk`);
    await sleep(DOWN_MS);
    const logged = machine.log.length;
    machine.start({ bootstrap: false });
    record(`${machine.name} starts with an empty disk, Bootstrap is false`);
    await waitUntil(() => machine.log.indexOf("event=host_registered", logged) >= 0, 3_000, 10);
    await sleep(upMs);
  }
  await sleep(RECOVER_MS);
  lab.stores.forEach((store) =>
    record(`${store.name}: starts ${store.starts}, running ${store.exit === undefined}`));
  const after = await read("job-1", READ_LIMIT_MS);
  if (after !== before) {
    record(`the job reads as ${after ?? "nothing"}; the rule is broken`);
    lab.stores.forEach((store) => {
      const lines = store.log.split("\n").filter((line) => /event=(membership|role_changed|replica_id|host_reg)/.test(line)).slice(-12);
      record(`log of ${store.name}:\n    ${lines.join("\n    ")}`);
    });
    return 1;
  }
  record("the job reads as before; the rule held");
  return 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  record(`the case couldn't run: ${error.stack}`);
} finally {
  await lab.close();
}
process.exit(code);
