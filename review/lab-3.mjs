/**
 * A small fleet for the scripts of this review: the project's own programs as separate
 * processes on loopback addresses, started by the commands of the deploy file with
 * settings filled in from its templates. Servers, clients and the operator are small
 * stand-ins that do what the pages say.
 */
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../", import.meta.url));
export const TROUBLE = process.env.TROUBLE !== "0";
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const createId = () => randomBytes(8).toString("hex");

/** Time after which a process that has ended is started again, in milliseconds. */
export const RESTART_MS = 500;

/** Bounds and limits of the small deployment cartabaza-buylist. */
const SHEET = {
  HeartbeatMs: 1200,
  "Bounds.DrainMs": 2000,
  "Tolerate.Machines": 1,
  MemoryMb: { gateway: 200, control: 346, store: 220 },
  MaxFds: { gateway: 4100, control: 4096, store: 8200 },
};

/** Fills in a template of deploy/ from plain fields; sections of absent fields go. */
function fillTemplate(text, fields) {
  return text.replace(/\{\{#([\w.]+)\}\}[^]*?\{\{\/\1\}\}/g, "")
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
      const value = fields[name];
      return json ? JSON.stringify(value) : String(value ?? "");
    });
}

/** Splits the command of a role, as the platform does. */
function readCommand(role) {
  const text = readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

/** Returns ports that are free now on all loopback addresses. */
export async function findFreePorts(count) {
  const servers = await Promise.all(Array.from({ length: count }, () =>
    new Promise((resolve, reject) => {
      const server = net.createServer();
      server.on("error", reject);
      server.listen(0, "0.0.0.0", () => resolve(server));
    })));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return ports;
}

/** Writes the record of a run, and remembers what ended it. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, "record.txt");
    this.startMs = performance.now();
    writeFileSync(this.file, "");
    this.hide = (text) => text;
  }
  add(kind, fields = {}) {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3);
    const text = Object.entries(fields).filter(([, value]) => value !== undefined).map(([key, value]) =>
      `${key}=${typeof value === "string" ? value : JSON.stringify(value)}`).join(" ");
    appendFileSync(this.file, `${seconds} ${kind} ${this.hide(text)}\n`);
  }
}

/** The processes of the fleet. Each host has an address of its own; ports are shared. */
export class Fleet {
  constructor(record, { controls = 3, stores = 3, gateways = 2, zones = 3 } = {}) {
    this.record = record;
    this.sizes = { control: controls, store: stores, gateway: gateways };
    this.zones = zones;
    this.hosts = new Map();
    this.folder = mkdtempSync(path.join(tmpdir(), "papayatally-review-"));
    record.hide = (text) => text.replaceAll(this.folder, "(folder)");
  }

  async start() {
    const [peer, control, front, ready] = await findFreePorts(4);
    this.ports = { peer, control, front, ready };
    let number = 0;
    const seeds = Array.from({ length: Math.min(3, this.sizes.control) }, (_, index) =>
      `127.41.0.${index + 1}:${control}`);
    for (const role of ["control", "store", "gateway"]) {
      for (let index = 0; index < this.sizes[role]; index += 1) {
        number += 1;
        const ip = `127.41.0.${number}`;
        const name = `${role}-${index + 1}`;
        const folder = path.join(this.folder, name);
        mkdirSync(path.join(folder, "data"), { recursive: true });
        const fields = {
          Node: name, Zone: `zone-${index % this.zones + 1}`, Ip: ip, "PortRange.0": peer,
          Seeds: seeds, Bootstrap: true, DataDir: path.join(folder, "data"),
          "Listen.Control": `${ip}:${control}`, "Listen.Front": `${ip}:${front}`,
          "Listen.Ready": `${ip}:${ready}`, ...SHEET,
          "Limits.MemoryMb": SHEET.MemoryMb[role], "Limits.MaxFds": SHEET.MaxFds[role],
        };
        const template = readFileSync(path.join(ROOT, `deploy/${role}.tmpl`), "utf8");
        const settings = path.join(folder, "settings.conf");
        writeFileSync(settings, fillTemplate(template, fields));
        this.hosts.set(name, { name, role, ip, zone: fields.Zone, folder, settings, exits: [] });
      }
    }
    this.hosts.forEach((host) => this.startHost(host.name));
  }

  startHost(name) {
    const host = this.hosts.get(name);
    const [program, ...args] = readCommand(host.role);
    const log = path.join(host.folder, "log");
    const child = spawn(program === "node" ? process.execPath : program,
      [...args.slice(0, -1), host.settings], { cwd: ROOT, stdio: ["ignore", "pipe", "pipe"] });
    child.stdout.on("data", (bytes) => appendFileSync(log, bytes));
    child.stderr.on("data", (bytes) => appendFileSync(log, bytes));
    host.child = child;
    host.ended = new Promise((resolve) => child.on("exit", (code, signal) => {
      resolve();
      if (host.isEnding) return;
      host.exits.push(String(code ?? signal));
      this.record.add("process-ended-itself", { host: name, code: String(code ?? signal) });
      // The platform starts it again.
      host.restart = setTimeout(() => this.startHost(name), RESTART_MS);
    }));
    host.isEnding = false;
    this.record.add("process-started", { host: name, pid: child.pid });
  }

  signal(name, signal) {
    this.record.add("signal", { host: name, signal });
    this.hosts.get(name).child.kill(signal);
  }

  async end(name, signal = "SIGKILL") {
    const host = this.hosts.get(name);
    host.isEnding = true;
    clearTimeout(host.restart);
    this.signal(name, signal);
    await host.ended;
  }

  readLog(name) {
    try {
      return readFileSync(path.join(this.hosts.get(name).folder, "log"), "utf8");
    } catch {
      return "";
    }
  }

  names(role) {
    return [...this.hosts.values()].filter((host) => host.role === role).map(({ name }) => name);
  }

  ip(name) {
    return this.hosts.get(name).ip;
  }

  /** Processes that ended by themselves. */
  getExits() {
    return [...this.hosts.values()].flatMap(({ name, exits }) => exits.map((exit) => `${name}:${exit}`));
  }

  async close() {
    for (const host of this.hosts.values()) {
      clearTimeout(host.restart);
      if (host.child === undefined || host.child.exitCode !== null || host.child.signalCode !== null) continue;
      host.isEnding = true;
      host.child.kill("SIGCONT");
      host.child.kill("SIGKILL");
      await host.ended;
    }
    if (process.env.KEEP !== "1") rmSync(this.folder, { recursive: true, force: true });
    else console.log(this.folder);
  }

  /** Waits until all gateways are ready; false after the time limit. */
  async waitUntilReady(limitMs = 30_000) {
    const endMs = performance.now() + limitMs;
    for (const name of this.names("gateway")) {
      for (;;) {
        const reply = await call({ host: this.ip(name), port: this.ports.ready, path: "/-/readyz" })
          .catch(() => undefined);
        if (reply?.status === 200) break;
        if (performance.now() > endMs) return false;
        await sleep(100);
      }
    }
    return true;
  }
}

/** Sends one request; resolves with the whole response, rejects if it breaks off. */
export function call({ host, port, method = "GET", path: target, headers = {}, body, agent = false, timeoutMs = 10_000 }) {
  return new Promise((resolve, reject) => {
    const req = http.request({ host, port, method, path: target, headers, agent }, (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("end", () => {
        clearTimeout(timer);
        if (res.complete) resolve({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks) });
        else reject(new Error("the response broke off"));
      });
      res.on("error", (error) => { clearTimeout(timer); reject(error); });
    });
    const timer = setTimeout(() => req.destroy(new Error("no whole response in time")), timeoutMs);
    req.on("error", (error) => { clearTimeout(timer); reject(error); });
    req.end(body);
  });
}

/** The operator: sends a config to one control host after the other until it is acknowledged. */
export async function putConfig(fleet, config, limitMs = 25_000) {
  const endMs = performance.now() + limitMs;
  const names = fleet.names("control");
  const body = JSON.stringify(config);
  for (let attempt = 0; performance.now() < endMs; attempt += 1) {
    const name = names[attempt % names.length];
    const reply = await call({ host: fleet.ip(name), port: fleet.ports.control, method: "PUT",
      path: "/-/config", headers: { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) },
      body, timeoutMs: 1_500 }).catch((error) => ({ status: 0, reason: error.message }));
    fleet.record.add("config-sent", { version: config.Version, to: name, status: reply.status });
    if (reply.status === 200) return true;
    if ([400, 409, 412, 413, 422].includes(reply.status)) return false;
    await sleep(300);
  }
  return false;
}

