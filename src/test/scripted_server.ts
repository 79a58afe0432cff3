/** A server that writes to its connections byte by byte what a test says. */
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A server that does with a request what a test asks for. */
export class ScriptedServer {
  /** All connections that were made, also those that are closed. */
  readonly connections = new Set<Socket>();
  /** Called with each request that has arrived whole, and with its bytes. */
  serve: (id: string, socket: Socket, bytes: string) => void = () => {};
  readonly #server: Server;
  address = "";

  constructor() {
    this.#server = createServer((socket) => {
      this.connections.add(socket);
      socket.on("error", () => {});
      socket.on("data", (bytes) => {
        const text = bytes.toString();
        const id = /x-request-id: (\S+)/i.exec(text)?.[1] ?? "";
        this.serve(id, socket, text);
      });
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  close(): void {
    this.#server.close();
    this.connections.forEach((socket) => socket.destroy());
  }
}

/** Returns the bytes of a response; its length is added to the headers. */
export function createResponse(
  status: string,
  headers: readonly string[] = [],
  body = "",
): string {
  const lines = [...headers, `Content-Length: ${body.length}`];
  return `HTTP/1.1 ${status}\r\n${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Returns the bytes of a server's whole answer; its body is the request's id. */
export function createAnswer(id: string): string {
  return createResponse(
    "200 OK",
    [`X-Request-Id: ${id}`, "X-Server-Stamp: st"],
    id,
  );
}
