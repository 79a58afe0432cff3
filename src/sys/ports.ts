/**
 * Finds free ports on the loopback interface, for fleets whose members must
 * know each other's addresses before they start. Ports come from blocks below
 * the range that systems use for port 0 and for outgoing connections. A process
 * owns a block while it listens on the block's first port, so no two processes
 * get the same port.
 */
import { createServer } from "node:net";

const FIRST_BLOCK_PORT = 10_240;
const BLOCK_SIZE = 64;
const BLOCK_COUNT = 350;

/** Ports of owned blocks that have not been returned yet. */
const ownedPorts: number[] = [];

/** Reservation in progress; they run one after the other. */
let reservation: Promise<void> = Promise.resolve();

/** Returns distinct free ports, which this function never returns again. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = ownedPorts.shift();
    if (port === undefined) await reserveBlock();
    else if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function reserveBlock(): Promise<void> {
  reservation = reservation.then(() =>
    ownedPorts.length > 0 ? undefined : openBlock()
  );
  return reservation;
}

async function openBlock(): Promise<void> {
  const firstBlock = process.pid % BLOCK_COUNT;
  for (let offset = 0; offset < BLOCK_COUNT; offset += 1) {
    const block = (firstBlock + offset) % BLOCK_COUNT;
    const blockPort = FIRST_BLOCK_PORT + block * BLOCK_SIZE;
    if (!await tryHold(blockPort)) continue;
    for (let index = 1; index < BLOCK_SIZE; index += 1) {
      ownedPorts.push(blockPort + index);
    }
    return;
  }
  throw new Error(`all ${BLOCK_COUNT} blocks of ports are taken`);
}

/** Listens on a port until the process exits; returns false if it is taken. */
function tryHold(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.unref();
      resolve(true);
    });
  });
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
