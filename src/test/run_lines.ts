/**
 * Checks of texts whose lines name the run and the event that they are from, as
 * `RUN-EVENT`: a text follows a line of runs, each of which was asked to go on where it
 * joins the text.
 */

/** A run of an item or a stream at a server. */
export interface RecordedRun {
  /** The item or the stream. */
  readonly id: string;
  /** Number of the event after which the run was asked to go on; 0 for none. */
  readonly after: number;
}

/** Why the lines of a text are not its events in order; undefined if they are. */
export function tryFindJoinFault(
  lines: readonly string[],
  { id, runs, eventCount }: {
    readonly id: string;
    readonly runs: readonly RecordedRun[];
    readonly eventCount: number;
  },
): string | undefined {
  let previous: number | undefined;
  const position = lines.findIndex((line, index) => {
    const [run = -1, event = -1] = line.split("-").map(Number);
    const isOwn = runs[run]?.id === id;
    const isJoined = run === previous || runs[run]?.after === index;
    previous = run;
    return event !== index + 1 || !isOwn || !isJoined;
  });
  const text = lines.join();
  if (position >= 0) return `${text} at event ${position + 1}`;
  return lines.length === eventCount ? undefined : `${text} ends early`;
}
