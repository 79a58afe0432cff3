/**
 * A small deployment for the scripts of this review: the project's own programs as
 * processes on loopback addresses, started with the commands and the settings templates
 * of the deploy file, and stand-ins for the platform, the operator and the servers.
 */
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = path.dirname(path.dirname(fileURLToPath(import.meta.url)));

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Resolves with the first true result of `check`; undefined after `limitMs`. */
export async function waitUntil(check, limitMs, stepMs = 50) {
  const end = performance.now() + limitMs;
  for (;;) {
    const result = await check();
    if (result) return result;
    if (performance.now() > end) return undefined;
    await sleep(stepMs);
  }
}

/** Reads roles of deploy/system.toml; only the fields that are needed here. */
function readRoles() {
  const roles = {};
  let current;
  for (const line of readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8").split("\n")) {
    const header = /^\[roles\.(\w+)\]/.exec(line);
    if (header) roles[header[1]] = current = {};
    const field = /^(\w+) = "(.*)"$/.exec(line);
    if (field && current) current[field[1]] = field[2];
  }
  return roles;
}

/** Fills in a template as DEPLOY.md says; supports what the project's templates use. */
function fillIn(text, fields) {
  const get = (name, scope) => name === "." ? scope : name.split(".").reduce((value, key) => value?.[key], fields);
  const replace = (part, scope) =>
    part.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, inner) => {
      const value = get(name, scope);
      return value === undefined || value === false ? "" : replace(inner, value);
    }).replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
      const value = get(name, scope);
      if (json) return JSON.stringify(value);
      return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
  return replace(text, undefined);
}

async function isFree(ip, port) {
  return await new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** One machine with one process of the project. */
class Machine {
  constructor(lab, { name, role, cls, zone, ip, limits }) {
    Object.assign(this, { lab, name, role, cls, zone, ip, limits });
    this.folder = path.join(lab.folder, name);
    this.dataFolder = path.join(this.folder, "data");
    this.log = "";
    this.starts = 0;
  }

  start({ bootstrap = false } = {}) {
    const { lab } = this;
    mkdirSync(this.dataFolder, { recursive: true });
    const { ports } = lab;
    const fields = {
      Node: this.name, Role: this.role, Class: this.cls, Ip: this.ip, Zone: this.zone,
      PortRange: [ports.peer, ports.peer + 15], Seeds: lab.seeds, Bootstrap: bootstrap,
      Tolerate: { Machines: 1, Zones: 1, Regions: 0 }, HeartbeatMs: lab.heartbeatMs,
      Bounds: { DrainMs: 2000, GraceS: 8, ...lab.bounds }, DataDir: this.dataFolder,
      Limits: { MemoryMb: 350, MaxFds: 4200, ...this.limits },
      Listen: { Front: `${this.ip}:${ports.front}`, Ready: `${this.ip}:${ports.ready}`, Control: `${this.ip}:${ports.control}` },
    };
    const { run, template } = lab.roles[this.role];
    const file = path.join(this.folder, "settings.conf");
    writeFileSync(file, fillIn(readFileSync(path.join(ROOT, template), "utf8"), fields));
    const [program, ...words] = run.split(" ").map((word) => word === "/etc/papayatally/settings.conf" ? file : word);
    const child = spawn(program, words, { cwd: ROOT, stdio: ["ignore", "pipe", "pipe"], env: { PATH: process.env.PATH, HOME: this.folder, LANG: "C" } });
    this.child = child;
    this.starts += 1;
    this.exit = undefined;
    const logFile = path.join(this.folder, "log.txt");
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on("data", (bytes) => {
        this.log = (this.log + bytes).slice(-2_000_000);
        appendFileSync(logFile, bytes);
      }));
    this.ended = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
      }));
  }

  signal(name) {
    if (this.exit === undefined) this.child?.kill(name);
  }

  async kill() {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.ended;
  }

  /** The machine loses its disk; the process must have ended. */
  wipe() {
    rmSync(this.dataFolder, { recursive: true, force: true });
  }
}

