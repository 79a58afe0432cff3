/**
 * Starts a small fleet for a case: the processes of deploy/system.toml on loopback
 * addresses, with settings like those that the platform fills in. Plays the
 * platform (restarts processes that end), the operator and the clients, and writes
 * to record.txt what was sent, answered and run.
 */
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "..");

/** Each machine has a loopback address of its own; runs use different ones. */
const NETWORK = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;

/** Names of the ports, which are the same on all machines. */
const PORT_NAMES = ["peer", "control", "front", "ready", "metrics"];

/** Heap limits of the roles' commands in deploy/system.toml. */
const HEAP_MB = { gateway: 90, control: 160, store: 120 };

/** Time after which the platform restarts a process that has ended. */
const RESTART_MS = 500;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes record.txt in the folder of a case. */
export class Recorder {
  #startMs = performance.now();

  constructor(folder) {
    this.stream = createWriteStream(path.join(folder, "record.txt"));
    this.write("case", `TROUBLE=${hasTrouble ? 1 : 0}`);
  }

  get nowMs() {
    return performance.now() - this.#startMs;
  }

  write(who, text) {
    const time = (this.nowMs / 1_000).toFixed(3).padStart(8);
    this.stream.write(`${time} ${who}: ${text}\n`);
  }

  close() {
    return new Promise((resolve) => this.stream.end(resolve));
  }
}

/** Returns a free port for each name. */
async function findPorts() {
  const servers = await Promise.all(PORT_NAMES.map(() =>
    new Promise((resolve, reject) => {
      const server = net.createServer();
      server.on("error", reject);
      server.listen(0, `${NETWORK}.9`, () => resolve(server));
    })
  ));
  const ports = Object.fromEntries(servers.map((server, index) => [PORT_NAMES[index], server.address().port]));
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Sends one HTTP request on a new channel; status 0 means that it failed. */
export function send(address, method, target, { headers = {}, body = "", timeoutMs = 10_000, agent = false } = {}) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const chunks = [];
    let status = 0;
    let responseHeaders = {};
    let isDone = false;
    const finish = (isComplete) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({ status, headers: responseHeaders, text: Buffer.concat(chunks).toString("utf8"), isComplete });
    };
    const bytes = Buffer.from(body);
    const req = http.request({
      host, port, method, path: target, agent,
      headers: { ...headers, "Content-Length": bytes.length },
    });
    const timer = setTimeout(() => {
      req.destroy();
      finish(false);
    }, timeoutMs);
    req.on("error", () => finish(false));
    req.on("response", (res) => {
      status = res.statusCode;
      responseHeaders = res.headers;
      res.on("data", (chunk) => chunks.push(chunk));
      res.on("error", () => finish(false));
      res.on("close", () => finish(res.complete));
    });
    req.end(bytes);
  });
}

/** A process of the fleet, which the platform restarts when it ends. */
class Daemon {
  /** Times at which the process ended though nobody had stopped it. */
  ownEnds = [];
  #child;
  #isStopped = false;

  constructor(fleet, role, id) {
    Object.assign(this, { fleet, role, id });
    this.settingsPath = path.join(fleet.folder, `${id}.conf`);
    this.logPath = path.join(fleet.folder, `${id}.log`);
  }

  get pid() {
    return this.#child?.pid;
  }

  writeSettings() {
    const lines = Object.entries(this.settings)
      .map(([name, value]) => `${name} = ${JSON.stringify(value)}\n`);
    writeFileSync(this.settingsPath, lines.join(""));
  }

