/**
 * A server answers without a length, so that its answer ends with its connection, and
 * resets the connection when half of the answer is out. Such an answer isn't complete:
 * no caller may get it as a success, and no stream may end as if it were whole.
 */
import net from "node:net";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { call, createConfig, createRoute, Lab, openRecord, sleep, waitUntil } from "../lab-2.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = openRecord(path.dirname(fileURLToPath(import.meta.url)));

const REQUESTS = 40;
const EVENTS = 6;
const FIRST_PART_EVENTS = 3;

const lab = new Lab({ controls: 3, stores: 3, gateways: 2 });

const createBody = (id) => `first half of ${id};second half of ${id}`;
const createEvents = (id, count) =>
  Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: ${id}-${index + 1}\n\n`).join("");

/** A server on raw connections. It registers and beats like any other. */
class UnframedServer {
  constructor(id, service) {
    Object.assign(this, { id, service, born: Date.now(), seq: 0, runs: [] });
    this.server = net.createServer((socket) => this.#serve(socket));
    lab.servers.push(this);
  }

  async open() {
    await new Promise((resolve) => this.server.listen(0, lab.serverIp, resolve));
    this.address = `${lab.serverIp}:${this.server.address().port}`;
    await this.#beat();
    this.timer = setInterval(() => this.#beat(), lab.heartbeatMs);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
  }

  #beat() {
    this.seq += 1;
    return lab.callControl("PUT", `/-/instances/${this.id}`, {
      Service: this.service, Address: this.address, Zone: "z-a", Version: "v1", Slots: 8,
      State: "ready", ColdLeftMs: 0, Seq: this.seq, born: this.born,
    }, { limitMs: 4_000 });
  }

  #serve(socket) {
    let bytes = Buffer.alloc(0);
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      const end = bytes.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = bytes.subarray(0, end).toString("latin1");
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (bytes.length < end + 4 + length) return;
      bytes = bytes.subarray(end + 4 + length);
      this.#answer(socket, head);
    });
  }

  #answer(socket, head) {
    const id = /x-request-id: (\S+)/i.exec(head)?.[1] ?? "";
    const isStream = head.startsWith("POST /s/");
    const whole = isStream ? createEvents(id, EVENTS) : createBody(id);
    const firstPart = isStream ? createEvents(id, FIRST_PART_EVENTS) : whole.split(";")[0];
    const isCut = hasTrouble && id.startsWith("request");
    this.runs.push(id);
    record(`server ${this.id} runs ${id} and sends ${isCut ? "half of the answer, then resets" : "the whole answer, then closes"}`);
    socket.write([
      "HTTP/1.1 200 OK",
      `X-Request-Id: ${id}`,
      `X-Server-Stamp: ${this.id}.${this.runs.length}`,
      "X-Server-Load: 1,0,8",
      ...isStream ? ["Content-Type: text/event-stream"] : [],
      "",
      isCut ? firstPart : whole,
    ].join("\r\n"));
    if (isCut) resetConnection(socket);
    else socket.end();
  }
}

/** Resets at once. The public method would first close in an orderly way. */
function resetConnection(socket) {
  if (typeof socket._handle?.reset !== "function") throw new Error("this runtime can't reset a connection");
  socket._handle.reset(() => {});
  socket.destroy();
}

async function run() {
  await lab.open();
  const routes = [
    createRoute("i", "/i/", "idempotent", "app", { Attempts: 1 }),
    createRoute("n", "/n/", "non_idempotent", "app", { Attempts: 1 }),
    createRoute("s", "/s/", "streaming", "app", { Attempts: 1, Sticky: true, Resumable: true, GapTargetMs: 300 }),
    createRoute("t", "/t/", "idempotent", "app", { Attempts: 3 }),
  ];
  const { status } = await lab.callControl("PUT", "/-/config", createConfig(2, routes, ["app"]));
  const servers = ["i-1", "i-2"].map((id) => new UnframedServer(id, "app"));
  await Promise.all(servers.map((server) => server.open()));
  if (status !== 200 || !(await lab.waitUntilReady())) return 2;
  const send = (gateway, target, id) =>
    call({
      host: gateway.ip, port: lab.ports.front, method: "POST", path: target, body: "hello",
      headers: { Host: "a.example", "X-Request-Id": id, "X-Deadline-Ms": "4000" }, timeoutMs: 5_000,
    });
  const isServed = await waitUntil(async () => (await send(lab.gateways[0], "/i/x", "warm-up")).status === 200, 10_000, 300);
  if (!isServed) return 2;
  let broken = 0;
  let wrong = 0;
  for (let index = 0; index < REQUESTS; index += 1) {
    const id = `request-${index}`;
    const kind = ["i", "n", "s", "t"][index % 4];
    const answer = await send(lab.gateways[(index >> 2) % 2], `/${kind}/x`, id);
    const whole = kind === "s" ? createEvents(id, EVENTS) : createBody(id);
    const isSuccess = answer.status === 200 && answer.complete;
    const isPart = isSuccess && String(answer.body) !== whole;
    broken += isPart ? 1 : 0;
    wrong += hasTrouble || isSuccess ? 0 : 1;
    record(`/${kind}/ ${id}: ${answer.status ?? answer.error}${isSuccess ? `, complete, ${answer.body.length} of ${whole.length} bytes` : ""}${isPart ? ": a part is passed on as the whole" : ""}`);
    await sleep(30);
  }
  record(`${broken} of ${REQUESTS} callers got a part as a whole answer`);
  if (wrong > 0) return 2;
  return broken > 0 ? 1 : 0;
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
