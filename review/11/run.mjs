/**
 * A caller submits batch jobs whose bodies hold bytes that look like a record of the
 * store's log. All store hosts are killed at the same moment, while such a job that was
 * just sent is written, and started again. A host whose last write was cut takes bytes
 * of the body for a record of the log, and ends at each start.
 */
import { readdirSync, statSync } from "node:fs";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { crc32 } from "node:zlib";
import { BATCH_ROUTE, callGateway, createConfig, createId, putConfig, readJob, RESTART_MS, runCase, sleep, submitJob, TROUBLE } from "../lab-3.mjs";

/** Time after which all that was accepted must be served again (`RecoverS`). */
const RECOVER_MS = 12_000;
/** Time for which a host counts as lost after it is back (`CatchUpS`). */
const CATCH_UP_MS = 4_700;
/** A change may be struck from 5 to 400 ms after it was sent (`timed`). */
const MIN_TIMED_MS = 5;
const MAX_TIMED_MS = 400;
const MAX_KILLS = 8;
const LAST_JOB_MS = 85_000;
/** Largest items of the sheet, as many as a body of 4 MB holds. */
const BODY_BYTES = 300_000;
const ITEMS = 9;

/** Bytes of the form: length, checksum of the payload, checksum of both, payload. */
function createBody() {
  const unit = Buffer.alloc(13, "x");
  unit.writeUInt32LE(1, 0);
  unit.writeUInt32LE(crc32(unit.subarray(12)), 4);
  unit.writeUInt32LE(crc32(unit.subarray(0, 8)), 8);
  // PLAIN=1 shows that other bytes of the same size do no harm.
  return Buffer.alloc(BODY_BYTES, process.env.PLAIN === "1" ? "x" : unit).toString("base64");
}

/** Newest file of a store's log, and its size. */
function findLog(fleet, name) {
  const folder = path.join(fleet.hosts.get(name).folder, "data/jobs");
  const file = path.join(folder, readdirSync(folder).filter((each) => each.startsWith("segment-")).sort().at(-1));
  return { file, bytes: statSync(file).size };
}

const folder = fileURLToPath(new URL(".", import.meta.url));
await runCase(folder, async ({ fleet, record }) => {
  const isReady = await putConfig(fleet, createConfig(3, [BATCH_ROUTE])) && await fleet.waitUntilReady();
  if (!isReady) return { code: 2, reason: "the fleet did not start" };
  await sleep(4_000);
  const gateways = fleet.names("gateway");
  const stores = fleet.names("store");
  const body = createBody();
  const kept = createId();
  const keptReply = await submitJob(fleet, gateways[0], kept, [{ id: createId(), body: "q83v" }]);
  record.add("kept-job", { job: kept, status: keptReply.status });
  if (keptReply.status !== 202) return { code: 2, reason: "the first job was not accepted" };

  /** Kills all stores while one is in the middle of a write; false if there was none in time. */
  const strike = async (sentMs, isAnswered) => {
    const logs = stores.map((name) => ({ name, ...findLog(fleet, name) }));
    const isBegun = ({ file, bytes }) => {
      const added = (statSync(file, { throwIfNoEntry: false })?.size ?? 0) - bytes;
      return added > 0 && added < ITEMS * BODY_BYTES;
    };
    let writer;
    while (writer === undefined) {
      const afterMs = performance.now() - sentMs;
      if (isAnswered() || afterMs > MAX_TIMED_MS) return false;
      if (afterMs >= MIN_TIMED_MS) writer = logs.find(isBegun);
      await new Promise(setImmediate);
    }
    const ended = [writer.name, ...stores.filter((name) => name !== writer.name)].map((name) => fleet.end(name));
    record.add("all-stores-killed", { after_sending_ms: Math.round(performance.now() - sentMs), writer: writer.name });
    await Promise.all(ended);
    return true;
  };

  let kills = 0;
  for (let number = 1; kills < MAX_KILLS && performance.now() - record.startMs < LAST_JOB_MS; number += 1) {
    const gateway = gateways[number % gateways.length];
    const job = createId();
    const items = Array.from({ length: ITEMS }, () => ({ id: createId(), body }));
    let reply;
    const sentMs = performance.now();
    const answered = submitJob(fleet, gateway, job, items).catch((error) => error).then((value) => { reply = value; });
    const isStruck = TROUBLE && await strike(sentMs, () => reply !== undefined);
    if (isStruck) {
      kills += 1;
      await sleep(RESTART_MS);
      stores.forEach((name) => fleet.startHost(name));
    }
    const backMs = performance.now();
    await answered;
    record.add("job", { job, status: reply.status ?? reply.message });
    let read;
    do {
      read = await readJob(fleet, gateway, kept).catch((error) => error);
      if (read.status !== 200) await sleep(200);
    } while (read.status !== 200 && performance.now() - backMs < RECOVER_MS + 2_000);
    if (read.status !== 200) {
      const afterMs = Math.round(performance.now() - backMs);
      stores.forEach((name) => record.add("last-line", { host: name, text: fleet.readLog(name).trim().split("\n").at(-1).slice(-300) }));
      return { code: 1, reason: `the accepted job can't be read ${afterMs} ms after all hosts were started (${read.status ?? read.message}); ends by themselves: ${fleet.getExits().length}; kills: ${kills}` };
    }
    // No further loss before the time that a host takes to catch up.
    if (isStruck) await sleep(CATCH_UP_MS);
    // Its caller ends the job, so that its bodies are dropped.
    await callGateway(fleet, gateway, { method: "DELETE", path: `/-/lots/${job}` }).catch(() => {});
    if (!TROUBLE && number >= 10) break;
  }
  const ends = fleet.getExits().length;
  if (TROUBLE && kills === 0) return { code: 2, reason: "no write was struck" };
  return { code: ends > 0 && kills === 0 ? 2 : 0, reason: `the accepted job was read each time; kills: ${kills}; ends by themselves: ${ends}` };
}, { gateways: 3 });
