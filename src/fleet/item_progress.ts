/**
 * Output of one item in one process, across the attempts of a chain: each
 * attempt continues after the last event of the one before. The number of the
 * chain tells its parts in the log from those of other processes, whose text
 * differs although the events have the same numbers.
 */
import {
  type EventAnswer,
  EventStream,
  EventStreamError,
  type NumberedEvent,
} from "../relay/mod.ts";
import { type ItemProgressRecord, joinProgressParts } from "../state/mod.ts";
import type { Random } from "../sys/random.ts";

/** An event and the run that brought it. */
interface RunEvent extends NumberedEvent {
  readonly run: number;
}

/** Output that continues what is recorded. */
export interface UnrecordedOutput {
  readonly after: number;
  readonly last: number;
  readonly text: string;
}

/** Exclusive limit of the numbers of chains. */
const CHAIN_LIMIT = Number.MAX_SAFE_INTEGER;

/**
 * Maximum size of the output that an item may produce here, in bytes. A larger
 * text would not fit into a page of results.
 */
const MAX_TEXT_BYTES = 1 << 20;

/**
 * Number of successive responses that end with their connection and bring no
 * output after which there is none. One alone may have been cut off at once.
 */
const MIN_EMPTY_UNDELIMITED_ENDS = 2;

/** Options of an {@linkcode ItemProgress}. */
export interface ItemProgressOptions {
  readonly random: Random;
  /** Recorded output that the chain continues; by default it starts anew. */
  readonly recorded?: ItemProgressRecord;
}

/** Output that an item has produced so far. */
export class ItemProgress {
  readonly #random: Random;
  #stream: EventStream;
  /** Answer of the current run. */
  #answer: EventAnswer<NumberedEvent>;
  #chain: bigint;
  /** Number of the event after which the chain began. */
  #chainAfter: number;
  /** Output up to that event. */
  #restored: string | undefined;
  /** Software version of the servers that made the output; empty if unknown. */
  #softwareVersion: string;
  readonly #events: RunEvent[] = [];
  #eventBytes = 0;
  /** Run in progress, or the last one. */
  #run = 0;
  /**
   * Successive responses without output after the same event that ended with their
   * connection.
   */
  #emptyUndelimitedEnds = 0;
  /**
   * Number of the event after which a whole response ended last, 0 for none;
   * undefined if none has ended.
   */
  #endedAfter: number | undefined;

  constructor({ random, recorded }: ItemProgressOptions) {
    this.#random = random;
    this.#chain = createChain(random);
    this.#stream = new EventStream(recorded?.last);
    this.#answer = this.#stream.readAnswer();
    this.#chainAfter = recorded?.last ?? 0;
    this.#softwareVersion = recorded?.softwareVersion ?? "";
    this.#restored = recorded === undefined
      ? undefined
      : Buffer.from(joinProgressParts(recorded.parts)).toString("utf8");
  }

  /** Number of the chain. */
  get chain(): bigint {
    return this.#chain;
  }

  /** Number of the event after which the chain began; 0 for the first event. */
  get chainAfter(): number {
    return this.#chainAfter;
  }

  /**
   * Software version of the servers that made the output; empty if it is unknown
   * because another build recorded the output.
   */
  get softwareVersion(): string {
    return this.#softwareVersion;
  }

  /** Whether there is output, which only certain servers may continue. */
  get hasEvents(): boolean {
    return (this.last ?? 0) > 0;
  }

  /** Records the version of the server at which the next attempt starts. */
  startAt(softwareVersion: string): void {
    if (!this.hasEvents) this.#softwareVersion = softwareVersion;
  }

  /** Begins a run; `run` is its number in the log of this process. */
  startRun(run: number): void {
    this.#run = run;
  }

