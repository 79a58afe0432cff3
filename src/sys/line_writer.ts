/**
 * Lines of a log on their way out of the process. A line never waits for the
 * reader: lines of one turn go out in one write beside the process's work, at
 * most so many a second, and when too many wait, the least important are
 * dropped, counted, and the count is said.
 */
import { write, writeSync } from "node:fs";
import { type Clock, SystemClock } from "./clock.ts";

/** Where bytes go; calls back when they are out. */
export abstract class ByteSink {
  abstract write(bytes: Buffer, done: (error?: unknown) => void): void;
  /** Writes at once; for the end of the process. */
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
      // Nobody reads any more, and there is nowhere left to say so.
    }
  }
}

/** How a {@linkcode LineWriter} is made. */
export interface LineWriterOptions {
  readonly sink: ByteSink;
  readonly clock?: Clock;
  /** Lines a second on the mean; those of importance 1 may be twice as many. */
  readonly linesPerS?: number;
  /** Bytes that may wait for the reader; twice that for importance 1. */
  readonly maxPendingBytes?: number;
  /** Makes the line that says how many were dropped. */
  readonly formatDroppedLine: (count: number) => string;
}

/**
 * Lines a second of one process. At the worst of a day one process has some
 * 40 requests a second that end badly, with two lines each.
 */
const DEFAULT_LINES_PER_S = 100;

/** Seconds of lines that may come at once: a burst lasts some seconds. */
const BURST_S = 3;

/** Bytes that wait for a reader that is slow: some 2,000 lines. */
const DEFAULT_MAX_PENDING_BYTES = 512 * 1024;

/** Least time between two lines about dropped lines, in milliseconds. */
const DROP_REPORT_INTERVAL_MS = 1_000;

const MS_PER_S = 1_000;

/** The lines of one process. */
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

  /** Takes a line without its end; importance 1 is dropped last. */
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

  /** Writes all that waits, at the end of the process. */
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

  /** What is more important may overdraw as much again. */
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
      // A reader that has gone takes nothing more; the lines count as dropped.
      if (error !== undefined) this.#droppedCount += 1;
      this.#writePending();
    });
  }
}
