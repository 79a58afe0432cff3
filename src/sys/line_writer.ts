/**
 * Asynchronous output of log lines. Logging never blocks on a slow reader: the
 * lines of one turn of the event loop are written together in the background,
 * and the rate of lines is limited. When too many lines are pending, those of
 * low priority are dropped first, and the number of dropped lines is logged.
 */
import { write, writeSync } from "node:fs";
import { type Clock, SystemClock } from "./clock.ts";

/** Destination of the output; `done` is called when a write has completed. */
export abstract class ByteSink {
  abstract write(bytes: Buffer, done: (error?: unknown) => void): void;
  /** Writes synchronously, for use when the process exits. */
  abstract writeSync(bytes: Buffer): void;
}

/** Standard output, or another open file. */
export class FileSink extends ByteSink {
  readonly #fd: number;

  constructor(fd: number) {
    super();
    this.#fd = fd;
  }

  override write(bytes: Buffer, done: (error?: unknown) => void): void {
    write(this.#fd, bytes, 0, bytes.length, null, (error, written) => {
      if (error !== null || written === bytes.length) done(error ?? undefined);
      else this.write(bytes.subarray(written), done);
    });
  }

  override writeSync(bytes: Buffer): void {
    try {
      writeSync(this.#fd, bytes);
    } catch {
      // The reader is gone, so the failure cannot be reported anywhere.
    }
  }
}

/** Options of a {@linkcode LineWriter}. */
export interface LineWriterOptions {
  readonly sink: ByteSink;
  readonly clock?: Clock;
  /** Average lines per second; bursts of priority 1 may be twice as large. */
  readonly linesPerS?: number;
  /** Maximum size of the pending lines; twice as much for priority 1. */
  readonly maxPendingBytes?: number;
  /** Formats the line that reports the number of dropped lines. */
  readonly formatDroppedLine: (count: number) => string;
}

/**
 * Average lines per second of one process. In the worst period of a day, about
 * 40 requests per second of a process fail, and each logs two lines.
 */
const DEFAULT_LINES_PER_S = 100;

/** Capacity of the token bucket in seconds: bursts last some seconds. */
const BURST_S = 3;

/** Bytes that may be pending for a slow reader: about 2,000 lines. */
const DEFAULT_MAX_PENDING_BYTES = 512 * 1024;

/** Minimum time between two reports of dropped lines, in milliseconds. */
const DROP_REPORT_INTERVAL_MS = 1_000;

const MS_PER_S = 1_000;

/** Writes the log lines of one process. */
export class LineWriter {
  readonly #sink: ByteSink;
  readonly #clock: Clock;
  readonly #linesPerS: number;
  readonly #maxPendingBytes: number;
  readonly #formatDroppedLine: (count: number) => string;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #bucket: number;
  #lastRefillMs: number;
  #droppedCount = 0;
  #lastDropReportMs = -Infinity;

  constructor(options: LineWriterOptions) {
    this.#sink = options.sink;
    this.#clock = options.clock ?? new SystemClock();
    this.#linesPerS = options.linesPerS ?? DEFAULT_LINES_PER_S;
    this.#maxPendingBytes = options.maxPendingBytes ??
      DEFAULT_MAX_PENDING_BYTES;
    this.#formatDroppedLine = options.formatDroppedLine;
    this.#bucket = this.#linesPerS * BURST_S;
    this.#lastRefillMs = this.#clock.getMonotonicMs();
  }

  /** Writes a line, given without line end; priority 1 is dropped last. */
  write(line: string, priority: 0 | 1): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#refill(nowMs);
    if (!this.#canAccept(priority)) {
      this.#droppedCount += 1;
      return;
    }
    this.#bucket -= 1;
    this.#reportDropped(nowMs);
    this.#enqueue(line);
  }

  /** Writes all pending lines synchronously, when the process exits. */
  flushSync(): void {
    if (this.#droppedCount > 0) this.#reportDropped(Infinity);
    if (this.#pending.length > 0) this.#sink.writeSync(this.#takePending());
  }

  #refill(nowMs: number): void {
    const added = (nowMs - this.#lastRefillMs) * this.#linesPerS / MS_PER_S;
    const capacity = this.#linesPerS * BURST_S;
    this.#bucket = Math.min(capacity, this.#bucket + added);
    this.#lastRefillMs = nowMs;
  }

  /** Priority 1 may overdraw the bucket by its capacity. */
  #canAccept(priority: 0 | 1): boolean {
    const minBucket = -priority * this.#linesPerS * BURST_S;
    const maxBytes = (1 + priority) * this.#maxPendingBytes;
    return this.#bucket > minBucket && this.#pendingBytes < maxBytes;
  }

  #reportDropped(nowMs: number): void {
    if (this.#droppedCount === 0) return;
    if (nowMs - this.#lastDropReportMs < DROP_REPORT_INTERVAL_MS) return;
    const count = this.#droppedCount;
    this.#droppedCount = 0;
    this.#lastDropReportMs = nowMs;
    this.#enqueue(this.#formatDroppedLine(count));
  }

  #enqueue(line: string): void {
    this.#pending.push(line);
    this.#pendingBytes += line.length;
    if (this.#isWriting) return;
    this.#isWriting = true;
    setImmediate(() => this.#writePending());
  }

  #takePending(): Buffer {
    const bytes = Buffer.from(`${this.#pending.join("\n")}\n`);
    this.#pending = [];
    this.#pendingBytes = 0;
    return bytes;
  }

  #writePending(): void {
    if (this.#pending.length === 0) {
      this.#isWriting = false;
      return;
    }
    this.#sink.write(this.#takePending(), (error) => {
      // The reader is gone, so the lines of this write count as dropped.
      if (error !== undefined) this.#droppedCount += 1;
      this.#writePending();
    });
  }
}
