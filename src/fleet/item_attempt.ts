/**
 * One attempt of a job's item at a backend server. The text of its events is
 * collected; an attempt that breaks off or gives way goes on after the last
 * whole event.
 */
import type { JobItem } from "../schema/mod.ts";
import { EventSequence, EventSplitter, readEvents } from "../relay/mod.ts";
import { getReason } from "../sys/errors.ts";
import { readBody } from "../sys/http.ts";
import type {
  BackendCaller,
  BackendRequest,
  BackendResponse,
} from "./backend_call.ts";
import type { BackendDialect } from "./dialects.ts";
import type { ServerPermit } from "./server_pool.ts";

/** What an item has produced so far. */
export class ItemProgress {
  #sequence: EventSequence;
  readonly #eventData: string[] = [];
  /** Data of events that are recorded, and the number of the last of them. */
  #recorded: { last: number; count: number };

  /** Starts where a recorded part ends; from the beginning without one. */
  constructor(recorded?: { last: number; text: string }) {
    this.#sequence = new EventSequence(recorded?.last);
    if (recorded !== undefined) this.#eventData.push(recorded.text);
    this.#recorded = {
      last: recorded?.last ?? 0,
      count: this.#eventData.length,
    };
  }

  /** What has come since the last part; undefined when nothing has. */
  tryTakeUnrecorded():
    | { after: number; last: number; text: string }
    | undefined {
    const { last: after, count } = this.#recorded;
    const last = this.#sequence.last ?? 0;
    if (last <= after || this.#eventData.length <= count) return undefined;
    const text = this.#eventData.slice(count).join("\n");
    this.#recorded = { last, count: this.#eventData.length };
    return { after, last, text };
  }

  /** Number of the last event; undefined before the first. */
  get last(): number | undefined {
    return this.#sequence.last;
  }

  /** Data of all events in order, separated by line feeds. */
  get text(): string {
    return this.#eventData.join("\n");
  }

  /** Takes whole events; false when one is missing or came before. */
  appendEvents(bytes: Buffer): boolean {
    return readEvents(bytes).every((event) => {
      if (!this.#sequence.accept(event.id)) return false;
      this.#eventData.push(event.data);
      return true;
    });
  }

  /** Forgets everything: what follows starts from the beginning. */
  reset(): void {
    this.#sequence = new EventSequence(undefined);
    this.#eventData.length = 0;
    this.#recorded = { last: 0, count: 0 };
  }
}

/** How an attempt of an item ended. */
export type AttemptOutcome =
  | { readonly kind: "done" }
  /** The server ran it and failed; counts as an attempt. */
  | { readonly kind: "failed"; readonly reason: string }
  /** No server can ever do it. */
  | { readonly kind: "impossible"; readonly reason: string }
  /** The server did not run it. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** It broke off and may go on elsewhere. */
  | { readonly kind: "broken"; readonly reason: string }
  /** It was stopped here. */
  | { readonly kind: "stopped" };

/** Statuses by which a server says what became of an item. */
const ITEM_FAILED_STATUS = 500;
const ITEM_INVALID_STATUS = 422;

/** Largest error answer that is read, in bytes. */
const MAX_ERROR_BODY_BYTES = 64 * 1024;

/** Runs one attempt to its end. */
export async function runItemAttempt(options: {
  readonly caller: BackendCaller;
  readonly request: BackendRequest;
  readonly place: ServerPermit;
  readonly timeoutMs: number;
  readonly progress: ItemProgress;
  readonly signal: AbortSignal;
}): Promise<AttemptOutcome> {
  const { signal, progress } = options;
  const result = await options.caller.send({
    request: options.request,
    permit: options.place,
    remainingMs: options.timeoutMs,
    resumeAfter: progress.last,
    useNewConnection: false,
    signal,
  });
  if (signal.aborted) return { kind: "stopped" };
  switch (result.kind) {
    case "answer":
      return await readResponse(result.response, progress, signal);
    case "notRun":
      return { kind: "notRun", reason: result.reason };
    case "lost":
      return { kind: "broken", reason: result.reason };
    case "aborted":
      return { kind: "stopped" };
  }
}

async function readResponse(
  response: BackendResponse,
  progress: ItemProgress,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  const destroyBody = () => response.body.destroy();
  signal.addEventListener("abort", destroyBody);
  try {
    return response.status === 200
      ? await readEventStream(response, progress)
      : await readErrorResponse(response);
  } catch (error) {
    return signal.aborted
      ? { kind: "stopped" }
      : { kind: "broken", reason: getReason(error) };
  } finally {
    signal.removeEventListener("abort", destroyBody);
  }
}

async function readEventStream(
  response: BackendResponse,
  progress: ItemProgress,
): Promise<AttemptOutcome> {
  const splitter = new EventSplitter();
  for await (const chunk of response.chunks) {
    const events = splitter.tryTake(chunk);
    if (events === undefined || progress.appendEvents(events.bytes)) continue;
    response.body.destroy();
    progress.reset();
    return { kind: "broken", reason: "an event is missing" };
  }
  const isComplete = response.body.complete && splitter.rest.length === 0;
  return isComplete
    ? { kind: "done" }
    : { kind: "broken", reason: "the answer was cut short" };
}

async function readErrorResponse(
  response: BackendResponse,
): Promise<AttemptOutcome> {
  const reason = `the server answered ${response.status}`;
  await readBody(response.body, MAX_ERROR_BODY_BYTES);
  if (response.status === ITEM_INVALID_STATUS) {
    return { kind: "impossible", reason };
  }
  return response.status === ITEM_FAILED_STATUS
    ? { kind: "failed", reason }
    : { kind: "broken", reason };
}

/** An item as a request to a backend server. */
export function createItemRequest(
  host: string,
  item: JobItem,
  { requestIdHeader, reservedHeaders: ownHeaders }: BackendDialect,
): BackendRequest {
  const headers = item.headers.filter(({ name }) =>
    !ownHeaders.has(name.toLowerCase()) &&
    name.toLowerCase() !== requestIdHeader.toLowerCase()
  ).flatMap(({ name, value }) => [name, value]);
  const { buffer, byteOffset, length } = item.body;
  return {
    requestId: item.id,
    method: "POST",
    target: item.path,
    headers: ["Host", host, requestIdHeader, item.id, ...headers],
    body: Buffer.from(buffer, byteOffset, length),
  };
}
