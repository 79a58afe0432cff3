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
 * Number of ids of failed requests that are kept for a connection. One on which more
 * requests failed is closed.
 */
const MAX_FAILED_IDS = 64;

/** The same for requests whose ids may come again after a success. */
const MAX_REPEATABLE_IDS = 256;

/** Ids for which a connection is not used any more. */
const spentIds = new WeakMap<Duplex, Set<string>>();

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
  if (id === undefined) closingConnections.add(socket);
  else spendId(socket, id, MAX_FAILED_IDS);
}

/**
 * Records that a connection must not be used for another request with the same id, such
 * as an item of another job, which a copy of the answer could be taken to answer.
 */
export function recordRepeatableRequest(socket: Duplex, id: string): void {
  spendId(socket, id, MAX_REPEATABLE_IDS);
}

/** Whether a connection must not be used for a request with an id. */
export function isIdSpent(socket: Duplex, id: string | undefined): boolean {
  return id !== undefined && spentIds.get(socket)?.has(id) === true;
}

/** The connection is closed if it has more ids than `maxIds`. */
function spendId(socket: Duplex, id: string, maxIds: number): void {
  const ids = spentIds.get(socket) ?? new Set();
  spentIds.set(socket, ids.add(id));
  if (ids.size > maxIds) closingConnections.add(socket);
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
