/**
 * Tells whether the other side closed a connection in an orderly way or reset it. If
 * a reset arrives together with the last bytes, the runtime reports these bytes and an
 * orderly end, and no error. The system keeps the reset until the connection is used
 * again: a write reports ECONNRESET if the connection was reset, and EPIPE if it was
 * reset only after the other side had closed it, as happens to a sender that goes on.
 */
import type { Socket } from "node:net";

/** Written to ask for the state of a connection; sends nothing. */
const NO_BYTES = new Uint8Array();

/**
 * Resolves when a connection has ended with whether the other side closed it in an
 * orderly way. Must be called before its end has been read.
 */
export function watchConnectionEnd(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    // The write below may be the first to report an error, after the listeners of the
    // request are gone.
    socket.on("error", () => {});
    socket.once("close", () => resolve(false));
    // Before the listeners of the runtime, which end the writable side.
    socket.prependOnceListener("end", () => {
      // While the rest of the request waits to be written, a write would be queued
      // behind it. A connection that has been reset has no other side any more, and
      // what waits fails at once.
      const isOpen = socket.remotePort !== undefined;
      if (isOpen && socket.writableLength > 0) {
        resolve(true);
        return;
      }
      socket.write(
        NO_BYTES,
        (error: NodeJS.ErrnoException | null | undefined) =>
          resolve(!error || error.code === "EPIPE"),
      );
    });
  });
}
