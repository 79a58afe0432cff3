/** Free ports on loopback, for fleets whose members must know each other. */
import { createServer } from "node:net";
/** Ports that were free a moment ago. */
export async function findFreePorts(count) {
    const servers = await Promise.all(Array.from({ length: count }, () => openServer()));
    const ports = servers.map((server) => {
        const address = server.address();
        return typeof address === "object" && address !== null ? address.port : 0;
    });
    await Promise.all(servers.map(closeServer));
    return ports;
}
function openServer() {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
function closeServer(server) {
    return new Promise((resolve) => server.close(() => resolve()));
}
//# sourceMappingURL=ports.js.map