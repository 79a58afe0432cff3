/** What tests need to send a request to a backend server without a gateway. */
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { BackendClient, type BackendRequest } from "../fleet/backend_client.ts";
import type { PoolServer, ServerPermit } from "../fleet/server_pool.ts";
import type { HttpAgent } from "../sys/http.ts";

/** Creates a client that tells nobody what it learns of servers. */
export function createBackendClient(agent: HttpAgent): BackendClient {
  return new BackendClient({
    dialect: new PlatformBackendDialect(),
    agent,
    onLoad: () => {},
    onWrongServer: () => {},
    onLeaving: () => {},
    onLimit: () => {},
    onUnreachable: () => {},
    onActivity: () => {},
  });
}

/** Creates a request without a body. */
export function createBackendRequest(requestId = "r"): BackendRequest {
  return {
    requestId,
    method: "POST",
    target: "/x",
    headers: ["Host", "a.example", "X-Request-Id", requestId],
    body: Buffer.alloc(0),
  };
}

/** Creates a permit for the server at an address. */
export function createPermit(address: string): ServerPermit {
  return {
    server: { id: "s", address } as PoolServer,
    startedMs: 0,
    release: () => {},
  };
}