  /**
   * Runs by the events of the text that they brought, for the log, such as
   * `1-40:recorded,41-60:7`.
   */
  describeEvents(): string {
    const runs = [...new Set(this.#events.map(({ run }) => run))];
    const own = runs.map((run) => {
      const events = this.#events.filter((event) => event.run === run);
      return `${events[0]?.number}-${events.at(-1)?.number}:${run}`;
    });
    return this.#restored === undefined
      ? own.join()
      : [`1-${this.#chainAfter}:recorded`, ...own].join();
  }

  /** Number of the last event; undefined before the first event. */
  get last(): number | undefined {
    return this.#stream.last;
  }

  /** Data of all events in order, separated by line feeds. */
  get text(): string {
    const own = this.#events.map(({ data }) => data);
    return [...this.#restored === undefined ? [] : [this.#restored], ...own]
      .join("\n");
  }

  /**
   * Output that the recorded output lacks; undefined if there is none, or if the
   * recorded output belongs to another chain that this one doesn't continue.
   */
  tryGetUnrecorded(
    recorded: Pick<ItemProgressRecord, "last" | "chain"> | undefined,
  ): UnrecordedOutput | undefined {
    const after = recorded?.last ?? 0;
    const last = this.last ?? 0;
    const isOwn = recorded?.chain === this.#chain || after === this.#chainAfter;
    if (!isOwn || last <= after) return undefined;
    const text = this.#events
      .filter(({ number }) => number > after)
      .map(({ data }) => data).join("\n");
    return { after, last, text };
  }

  /** Begins to read an answer to a request for the output after the last event. */
  startAnswer(): void {
    this.#answer = this.#stream.readAnswer();
  }

  /** Whether the answer so far ends inside an event. */
  get isInsideEvent(): boolean {
    return this.#answer.isInsideEvent;
  }

  /**
   * Appends the events that are complete with a chunk of the answer. Throws if the answer
   * is not the output that was asked for, or if the output is too long. Output that the
   * answer can't be continued after is discarded: a server that can't go on after an
   * event runs the item from its beginning.
   */
  appendChunk(chunk: Buffer): void {
    const { bytes, events, fault } = this.#answer.push(chunk);
    this.#eventBytes += bytes.length;
    if (this.#eventBytes > MAX_TEXT_BYTES) {
      this.reset();
      throw new Error(`the output is longer than ${MAX_TEXT_BYTES} bytes`);
    }
    events.forEach((event) => this.#events.push({ ...event, run: this.#run }));
    if (fault === undefined) return;
    if (fault instanceof EventStreamError && fault.isMisnumbered) this.reset();
    throw fault;
  }

  /**
   * Records a whole response that was asked for the output after event `startEvent`.
   * Returns whether it is known now that no output follows. One response alone can't
   * tell if it brought none, and any number of them can't if they end with their
   * connections before the first event.
   */
  recordEnd(
    startEvent: number | undefined,
    { isDelimited }: { isDelimited: boolean },
  ): boolean {
    const last = this.last ?? 0;
    const isEmpty = this.last === startEvent;
    const hadEndedHere = this.#endedAfter === last;
    this.#endedAfter = last;
    if (isDelimited) return !isEmpty || hadEndedHere;
    if (!this.hasEvents) return false;
    const endsBefore = hadEndedHere ? this.#emptyUndelimitedEnds : 0;
    this.#emptyUndelimitedEnds = isEmpty ? endsBefore + 1 : 0;
    return this.#emptyUndelimitedEnds >= MIN_EMPTY_UNDELIMITED_ENDS;
  }

  /** Discards all output and begins a chain with the first event. */
  reset(): void {
    this.#chain = createChain(this.#random);
    this.#stream = new EventStream();
    this.#answer = this.#stream.readAnswer();
    this.#chainAfter = 0;
    this.#restored = undefined;
    this.#events.length = 0;
    this.#eventBytes = 0;
    this.#emptyUndelimitedEnds = 0;
    this.#endedAfter = undefined;
  }
}

/** Creates the number of a new chain; never 0. */
function createChain(random: Random): bigint {
  return BigInt(random.getIntegerBelow(CHAIN_LIMIT) + 1);
}