/** Starts and ends all of it. */
export class Lab {
  constructor({ controls = 3, stores = 3, gateways = 2, heartbeatMs = 1200, bounds = {}, limits = {} } = {}) {
    this.roles = readRoles();
    this.folder = mkdtempSync(path.join(tmpdir(), "papayatally-review-"));
    this.heartbeatMs = heartbeatMs;
    this.bounds = bounds;
    this.servers = [];
    const net2 = 20 + Math.floor(Math.random() * 200);
    const net3 = 1 + Math.floor(Math.random() * 250);
    const make = (count, role, cls, offset) =>
      Array.from({ length: count }, (_, index) => {
        const zone = ["z-a", "z-b", "z-c"][index % 3];
        return new Machine(this, {
          name: `${cls}-${zone}-${1 + Math.floor(index / 3)}`, role, cls, zone,
          ip: `127.${net2}.${net3}.${offset + index}`, limits: limits[role] ?? {},
        });
      });
    this.controls = make(controls, "control", "core", 10);
    this.stores = make(stores, "store", "storage", 40);
    this.gateways = make(gateways, "gateway", "edge", 70);
    this.serverIp = `127.${net2}.${net3}.200`;
  }

  get machines() {
    return [...this.controls, ...this.stores, ...this.gateways];
  }

  async open() {
    for (;;) {
      const peer = 20_000 + Math.floor(Math.random() * 10_000);
      this.ports = { peer, front: peer + 20, ready: peer + 21, control: peer + 22 };
      const checks = this.machines.flatMap(({ ip }) => [peer, peer + 20, peer + 21, peer + 22].map((port) => isFree(ip, port)));
      if ((await Promise.all(checks)).every((free) => free)) break;
    }
    this.seeds = this.controls.slice(0, 3).map(({ ip }) => `${ip}:${this.ports.control}`);
    this.machines.forEach((machine) => machine.start({ bootstrap: true }));
  }

  async close() {
    this.servers.forEach((server) => server.close());
    await Promise.all(this.machines.filter((machine) => machine.child).map((machine) => machine.kill()));
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
  }

  /** Calls the control interface as the operator and the servers do, at one host after the other. */
  async callControl(method, target, body, { limitMs = 15_000, machines = this.controls } = {}) {
    const end = performance.now() + limitMs;
    let index = Math.floor(Math.random() * machines.length);
    let last;
    while (performance.now() < end) {
      const { ip } = machines[index++ % machines.length];
      last = await call({ host: ip, port: this.ports.control, method, path: target, body, timeoutMs: 1000 });
      if (last.status !== undefined && last.status < 500 && last.status !== 408 && last.status !== 429) return last;
      await sleep(150);
    }
    return last ?? {};
  }

  /** Waits until all gateways say that they are ready. */
  async waitUntilReady(limitMs = 20_000) {
    return await waitUntil(async () => {
      const states = await Promise.all(this.gateways.map(({ ip }) =>
        call({ host: ip, port: this.ports.ready, method: "GET", path: "/-/readyz", timeoutMs: 1000 })));
      return states.every(({ status }) => status === 200);
    }, limitMs, 200);
  }

  addServer(options) {
    const server = new StandInServer(this, options);
    this.servers.push(server);
    return server;
  }
}

