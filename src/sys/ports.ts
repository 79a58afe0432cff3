/**
 * Finds free ports on the loopback interface, for fleets whose members must
 * know each other's addresses before they start.
 */
import { createServer, type Server } from "node:net";

/** Returns distinct ports that were free at the time of the call. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => openServer()),
  );
  const ports = servers.map((server) => {
    const address = server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  });
  await Promise.all(servers.map(closeServer));
  return ports;
}

function openServer(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