  start() {
    this.#isStopped = false;
    const output = openSync(this.logPath, "a");
    const child = spawn(process.execPath, [
      `--max-old-space-size=${HEAP_MB[this.role]}`,
      path.join(ROOT, "target/fleet.mjs"),
      this.settingsPath,
    ], { cwd: ROOT, stdio: ["ignore", output, output], env: { PATH: process.env.PATH, HOME: this.fleet.folder } });
    this.#child = child;
    this.fleet.record.write(this.id, `started`);
    child.on("exit", (code, signal) => {
      if (this.#child !== child) return;
      this.#child = undefined;
      this.fleet.record.write(this.id, `ended (code ${code}, signal ${signal})`);
      if (this.#isStopped) return;
      this.ownEnds.push(this.fleet.record.nowMs);
      setTimeout(() => {
        if (this.#isStopped || this.fleet.isClosed) return;
        this.settings.first_start = false;
        this.writeSettings();
        this.start();
      }, RESTART_MS);
    });
  }

  signal(name) {
    this.fleet.record.write("platform", `${name} to ${this.id}`);
    this.#child?.kill(name);
  }

  /** Kills the process and leaves it down. */
  kill() {
    this.#isStopped = true;
    this.signal("SIGKILL");
  }

  close() {
    this.#isStopped = true;
    this.#child?.kill("SIGKILL");
  }
}

/** The fleet and what is around it. */
export class Fleet {
  isClosed = false;
  controls = [];
  stores = [];
  gateways = [];

  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(path.join(tmpdir(), "papayatally-review-"));
  }

  /** Starts three control hosts, three store hosts and gateways. */
  async start({ gateways = 2, stores = 3, beatMs = 1_200, change = () => ({}) } = {}) {
    const ports = await findPorts();
    this.common = {
      peer_port: ports.peer, metrics_port: ports.metrics, seeds: [], first_start: true, lost_hosts: 1,
      beat_ms: beatMs, drain_ms: 2_000,
    };
    const add = (list, role, name, count) => {
      for (let index = 0; index < count; index += 1) {
        const id = `${name}-${index + 1}`;
        const ip = `${NETWORK}.${this.daemons.length + 10}`;
        const own = {
          control: { listen: `${ip}:${ports.control}`, data_folder: path.join(this.folder, `${id}-data`) },
          store: { data_folder: path.join(this.folder, `${id}-data`) },
          gateway: { listen: `${ip}:${ports.front}`, ready_listen: `${ip}:${ports.ready}` },
        }[role];
        const daemon = new Daemon(this, role, id);
        Object.assign(daemon, { ip, address: own.listen, ready: own.ready_listen });
        daemon.settings = { role, id, data_centre: `norte-${"abc"[index % 3]}`, ip, ...this.common, ...own };
        list.push(daemon);
      }
    };
    add(this.controls, "control", "core", 3);
    this.common.seeds = this.controls.map((control) => control.address);
    this.controls.forEach((control) => Object.assign(control.settings, this.common));
    add(this.stores, "store", "storage", stores);
    add(this.gateways, "gateway", "edge", gateways);
    this.daemons.forEach((daemon) => {
      Object.assign(daemon.settings, change(daemon));
      daemon.writeSettings();
      daemon.start();
    });
  }

  get daemons() {
    return [...this.controls, ...this.stores, ...this.gateways];
  }

  /** As the operator: sends a configuration until it is acknowledged. */
  async putConfig(config) {
    const body = JSON.stringify(config);
    for (let attempt = 0;; attempt += 1) {
      const control = this.controls[attempt % this.controls.length];
      const reply = await send(control.address, "PUT", "/-/config", {
        headers: { "Content-Type": "application/json" }, body, timeoutMs: 1_000,
      });
      if (reply.status >= 200 && reply.status < 500) {
        this.record.write("operator", `configuration ${config.Version} got ${reply.status} from ${control.id}`);
        return reply;
      }
      if (attempt > 60) throw new Error("no configuration was acknowledged");
      await delay(200);
    }
  }

  async isReady(gateway) {
    return (await send(gateway.ready, "GET", "/-/readyz", { timeoutMs: 1_000 })).status === 200;
  }

  async waitUntil(what, condition, timeoutMs = 30_000) {
    const endMs = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > endMs) throw new Error(`timed out waiting for ${what}`);
      await delay(50);
    }
  }

  waitUntilReady() {
    return this.waitUntil("the gateways to be ready", async () =>
      (await Promise.all(this.gateways.map((gateway) => this.isReady(gateway)))).every(Boolean));
  }

  close() {
    this.isClosed = true;
    this.daemons.forEach((daemon) => daemon.close());
    if (process.env.KEEP !== "1") rmSync(this.folder, { recursive: true, force: true });
    else console.log(`logs are in ${this.folder}`);
  }
}

/** A configuration with one service of model servers and one of applications. */
export function createConfig(version, { batch = {}, stream = {}, plain = {} } = {}) {
  const route = { Host: "ficu95.example", TimeoutMs: 5_000, SloMs: 300, Priority: 0, Attempts: 1 };
  return {
    Version: version,
    Routes: [
      { ...route, Name: "r-stream", PathPrefix: "/pufi791/", Kind: "streaming", Service: "huvo11a", Sticky: true, Resumable: false, GapTargetMs: 300, ...stream },
      { ...route, Name: "r-plain", PathPrefix: "/lohu930/", Kind: "idempotent", Service: "wuno96b", TimeoutMs: 2_500, SloMs: 150, Priority: 2, Attempts: 2, Sticky: false, ...plain },
      { ...route, Name: "r-batch", PathPrefix: "/pule252/", Kind: "batch", Service: "huvo11a", TimeoutMs: 15_000, SloMs: 400, Priority: 2, Attempts: 3, RunTargetMs: 18_000, RetentionS: 60, MaxCount: 1_400_000, Sticky: true, Resumable: true, ...batch },
    ],
    Services: [
      { Name: "huvo11a", HealthPath: "/healthz", MaxConns: 210, Protocol: "h1", Tls: false, Engine: { Slots: 8, KvTokens: 72_000, Models: [{ Name: "m" }] } },
      { Name: "wuno96b", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1", Tls: false },
    ],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
  };
}

/**
 * Runs a case: exits with 1 if `run` returns the reason for which the rule was
 * broken, with 0 if it returns nothing, and with 2 if the case couldn't run.
 */
export async function runCase(metaUrl, run) {
  const folder = path.dirname(fileURLToPath(metaUrl));
  const record = new Recorder(folder);
  const fleet = new Fleet(record);
  let code = 2;
  const limit = setTimeout(() => {
    record.write("case", "couldn't run: time limit");
    fleet.close();
    process.exit(2);
  }, 118_000);
  const stop = () => {
    fleet.close();
    process.exit(2);
  };
  process.on("uncaughtException", (error) => {
    console.log(`couldn't run: ${error.stack}`);
    stop();
  });
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  try {
    const broken = await run({ fleet, record, folder });
    code = broken === undefined ? 0 : 1;
    record.write("case", broken === undefined ? "the rule held" : `the rule was broken: ${broken}`);
    console.log(broken === undefined ? "the rule held" : `the rule was broken: ${broken}`);
  } catch (error) {
    record.write("case", `couldn't run: ${error.stack}`);
    console.log(`couldn't run: ${error.message}`);
  } finally {
    clearTimeout(limit);
    fleet.close();
    await record.close();
  }
  process.exit(code);
}