/** One HTTP exchange on a new connection; never rejects. */
export function call({ host, port, method, path: target, headers = {}, body, timeoutMs = 5000, localAddress }) {
  return new Promise((resolve) => {
    const bytes = body === undefined ? undefined : Buffer.from(typeof body === "string" || body instanceof Uint8Array ? body : JSON.stringify(body));
    const req = http.request({ host, port, method, path: target, localAddress, agent: false,
      headers: { ...headers, ...bytes === undefined ? {} : { "Content-Length": bytes.length } } });
    const timer = setTimeout(() => req.destroy(new Error("no answer in time")), timeoutMs);
    const end = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    req.on("error", (error) => end({ error: error.message }));
    req.on("response", (res) => {
      const parts = [];
      res.on("data", (part) => parts.push(part));
      res.on("error", (error) => end({ error: error.message, status: undefined, headers: res.headers }));
      res.on("end", () => end({ status: res.statusCode, headers: res.headers, body: Buffer.concat(parts), complete: res.complete }));
    });
    req.end(bytes);
  });
}

/**
 * A server that follows PROTOCOL.md: registers, checks the id in X-Expect-Instance and
 * answers with its stamp. `answer` may replace the answer to a request.
 */
export class StandInServer {
  constructor(lab, { id, service, port = 0, zone = "z-a", slots = 8, answer }) {
    Object.assign(this, { lab, id, service, zone, slots, answer });
    this.born = Date.now();
    this.seq = 0;
    this.state = "ready";
    /** What the server has run, in order. */
    this.runs = [];
    this.server = http.createServer({ maxHeaderSize: 65_536 }, (req, res) => this.#serve(req, res));
    this.server.maxHeadersCount = 0;
    this.server.keepAliveTimeout = 15_000;
    this.port = port;
  }

  async open() {
    await new Promise((resolve) => this.server.listen(this.port, this.lab.serverIp, resolve));
    this.port = this.server.address().port;
    this.address = `${this.lab.serverIp}:${this.port}`;
    await this.beat();
    this.timer = setInterval(() => this.beat(), this.lab.heartbeatMs);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  beat() {
    this.seq += 1;
    return this.lab.callControl("PUT", `/-/instances/${this.id}`, {
      Service: this.service, Address: this.address, Zone: this.zone, Version: "v1", Slots: this.slots,
      State: this.state, ColdLeftMs: 0, Seq: this.seq, born: this.born,
    }, { limitMs: 4000 });
  }

  #serve(req, res) {
    const parts = [];
    req.on("data", (part) => parts.push(part));
    req.on("error", () => {});
    req.on("end", () => {
      const expected = req.headers["x-expect-instance"];
      const common = { "X-Server-Load": `${1},0,${this.slots}`, ...req.headers["x-request-id"] === undefined ? {} : { "X-Request-Id": req.headers["x-request-id"] } };
      if (expected !== undefined && expected !== this.id) {
        res.writeHead(421, { ...common, "X-Not-Run": "1" }).end();
        return;
      }
      const run = { id: req.headers["x-request-id"], method: req.method, path: req.url, headers: req.headers, rawHeaders: req.rawHeaders, body: Buffer.concat(parts), atMs: performance.now() };
      this.runs.push(run);
      const stamped = { ...common, "X-Server-Stamp": `${this.id}.${this.runs.length}` };
      if (this.answer?.(run, req, res, stamped) === true) return;
      res.writeHead(200, { ...stamped, "Content-Type": "application/octet-stream", "Content-Length": 2 }).end("ok");
    });
  }
}

/** Writes record.txt beside a script. */
export function openRecord(folder) {
  const file = path.join(folder, "record.txt");
  writeFileSync(file, "");
  const startMs = performance.now();
  return (text) => appendFileSync(file, `${((performance.now() - startMs) / 1000).toFixed(3)} ${text}\n`);
}

/** A route as the operator sends it. */
export function createRoute(name, prefix, kind, service, more = {}) {
  return { Name: name, Host: "a.example", PathPrefix: prefix, Kind: kind, TimeoutMs: 5000, SloMs: 400, Priority: 0, Service: service, Attempts: 2, ...more };
}

export function createConfig(version, routes, services) {
  return {
    Version: version, Routes: routes,
    Services: services.map((name) => ({ Name: name, HealthPath: "/healthz", MaxConns: 200, Protocol: "h1", Tls: false })),
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
  };
}
