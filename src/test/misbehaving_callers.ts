/** Callers that misbehave, with connections on the level of bytes. */
import { readdir, readFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { range } from "./fleet_helpers.ts";

/** Address of these callers, which no ordinary caller of a test has. */
const CALLER_IP = "127.0.0.9";

/** Limit of a body, as in the deployments. */
export const BODY_BYTES = 4 << 20;

/** Content of bodies. */
const BODY = Buffer.alloc(BODY_BYTES, "x");

/** Size of one piece of a body that is sent in small pieces, in bytes. */
const SMALL_PIECE_BYTES = 1_000;

/** Bytes that a caller writes before it lets others write. */
const TURN_BYTES = 256 << 10;

/** Size of a body far over the limit, in bytes. */
const HUGE_BYTES = 1 << 30;

/** Interval between the bytes of a slow caller, in milliseconds. */
const SLOW_INTERVAL_MS = 200;

/** Number of header fields below the limits of heads. */
const HEADER_FIELDS = 1_500;

/** Number of fields of a job of 4 MB. */
const JOB_FIELDS = 350_000;

/** Pipelined requests that are written at once. */
const PIPELINED_REQUESTS = 1_000;

/** A path of a process, as callers reach it. */
export interface CallerPath {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly host: string;
}

/** What one caller sends until its connection is closed or the test ends. */
export type CallerKind = (
  caller: Caller,
  path: CallerPath,
) => Promise<void>;

/** One connection of such a caller. */
class Caller {
  readonly socket: Socket;
  readonly #isOver: () => boolean;

  constructor(address: string, isOver: () => boolean) {
    const [host, port] = address.split(":");
    this.#isOver = isOver;
    this.socket = connect({
      host,
      port: Number(port),
      localAddress: CALLER_IP,
    });
    this.socket.on("error", () => {});
  }

  get isOver(): boolean {
    return this.#isOver() || this.socket.destroyed || !this.socket.writable;
  }

  /** Reads responses, which a caller otherwise leaves unread. */
  read(): void {
    this.socket.resume();
  }

  /** Writes bytes; resolves when the next can be written or all is over. */
  async write(bytes: string | Uint8Array): Promise<void> {
    if (this.isOver || this.socket.write(bytes)) return;
    while (!this.isOver && this.socket.writableNeedDrain) await delay(5);
  }
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function createHead(
  { method, target, host }: CallerPath,
  fields: string,
): string {
  return `${method} ${target} HTTP/1.1\r\nHost: ${host}\r\n` +
    `X-Request-Id: bad-${Math.random()}\r\nX-Deadline-Ms: 5000\r\n` +
    `${fields}\r\n`;
}

/** Writes `bytes` again and again, `count` times. */
async function repeat(
  caller: Caller,
  bytes: Uint8Array,
  count: number,
): Promise<void> {
  for (let sent = 0; sent < count && !caller.isOver; sent += 1) {
    await caller.write(bytes);
  }
}

/** Sends a body of `bytes` in pieces of `pieceBytes` and leaves it open. */
function sendOpenBody(pieceBytes: number): CallerKind {
  return async (caller, path) => {
    caller.read();
    const length = `Content-Length: ${BODY_BYTES}\r\n`;
    await caller.write(createHead(path, length));
    const end = BODY_BYTES - 1;
    for (let at = 0; at < end && !caller.isOver; at += pieceBytes) {
      await caller.write(BODY.subarray(at, Math.min(end, at + pieceBytes)));
      if (at % TURN_BYTES < pieceBytes) await delay(0);
    }
  };
}

/** Sends a body in chunks of `chunkBytes` without its last chunk. */
function sendOpenChunks(chunkBytes: number): CallerKind {
  const chunk = Buffer.concat([
    Buffer.from(`${chunkBytes.toString(16)}\r\n`),
    BODY.subarray(0, chunkBytes),
    Buffer.from("\r\n"),
  ]);
  const perWrite = Math.ceil(TURN_BYTES / chunk.length);
  const written = Buffer.concat(range(perWrite).map(() => chunk));
  const count = Math.floor((BODY_BYTES - 1) / chunkBytes / perWrite);
  return async (caller, path) => {
    caller.read();
    await caller.write(createHead(path, "Transfer-Encoding: chunked\r\n"));
    await repeat(caller, written, count);
  };
}

const sendHugeBody: CallerKind = async (caller, path) => {
  caller.read();
  const length = `Content-Length: ${HUGE_BYTES}\r\n`;
  await caller.write(createHead(path, length));
  await repeat(caller, BODY.subarray(0, TURN_BYTES), HUGE_BYTES / TURN_BYTES);
};

const sendManyFields: CallerKind = async (caller, path) => {
  caller.read();
  const fields = range(JOB_FIELDS).map((index) => `"${index}":""`).join(",");
  const job = `{"Items":[{"Id":"i","Path":"/p/x","Body":"","Tokens":1,` +
    `"Headers":{${fields}}}]}`;
  const body = job.padEnd(BODY_BYTES);
  const length = `Content-Length: ${body.length}\r\n`;
  await caller.write(createHead(path, length));
  await caller.write(body);
};

const sendManyHeaders: CallerKind = async (caller, path) => {
  caller.read();
  const fields = range(HEADER_FIELDS).map((index) =>
    `h${index.toString(36)}:\r\n`
  ).join("");
  const head = createHead(path, `${fields}Content-Length: 1\r\n`);
  while (!caller.isOver) {
    await caller.write(`${head}x`);
    await delay(SLOW_INTERVAL_MS);
  }
};

const pipeline: CallerKind = async (caller, path) => {
  const request = createHead(path, "Content-Length: 0\r\n");
  const requests = Buffer.from(request.repeat(PIPELINED_REQUESTS));
  await repeat(caller, requests, Infinity);
};

/** Sends a byte of a head now and then. */
const sendHeadSlowly: CallerKind = async (caller, path) => {
  caller.read();
  const head = createHead(path, "X-Slow: x\r\n");
  for (let at = 0; at < head.length && !caller.isOver; at += 1) {
    await caller.write(head.slice(at, at + 1));
    await delay(SLOW_INTERVAL_MS);
  }
};

/** Sends a byte of a body now and then. */
const sendBodySlowly: CallerKind = async (caller, path) => {
  caller.read();
  await caller.write(createHead(path, `Content-Length: ${BODY_BYTES}\r\n`));
  while (!caller.isOver) {
    await caller.write("x");
    await delay(SLOW_INTERVAL_MS);
  }
};

/** Sends whole requests on one connection and reads a byte now and then. */
const readSlowly: CallerKind = async (caller, path) => {
  caller.socket.pause();
  while (!caller.isOver) {
    await caller.write(createHead(path, "Content-Length: 0\r\n"));
    caller.socket.read(1);
    await delay(SLOW_INTERVAL_MS);
  }
};

const stopInHead: CallerKind = async (caller, path) => {
  caller.read();
  await caller.write(createHead(path, "X-Half: x\r\n").slice(0, -2));
};

const stopInBody: CallerKind = async (caller, path) => {
  caller.read();
  await caller.write(createHead(path, `Content-Length: ${BODY_BYTES}\r\n`));
  await caller.write(BODY.subarray(0, BODY_BYTES / 2));
};

/** Kinds whose callers keep the process busy with bytes. */
export const BULK_KINDS: Readonly<Record<string, CallerKind>> = {
  "bodies one byte short in one piece": sendOpenBody(BODY_BYTES),
  "bodies one byte short in small pieces": sendOpenBody(SMALL_PIECE_BYTES),
  "bodies in chunks that do not end": sendOpenChunks(16_384),
  "bodies in chunks of one byte": sendOpenChunks(1),
  "bodies far over the limit": sendHugeBody,
  "jobs of very many short fields": sendManyFields,
  "very many short header fields": sendManyHeaders,
  "pipelined requests without reading": pipeline,
  "bodies that stop halfway": stopInBody,
};

/** Kinds whose callers are many and keep their connections open. */
export const SLOW_KINDS: Readonly<Record<string, CallerKind>> = {
  "heads that are sent slowly": sendHeadSlowly,
  "bodies that are sent slowly": sendBodySlowly,
  "responses that are read slowly": readSlowly,
  "heads that stop halfway": stopInHead,
};

/** Callers of one kind that go on until they are closed. */
export class MisbehavingCallers {
  readonly #callers: Caller[];
  #isOver = false;

  constructor(count: number, kind: CallerKind, path: CallerPath) {
    this.#callers = range(count).map(() =>
      new Caller(path.address, () => this.#isOver)
    );
    this.#callers.forEach((caller) => {
      kind(caller, path).catch(() => caller.socket.destroy());
    });
  }

  /** Stops sending; connections stay open. */
  stopSending(): void {
    this.#isOver = true;
  }

  close(): void {
    this.stopSending();
    this.#callers.forEach(({ socket }) => socket.destroy());
  }
}

/** Returns the largest resident memory of a process so far, in bytes. */
export async function readPeakBytes(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * 1_024;
}

/** Returns the number of open descriptors of a process. */
export async function countFiles(pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`)).length;
}
