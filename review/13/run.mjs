/**
 * Servers stream the output of items. One of them spoils a few of its answers: after the
 * head of a stream come bytes of another response, and the channel is reset before the
 * announced length. The item is run again from its beginning, and the spoiled bytes stay
 * in front of its text.
 */
import { fileURLToPath } from "node:url";
import { BATCH_ROUTE, createConfig, createId, putConfig, readJob, runCase, Server, sleep, submitJob, TROUBLE } from "../lab-3.mjs";

const JOBS = 400;
const JOBS_PER_S = 90;
const EVENTS = 4;
/** `garble`: share (.35) of the servers spoil x (.02) of their answers for 5.5 s. */
const GARBLE_MS = 5_500;
const SERVERS = 3;
const GARBLED_PART = 0.02;
const READ_LIMIT_MS = 18_000;
/** Share of the jobs that must have a result, so that a run counts. */
const READ_PART = 0.75;
/** Bytes that are no part of the announced stream. */
const SPOILED_BYTES = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n\r\nevent: error\ndata: failed\n\n";

const createText = (word) => Array.from({ length: EVENTS }, (_, index) => `${word} ${index + 1}`).join("\n");

const folder = fileURLToPath(new URL(".", import.meta.url));
await runCase(folder, async ({ fleet, record, servers }) => {
  let answers = 0;
  let spoiled = 0;
  let firstMs;
  /** The server that ran the first item: others may get few of them. */
  let faulty;
  const handle = ({ req, res, server, body }) => {
    const word = body.toString();
    const item = req.headers["x-request-id"];
    const after = Number(req.headers["last-event-id"] ?? 0);
    firstMs ??= performance.now();
    faulty ??= server;
    const isDisturbed = TROUBLE && performance.now() - firstMs < GARBLE_MS;
    const isGarbling = isDisturbed && server === faulty;
    if (isGarbling) answers += 1;
    const isSpoiled = isGarbling && answers * GARBLED_PART % 1 < GARBLED_PART;
    record.add("run", { server: server.id, item, after, spoiled: isSpoiled });
    const events = createText(word).split("\n").slice(after).map((data, index) => `id: ${after + index + 1}\ndata: ${data}\n\n`).join("");
    res.writeHead(200, { ...server.headers(req), "Content-Type": "text/event-stream", "Content-Length": events.length });
    if (!isSpoiled) {
      res.end(events);
      return;
    }
    spoiled += 1;
    const { socket } = res;
    // Reset a moment later, so that the bytes have left.
    res.write(SPOILED_BYTES, () => setTimeout(() => socket.resetAndDestroy(), 50));
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
  let read = 0;
  const run = async () => {
    const job = createId();
    const word = `output-of-${job}`;
    const item = `item-${job}`;
    const { status } = await submitJob(fleet, "gateway-1", job, [{ id: item, body: Buffer.from(word).toString("base64") }]);
    record.add("submitted", { job, status });
    const endMs = performance.now() + READ_LIMIT_MS;
    let results = [];
    while (status === 202 && results.length === 0 && performance.now() < endMs) {
      const reply = await readJob(fleet, "gateway-2", job, 1_000);
      results = reply.status === 200 ? JSON.parse(reply.body).Results : [];
    }
    record.add("read", { job, results });
    if (results.length === 0) return;
    read += 1;
    if (results[0].State === "done" && results[0].Text !== createText(word)) wrong.push(job);
  };
  const runs = [];
  for (let number = 1; number <= JOBS; number += 1) {
    runs.push(run());
    await sleep(1_000 / JOBS_PER_S);
  }
  await Promise.all(runs);
  record.add("wrong", { jobs: wrong });
  if (wrong.length === 0 && read < JOBS * READ_PART) return { code: 2, reason: `only ${read} jobs have a result` };
  return { code: wrong.length > 0 ? 1 : 0, reason: `${wrong.length} of ${read} jobs are done with a text that isn't their output (${JOBS} were sent); ${spoiled} of ${answers} answers of the faulty server were spoiled` };
});
