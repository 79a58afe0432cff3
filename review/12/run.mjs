/**
 * Batch jobs number their items from 1. A server writes some answers a second time, late,
 * where the answer to the next request on that channel is due. That request is the first
 * item of another job, so it has the same id, and the copy is taken for its answer.
 */
import { fileURLToPath } from "node:url";
import { BATCH_ROUTE, createConfig, createId, putConfig, readJob, runCase, Server, sleep, submitJob, TROUBLE } from "../lab-3.mjs";

const JOBS = 400;
const JOBS_PER_S = 90;
const EVENTS = 4;
/** `garble` with `extra late`: share (.6) of the servers spoil x (.03) of their answers for 5 s. */
const GARBLE_MS = 5_000;
const SERVERS = 2;
const GARBLING_SERVERS = 1;
const GARBLED_PART = 0.03;
const READ_LIMIT_MS = 10_000;

const createText = (word) => Array.from({ length: EVENTS }, (_, index) => `${word} ${index + 1}`).join("\n");

const folder = fileURLToPath(new URL(".", import.meta.url));
await runCase(folder, async ({ fleet, record, servers }) => {
  /** Answers that are still to be written once more, by channel. */
  const copies = new Map();
  let answers = 0;
  let copied = 0;
  let firstMs;
  const handle = ({ req, res, server, body }) => {
    const word = body.toString();
    const item = req.headers["x-request-id"];
    record.add("run", { server: server.id, item, body: word });
    const { socket } = req;
    const copy = copies.get(socket);
    if (copy !== undefined) {
      copies.delete(socket);
      copied += 1;
      record.add("copy-written", { server: server.id, item, copy_of: copy.word, instead_of: word });
      socket.write(copy.bytes);
    }
    const events = createText(word).split("\n").map((data, index) => `id: ${index + 1}\ndata: ${data}\n\n`).join("");
    const headers = { ...server.headers(req), "Content-Type": "text/event-stream", "Content-Length": events.length };
    res.writeHead(200, headers).end(events);
    answers += 1;
    firstMs ??= performance.now();
    const isDisturbed = TROUBLE && performance.now() - firstMs < GARBLE_MS;
    const isGarbled = isDisturbed && servers.indexOf(server) < GARBLING_SERVERS && answers * GARBLED_PART % 1 < GARBLED_PART;
    const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    if (isGarbled) copies.set(socket, { word, bytes: `HTTP/1.1 200 OK\r\n${head}\r\n${events}` });
  };
  for (let index = 0; index < SERVERS; index += 1) {
    const server = new Server(fleet, { service: "models", zone: `zone-${index + 1}`, handle });
    servers.push(server);
    await server.start();
  }
  const isReady = await putConfig(fleet, createConfig(3, [BATCH_ROUTE])) && await fleet.waitUntilReady();
  if (!isReady) return { code: 2, reason: "the fleet did not start" };
  await sleep(4_000);
  const wrong = [];
  const unread = [];
  const run = async () => {
    const job = createId();
    const word = `output-of-${job}`;
    const { status } = await submitJob(fleet, "gateway-1", job, [{ id: "1", body: Buffer.from(word).toString("base64") }]);
    record.add("submitted", { job, status });
    const endMs = performance.now() + READ_LIMIT_MS;
    let results = [];
    while (status === 202 && results.length === 0 && performance.now() < endMs) {
      const reply = await readJob(fleet, "gateway-2", job, 1_000);
      results = reply.status === 200 ? JSON.parse(reply.body).Results : [];
    }
    record.add("read", { job, results });
    if (results.length === 0) unread.push(job);
    else if (results[0].State === "done" && results[0].Text !== createText(word)) wrong.push(job);
  };
  const runs = [];
  for (let number = 1; number <= JOBS; number += 1) {
    runs.push(run());
    await sleep(1_000 / JOBS_PER_S);
  }
  await Promise.all(runs);
  if (unread.length > 0) return { code: 2, reason: `${unread.length} jobs have no result` };
  record.add("wrong", { jobs: wrong });
  return { code: wrong.length > 0 ? 1 : 0, reason: `${wrong.length} of ${JOBS} jobs were given the output of another one; ${copied} of ${answers} answers were written twice` };
});
