/**
 * Pools of client connections that are reused while they are idle. Nothing is due
 * on an idle connection, so one on which bytes arrive is closed: they belong to no
 * request, and the rest of them would meet the next one. A server may also write an
 * answer once more where another one is due, so a connection is not used for a
 * request that this copy could be taken to answer.
 */
import http from "node:http";
import type { Duplex } from "node:stream";

/**
 * Number of ids that are kept for a connection. One on which more requests failed
 * is closed.
 */
const MAX_FAILED_IDS = 64;

/** Ids of the requests that failed on a connection. */
const failedIds = new WeakMap<Duplex, Set<string>>();

/** Connections that are closed as soon as their answer has ended. */
const closingConnections = new WeakSet<Duplex>();

/**
 * Records that a request got an answer other than a success, after which it may be
 * sent again. If its id is undefined, answers can't be told apart by ids, and the
 * connection is closed once the answer has ended.
 */
export function recordFailedRequest(
  socket: Duplex,
  id: string | undefined,
): void {
  const ids = failedIds.get(socket) ?? new Set();
  if (id !== undefined) failedIds.set(socket, ids.add(id));
  if (id === undefined || ids.size > MAX_FAILED_IDS) {
    closingConnections.add(socket);
  }
}

/** Whether the request with an id failed on a connection. */
export function hasFailedOn(socket: Duplex, id: string | undefined): boolean {
  return id !== undefined && failedIds.get(socket)?.has(id) === true;
}

/** A pool of connections that are reused while they are idle. */
export class HttpAgent extends http.Agent {
  /** Called when a request has ended; a result of false closes its connection. */
  override keepSocketAlive(socket: Duplex): unknown {
    if (closingConnections.has(socket)) return false;
    socket.on("data", closeConnection);
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