/** A server of the pages: registers every HeartbeatMs and answers with `handle`. */
export class Server {
  constructor(fleet, { id = `i-${createId()}`, service, zone = "zone-1", slots = 8, version = "v1", handle }) {
    Object.assign(this, { fleet, id, service, zone, slots, version, handle });
    this.sequence = 0;
    this.running = 0;
    this.born = Date.now();
  }

  async start() {
    this.server = http.createServer((req, res) => {
      const chunks = [];
      req.on("data", (chunk) => chunks.push(chunk));
      req.on("end", () => {
        if (req.headers["x-expect-instance"] !== undefined && req.headers["x-expect-instance"] !== this.id) {
          res.writeHead(421, { "X-Not-Run": "1" }).end();
          return;
        }
        this.running += 1;
        res.on("close", () => { this.running -= 1; });
        Promise.resolve(this.handle({ req, res, body: Buffer.concat(chunks), server: this }))
          .catch(() => res.destroy());
      });
      req.on("error", () => {});
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise((resolve) => this.server.listen(0, "127.42.0.1", resolve));
    this.address = `127.42.0.1:${this.server.address().port}`;
    this.register();
    this.timer = setInterval(() => this.register(), SHEET.HeartbeatMs);
  }

  /** Headers that servers put into each answer that says what they did. */
  headers(req) {
    return {
      "X-Request-Id": req.headers["x-request-id"] ?? "",
      "X-Server-Stamp": `${this.id}.${createId()}`,
      "X-Server-Load": `${this.running},0,${this.slots}`,
    };
  }

  async register(state = "ready") {
    this.sequence += 1;
    const body = JSON.stringify({ Service: this.service, Address: this.address, Zone: this.zone,
      Version: this.version, Slots: this.slots, State: state, ColdLeftMs: 0, Seq: this.sequence, born: this.born });
    for (const name of this.fleet.names("control")) {
      const reply = await call({ host: this.fleet.ip(name), port: this.fleet.ports.control, method: "PUT",
        path: `/-/instances/${this.id}`, headers: { "Content-Type": "application/json" }, body, timeoutMs: 1_000 })
        .catch(() => undefined);
      if (reply !== undefined && reply.status < 300) return;
    }
  }

  close() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }
}

/** A batch route like that of the sheet. */
export const BATCH_ROUTE = {
  Name: "batch-route", Host: "review.example", PathPrefix: "/batch/", Kind: "batch", TimeoutMs: 15000,
  SloMs: 400, Priority: 2, Service: "models", Attempts: 3, RunTargetMs: 18000, RetentionS: 60, MaxCount: 1400000,
};

/** A streaming route that may be resumed, like that of the sheet. */
export const STREAM_ROUTE = {
  Name: "stream-route", Host: "review.example", PathPrefix: "/stream/", Kind: "streaming", TimeoutMs: 5000,
  SloMs: 300, Priority: 0, Service: "models", Attempts: 2, Sticky: true, Resumable: true, GapTargetMs: 300,
};

export function createConfig(version, routes, services = ["models"]) {
  return {
    Version: version,
    Routes: routes,
    Services: services.map((name) => ({ Name: name, HealthPath: "/healthz", MaxConns: 210, Protocol: "h1", Tls: false })),
    Limits: LIMITS,
  };
}

/** Calls a gateway as a client does. */
export function callGateway(fleet, gateway, { headers, ...options }) {
  return call({ host: fleet.ip(gateway), port: fleet.ports.front, timeoutMs: 5_000, ...options,
    headers: { Host: "review.example", ...headers } });
}

/** Submits a batch job; its items are given with their bodies in base64. */
export function submitJob(fleet, gateway, id, items) {
  const wire = items.map(({ id: item, body }) => ({ Id: item, Path: `/batch/${createId()}`,
    Headers: { "X-Model": "m" }, Body: body, Tokens: 100 }));
  return callGateway(fleet, gateway, { method: "POST", path: "/batch/submit",
    headers: { "X-Request-Id": id, "Content-Type": "application/json" }, body: JSON.stringify({ Items: wire }) });
}

/** Reads the results of a batch job from the start. */
export function readJob(fleet, gateway, id, waitMs = 0) {
  return callGateway(fleet, gateway, { path: `/-/lots/${encodeURIComponent(id)}?After=0`, headers: { "X-Wait-Ms": String(waitMs) } });
}

/** Answers with `events` numbered events, each `gapMs` after the one before, from the one asked for. */
export async function sendEvents({ req, res, server }, { events, gapMs, getData, lineEnd = "\n" }) {
  const after = Number(req.headers["last-event-id"] ?? 0);
  res.writeHead(200, { ...server.headers(req), "Content-Type": "text/event-stream" });
  for (let number = after + 1; number <= events && !res.destroyed; number += 1) {
    await sleep(gapMs);
    res.write([`id: ${number}`, `data: ${getData(number)}`, "", ""].join(lineEnd));
  }
  res.end();
}

export const LIMITS = { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 };

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, run, options) {
  const record = new Record(folder);
  const fleet = new Fleet(record, options);
  const guard = setTimeout(() => finish(2, "the time limit has passed"), 115_000);
  const servers = [];
  let isFinished = false;
  async function finish(code, reason) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(guard);
    record.add("end", { code, reason });
    console.log(`${code}: ${reason}`);
    servers.forEach((server) => server.close());
    await fleet.close();
    process.exit(code);
  }
  ["SIGINT", "SIGTERM"].forEach((signal) => process.on(signal, () => finish(2, signal)));
  try {
    record.add("begin", { trouble: TROUBLE });
    await fleet.start();
    const { code, reason } = await run({ fleet, record, servers });
    await finish(code, reason);
  } catch (error) {
    await finish(2, String(error?.stack ?? error).replaceAll("\n", " | "));
  }
}
