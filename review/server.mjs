/**
 * A stand-in for a backend server that follows the users' PROTOCOL.md: it
 * registers and pings, runs up to `slots` requests at once and answers with a
 * stream of events or with a body, with its stamp and the id of the request.
 */
import http from "node:http";
import { delay, send } from "./fleet.mjs";

export class Server {
  running = 0;
  /** Ids of the requests that began to run here, in order. */
  ran = [];
  leaves = false;
  #sequence = 0;
  #isClosed = false;

  constructor(fleet, id, { service = "huvo11a", slots = 8, events = 5, eventMs = 20, zone = "norte-a", beatMs = 1_200, workMs = 30 } = {}) {
    Object.assign(this, { fleet, id, service, slots, events, eventMs, zone, beatMs, workMs, record: fleet.record, bornMs: Date.now() });
  }

  async start() {
    this.http = http.createServer((req, res) => this.#receive(req, res));
    this.http.keepAliveTimeout = 15_000;
    await new Promise((resolve) => this.http.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.http.address().port}`;
    await this.ping();
    if (this.beatMs > 0) this.#beat();
  }

  get registration() {
    this.#sequence += 1;
    return {
      Service: this.service, Address: this.address, Zone: this.zone, Version: "v1", Slots: this.slots,
      State: this.leaves ? "draining" : "ready", ColdLeftMs: 0, Stage: "mixed",
      Models: [{ Name: "m", Version: 1, Adapters: [] }], Seq: this.#sequence, born: this.bornMs,
    };
  }

  /** Pings the control hosts in turn until one acknowledges. */
  async ping() {
    const body = JSON.stringify(this.registration);
    for (const control of this.fleet.controls) {
      const reply = await send(control.address, "PUT", `/-/instances/${this.id}`, {
        headers: { "Content-Type": "application/json" }, body, timeoutMs: 1_000,
      });
      if (reply.status >= 200 && reply.status < 300) return;
    }
    if (this.#sequence === 1) {
      await delay(100);
      await this.ping();
    }
  }

  async #beat() {
    while (!this.#isClosed) {
      await delay(this.beatMs);
      if (!this.#isClosed) await this.ping();
    }
  }

  close() {
    this.#isClosed = true;
    this.http.close();
    this.http.closeAllConnections();
  }

  #receive(req, res) {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("error", () => {});
    res.on("error", () => {});
    req.on("end", () => this.answer(req, res, Buffer.concat(chunks)));
  }

  headers(id) {
    return { "X-Request-Id": id, "X-Server-Load": `${this.running},0,${this.slots}` };
  }

  /** Answers one request; a case may replace this. */
  answer(req, res, body) {
    const id = String(req.headers["x-request-id"] ?? "");
    const expected = req.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      this.record.write(this.id, `${id}: 421, another server was expected`);
      res.writeHead(421, { ...this.headers(id), "X-Not-Run": "1" }).end();
      return;
    }
    if (this.running >= this.slots) {
      this.record.write(this.id, `${id}: 503, not run, full`);
      res.writeHead(503, { ...this.headers(id), "X-Not-Run": "1" }).end();
      return;
    }
    this.run(req, res, id, body);
  }

  /** Begins to run a request. */
  run(req, res, id) {
    this.ran.push(id);
    this.running += 1;
    const after = Number(req.headers["last-event-id"] ?? 0);
    this.record.write(this.id, `${id}: runs${after > 0 ? ` from event ${after + 1}` : ""}`);
    let isOver = false;
    const end = (how) => {
      if (isOver) return;
      isOver = true;
      this.running -= 1;
      this.record.write(this.id, `${id}: ${how}`);
    };
    res.on("close", () => end(res.writableFinished ? "answered" : "dropped, its channel has closed"));
    if (this.service === "wuno96b") {
      setTimeout(() => {
        if (!res.destroyed) {
          res.writeHead(200, { ...this.headers(id), "X-Server-Stamp": `${this.id}.${id}`, "Content-Type": "text/plain" })
            .end(`body of ${id}`);
        }
      }, this.workMs);
      return;
    }
    res.writeHead(200, {
      ...this.headers(id), "X-Server-Stamp": `${this.id}.${id}`, "X-Weight-Versions": "1", "Content-Type": "text/event-stream",
    });
    const next = (number) => {
      if (res.destroyed) return;
      res.write(`id: ${number}\ndata: ${id}-${number}\n\n`);
      if (number >= this.events) res.end();
      else setTimeout(() => next(number + 1), this.eventMs);
    };
    setTimeout(() => next(after + 1), this.eventMs);
  }
}
