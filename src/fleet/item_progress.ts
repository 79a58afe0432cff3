/**
 * Output of one item in one process, across the attempts of a chain: each
 * attempt continues after the last event of the one before. The number of the
 * chain tells its parts in the log from those of other processes, whose text
 * differs although the events have the same numbers.
 */
import { EventSequence, parseEvents } from "../relay/mod.ts";
import { type ItemProgressRecord, joinProgressParts } from "../state/mod.ts";
import type { Random } from "../sys/random.ts";

/** Data of an event. */
interface EventData {
  /** Number of the event, or of the next one if it has none. */
  readonly event: number;
  readonly data: string;
  /** Run that brought it. */
  readonly run: number;
}

/** Consecutive lines of a text that one run brought. */
interface RunLines {
  readonly first: number;
  last: number;
  /** Number of the run; undefined for lines that were restored. */
  readonly run: number | undefined;
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
  #sequence: EventSequence;
  #chain: bigint;
  /** Number of the event after which the chain began. */
  #chainAfter: number;
  /** Output up to that event. */
  #restored: string | undefined;
  /** Software version of the servers that made the output; empty if unknown. */
  #softwareVersion: string;
  readonly #events: EventData[] = [];
  #eventBytes = 0;
  /** Run in progress, or the last one. */
  #run = 0;
  /** Blocks of that run that have data and no number. */
  #unnumberedBlocks = 0;
  /** Successive responses without output that ended with their connection. */
  #emptyUndelimitedEnds = 0;
  /**
   * Number of the event after which a whole response ended last, 0 for none;
   * undefined if none has ended.
   */
  #endedAfter: number | undefined;

  constructor({ random, recorded }: ItemProgressOptions) {
    this.#random = random;
    this.#chain = createChain(random);
    this.#sequence = new EventSequence(recorded?.last);
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
    this.#unnumberedBlocks = 0;
  }

  /** Blocks with data and without a number that the last run brought. */
  get unnumberedBlocks(): number {
    return this.#unnumberedBlocks;
  }

  /**
   * Runs by the lines of the text that they brought, for the log, such as
   * `1-40:recorded,41-60:7`.
   */
  describeLines(): string {
    const restoredLines = this.#restored?.split("\n").length ?? 0;
    const lines: RunLines[] = restoredLines === 0
      ? []
      : [{ first: 1, last: restoredLines, run: undefined }];
    this.#events.forEach(({ run }) => {
      const previous = lines.at(-1);
      const position = (previous?.last ?? 0) + 1;
      if (previous !== undefined && previous.run === run) {
        previous.last = position;
      } else lines.push({ first: position, last: position, run });
    });
    return lines.map(({ first, last, run }) =>
      `${first}-${last}:${run ?? "recorded"}`
    ).join();
  }

  /** Number of the last event; undefined before the first event. */
  get last(): number | undefined {
    return this.#sequence.last;
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
    const last = this.#sequence.last ?? 0;
    const isOwn = recorded?.chain === this.#chain || after === this.#chainAfter;
    if (!isOwn || last <= after) return undefined;
    const text = this.#events
      .filter(({ event }) => event > after && event <= last)
      .map(({ data }) => data).join("\n");
    return { after, last, text };
  }

  /**
   * Appends complete events; returns false on a gap, a repeated event or too much
   * output.
   */
  appendEvents(bytes: Buffer): boolean {
    this.#eventBytes += bytes.length;
    if (this.#eventBytes > MAX_TEXT_BYTES) return false;
    return parseEvents(bytes).every((event) => {
      if (!this.#sequence.accept(event)) return false;
      const { id, data, isEmpty } = event;
      if (isEmpty) return true;
      if (id === undefined) this.#unnumberedBlocks += 1;
      this.#events.push({
        event: id ?? (this.last ?? 0) + 1,
        data,
        run: this.#run,
      });
      return true;
    });
  }

  /**
   * Records a whole response that was asked for the output after event `startEvent`.
   * Returns whether it is known now that no output follows. One response alone can't
   * tell if it brought none.
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
    this.#emptyUndelimitedEnds = isEmpty ? this.#emptyUndelimitedEnds + 1 : 0;
    return this.#emptyUndelimitedEnds >= MIN_EMPTY_UNDELIMITED_ENDS;
  }

  /** Discards all output and begins a chain with the first event. */
  reset(): void {
    this.#chain = createChain(this.#random);
    this.#sequence = new EventSequence(undefined);
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
