/**
 * Datagrams: for soft state whose next message makes good a lost one. They
 * cost a process far less than a call does.
 */
import { createSocket, type Socket } from "node:dgram";
import { MessageCode } from "../schema/mod.ts";
import { getReason, ServingError } from "./errors.ts";
import { parseAddress } from "./http.ts";

/** Takes a datagram and the address that it came from. */
export type DatagramHandler = (bytes: Uint8Array, from: string) => void;

/** A socket on one address. */
export interface DatagramSocket {
  readonly address: string;
  /** Sends without waiting; what can't be sent is lost. */
  send(bytes: Uint8Array, to: string): void;
  close(): void;
}

/** Opens a socket; a busy port is PORT_BUSY. */
export function openDatagramSocket(
  address: string,
  handler: DatagramHandler,
): Promise<DatagramSocket> {
  const { host, port } = parseAddress(address);
  const socket = createSocket("udp4");
  socket.on(
    "message",
    (bytes, from) => handler(bytes, `${from.address}:${from.port}`),
  );
  return new Promise((resolve, reject) => {
    socket.once("error", (error) =>
      reject(
        new ServingError(MessageCode.PORT_BUSY, {
          parameters: { address, reason: getReason(error) },
        }),
      ));
    socket.bind(port, host, () => {
      // A destination that is down is no fault of this socket.
      socket.removeAllListeners("error").on("error", () => {});
      resolve(wrapSocket(socket, host));
    });
  });
}

function wrapSocket(socket: Socket, host: string): DatagramSocket {
  let isOpen = true;
  return {
    address: `${host}:${socket.address().port}`,
    send: (bytes, to) => {
      if (!isOpen) return;
      const target = parseAddress(to);
      socket.send(bytes, target.port, target.host, () => {});
    },
    close: () => {
      if (isOpen) socket.close();
      isOpen = false;
    },
  };
}
