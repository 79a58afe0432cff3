/**
 * Pools of client connections that are reused while they are idle. Nothing is due
 * on an idle connection, so one on which bytes arrive is closed: they belong to no
 * request, and the rest of them would meet the next one.
 */
import http from "node:http";
import type { Duplex } from "node:stream";

/** A pool of connections that are reused while they are idle. */
export class HttpAgent extends http.Agent {
  /** Called when a request has ended and its connection is kept. */
  override keepSocketAlive(socket: Duplex): void {
    socket.on("data", closeConnection);
    // Its result tells whether the connection may be kept.
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, req: http.ClientRequest): void {
    socket.off("data", closeConnection);
    super.reuseSocket(socket, req);
  }
}

function closeConnection(this: Duplex): void {
  this.destroy();
}
