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
  abstract writeNow(bytes: Buffer): void;
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

  override writeNow(bytes: Buffer): void {
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
  readonly maxWaitingBytes?: number;
  /** Makes the line that says how many were dropped. */
  readonly createDroppedLine: (count: number) => string;
}

/**
 * Lines a second of one process. At the worst of a day one process has some
 * 40 requests a second that end badly, with two lines each.
 */
const DEFAULT_LINES_PER_S = 100;

/** Seconds of lines that may come at once: a burst lasts some seconds. */
const BURST_S = 3;

/** Bytes that wait for a reader that is slow: some 2,000 lines. */
const DEFAULT_MAX_WAITING_BYTES = 512 * 1024;

/** Least time between two lines about dropped lines, in milliseconds. */
const DROPPED_LINE_MS = 1_000;

const MS_PER_S = 1_000;

/** The lines of one process. */
export class LineWriter {
  readonly #sink: ByteSink;
  readonly #clock: Clock;
  readonly #linesPerS: number;
  readonly #maxWaitingBytes: number;
  readonly #createDroppedLine: (count: number) => string;
  #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #bucket: number;
  #filledMs: number;
  #dropped = 0;
  #droppedSaidMs = -Infinity;

  constructor(options: LineWriterOptions) {
    this.#sink = options.sink;
    this.#clock = options.clock ?? new SystemClock();
    this.#linesPerS = options.linesPerS ?? DEFAULT_LINES_PER_S;
    this.#maxWaitingBytes = options.maxWaitingBytes ??
      DEFAULT_MAX_WAITING_BYTES;
    this.#createDroppedLine = options.createDroppedLine;
    this.#bucket = this.#linesPerS * BURST_S;
    this.#filledMs = this.#clock.getMonotonicMs();
  }

  /** Takes a line without its end; importance 1 is dropped last. */
  write(line: string, importance: 0 | 1): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#refill(nowMs);
    if (!this.#hasRoom(importance)) {
      this.#dropped += 1;
      return;
    }
    this.#bucket -= 1;
    this.#sayDropped(nowMs);
    this.#add(line);
  }

  /** Writes all that waits, at the end of the process. */
  flushNow(): void {
    if (this.#dropped > 0) this.#sayDropped(Infinity);
    if (this.#waiting.length > 0) this.#sink.writeNow(this.#takeWaiting());
  }

  #refill(nowMs: number): void {
    const added = (nowMs - this.#filledMs) * this.#linesPerS / MS_PER_S;
    const most = this.#linesPerS * BURST_S;
    this.#bucket = Math.min(most, this.#bucket + added);
    this.#filledMs = nowMs;
  }

  /** What is more important may overdraw as much again. */
  #hasRoom(importance: 0 | 1): boolean {
    const least = -importance * this.#linesPerS * BURST_S;
    const mostBytes = (1 + importance) * this.#maxWaitingBytes;
    return this.#bucket > least && this.#waitingBytes < mostBytes;
  }

  #sayDropped(nowMs: number): void {
    if (this.#dropped === 0) return;
    if (nowMs - this.#droppedSaidMs < DROPPED_LINE_MS) return;
    const count = this.#dropped;
    this.#dropped = 0;
    this.#droppedSaidMs = nowMs;
    this.#add(this.#createDroppedLine(count));
  }

  #add(line: string): void {
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    if (this.#isWriting) return;
    this.#isWriting = true;
    setImmediate(() => this.#writeWaiting());
  }

  #takeWaiting(): Buffer {
    const bytes = Buffer.from(`${this.#waiting.join("\n")}\n`);
    this.#waiting = [];
    this.#waitingBytes = 0;
    return bytes;
  }

  #writeWaiting(): void {
    if (this.#waiting.length === 0) {
      this.#isWriting = false;
      return;
    }
    this.#sink.write(this.#takeWaiting(), (error) => {
      // A reader that has gone takes nothing more; the lines count as dropped.
      if (error !== undefined) this.#dropped += 1;
      this.#writeWaiting();
    });
  }
}
