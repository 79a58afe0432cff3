/**
 * UDP datagrams, for soft state in which each message supersedes the one
 * before, so that a lost one needs no repair. A datagram costs a process far
 * less than a remote procedure call.
 */
import { createSocket, type Socket } from "node:dgram";
import { MessageCode } from "../schema/mod.ts";
import { getReason, ServingError } from "./errors.ts";
import { parseAddress, tryParseTarget } from "./http.ts";
import { isolate } from "./isolation.ts";

/** Handles a datagram; `from` is the address of its sender. */
export type DatagramHandler = (bytes: Uint8Array, from: string) => void;

/** A UDP socket that is bound to an address. */
export interface DatagramSocket {
  readonly address: string;
  /** Sends without waiting; a datagram that cannot be sent is dropped. */
  send(bytes: Uint8Array, to: string): void;
  close(): void;
}

/** Opens a socket; fails with PORT_BUSY if it cannot bind to the address. */
export function openDatagramSocket(
  address: string,
  handler: DatagramHandler,
): Promise<DatagramSocket> {
  const { host, port } = parseAddress(address);
  const socket = createSocket("udp4");
  const receive = isolate(handler);
  socket.on(
    "message",
    (bytes, from) => receive(bytes, `${from.address}:${from.port}`),
  );
  return new Promise((resolve, reject) => {
    socket.once("error", (error) => {
      socket.close();
      reject(
        new ServingError(MessageCode.PORT_BUSY, {
          parameters: { address, reason: getReason(error) },
        }),
      );
    });
    socket.bind(port, host, () => {
      // Later errors concern destinations that are down, not this socket.
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
      const target = tryParseTarget(to);
      if (!isOpen || target === undefined) return;
      socket.send(bytes, target.port, target.host, () => {});
    },
    close: () => {
      if (isOpen) socket.close();
      isOpen = false;
    },
  };
}
