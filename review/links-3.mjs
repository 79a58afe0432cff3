/**
 * Proxies in front of the hosts of a small fleet, by which some pairs of hosts can be
 * partitioned from each other. A host announces the address of its proxy, as the setting
 * `bind_ip` allows. All connections come from one loopback address, so their senders are
 * found by the process that holds the other end.
 */
import { createSocket } from "node:dgram";
import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import net from "node:net";

/** Formats an IPv4 address and a port as /proc/net/tcp does. */
function toProcAddress(ip, port) {
  const bytes = ip.split(".").reverse().map((part) => Number(part).toString(16).padStart(2, "0"));
  return `${bytes.join("")}:${port.toString(16).padStart(4, "0")}`.toUpperCase();
}

/** Inode of the socket that is connected from one address to another. */
function findInode(local, remote) {
  const line = readFileSync("/proc/net/tcp", "utf8").split("\n")
    .map((text) => text.trim().split(/\s+/))
    .find((fields) => fields[1] === local && fields[2] === remote);
  return line?.[9];
}

function holdsInode(pid, inode) {
  try {
    return readdirSync(`/proc/${pid}/fd`).some((fd) => {
      try {
        return readlinkSync(`/proc/${pid}/fd/${fd}`) === `socket:[${inode}]`;
      } catch {
        return false;
      }
    });
  } catch {
    return false;
  }
}

/** The links of a fleet. */
export class Links {
  constructor(fleet) {
    this.fleet = fleet;
    this.isCut = () => false;
    this.connections = new Set();
    this.servers = [];
    this.datagramSockets = [];
  }

  async start() {
    for (const host of this.fleet.hosts.values()) await this.#open(host);
  }

  /** Partitions the pairs of hosts for which `isCut` is true, in both directions. */
  cut(isCut) {
    this.isCut = (a, b) => a !== "" && b !== "" && (isCut(a, b) || isCut(b, a));
  }

  /** Ends all cuts. Connections that have lost bytes are reset. */
  heal() {
    this.isCut = () => false;
    this.connections.forEach((connection) => {
      if (connection.hasLost) [connection.near, connection.far].forEach((socket) => socket.resetAndDestroy());
    });
  }

  close() {
    this.servers.forEach((server) => server.close());
    this.connections.forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
    this.datagramSockets.forEach((socket) => socket.close());
  }

  async #open(host) {
    const { peer } = this.fleet.ports;
    const server = net.createServer((near) => this.#accept(host, near));
    this.servers.push(server);
    await new Promise((resolve, reject) => server.on("error", reject).listen(peer, host.ip, resolve));
    const upstreams = new Map();
    const socket = createSocket("udp4");
    this.datagramSockets.push(socket);
    socket.on("error", () => {});
    socket.on("message", (bytes, from) => {
      const sender = this.#findByBindIp(from.address);
      if (this.isCut(sender, host.name)) return;
      const key = `${from.address}:${from.port}`;
      if (!upstreams.has(key)) {
        const upstream = createSocket("udp4");
        this.datagramSockets.push(upstream);
        upstream.on("error", () => {});
        upstream.on("message", (reply) => {
          if (!this.isCut(sender, host.name)) socket.send(reply, from.port, from.address);
        });
        upstreams.set(key, upstream);
      }
      upstreams.get(key).send(bytes, peer, host.bindIp);
    });
    await new Promise((resolve) => socket.bind(peer, host.ip, resolve));
  }

  #findByBindIp(ip) {
    return [...this.fleet.hosts.values()].find(({ bindIp }) => bindIp === ip)?.name ?? "";
  }

  #findSender(host, near) {
    const inode = findInode(toProcAddress(near.remoteAddress ?? "", near.remotePort ?? 0),
      toProcAddress(host.ip, this.fleet.ports.peer));
    if (inode === undefined) return "";
    return [...this.fleet.hosts.values()].find(({ child }) => holdsInode(child?.pid, inode))?.name ?? "";
  }

  #accept(host, near) {
    const sender = this.#findSender(host, near);
    const far = net.connect(this.fleet.ports.peer, host.bindIp);
    const connection = { near, far, hasLost: false };
    this.connections.add(connection);
    [[near, far], [far, near]].forEach(([from, to]) => {
      from.setNoDelay(true);
      from.on("data", (bytes) => {
        if (this.isCut(sender, host.name)) connection.hasLost = true;
        else if (!connection.hasLost) to.write(bytes);
      });
      from.on("error", () => {
        if (!this.isCut(sender, host.name)) to.resetAndDestroy();
      });
      from.on("close", () => {
        if (!this.isCut(sender, host.name)) to.destroy();
        this.connections.delete(connection);
      });
    });
  }
}
