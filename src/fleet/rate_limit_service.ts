/**
 * Divides the requests that servers with a limit take among the processes that
 * send them. All processes ask the same store host for a server, which needs no
 * durable state: after it has failed, the next one begins without tokens.
 */
import { getServerStart } from "../membership/mod.ts";
import { RequestPacer } from "../policy/mod.ts";
import type { AcquireSendRequest } from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";

/** Time after the last request for which a pacer is kept, in milliseconds. */
const PACER_TTL_MS = 60_000;

/** Time for which a process counts as a sender, in milliseconds. */
const SENDER_TTL_MS = 10_000;

/** Longest wait that a reply states, in milliseconds. */
const MAX_STATED_WAIT_MS = 60_000;

/** Serves the requests for permission to send. */
export class RateLimitService {
  readonly #clock: Clock;
  readonly #pacers = new Map<
    string,
    { pacer: RequestPacer; askedMs: number }
  >();
  readonly #senders = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  acquire(req: AcquireSendRequest) {
    const nowMs = this.#clock.getMonotonicMs();
    this.#senders.delete(req.sender);
    this.#senders.set(req.sender, nowMs);
    removeOlder(this.#senders, (askedMs) => nowMs - askedMs > SENDER_TTL_MS);
    removeOlder(
      this.#pacers,
      ({ askedMs }) => nowMs - askedMs > PACER_TTL_MS,
    );
    const { id = "", bornMs = 0n } = req.server ?? {};
    const key = `${getServerStart({ id, bornMs })}/${req.standIn}`;
    // The other store host may begin to grant again at any time, from what it has
    // saved.
    const pacer = this.#pacers.get(key)?.pacer ??
      new RequestPacer(req.limitPerS, nowMs, { savesTokens: !req.standIn });
    this.#pacers.delete(key);
    this.#pacers.set(key, { pacer, askedMs: nowMs });
    pacer.setLimit(req.limitPerS, nowMs);
    const { isGranted, waitMs } = pacer.request({
      maxWaitMs: req.maxWaitMs,
      isBatch: req.batch,
    }, nowMs);
    return {
      granted: isGranted,
      waitMs: Math.ceil(Math.min(MAX_STATED_WAIT_MS, waitMs)),
      senders: this.#senders.size,
    };
  }
}

/** Removes entries that are too old from a map in the order of their age. */
function removeOlder<V>(
  entries: Map<string, V>,
  isTooOld: (value: V) => boolean,
): void {
  for (const [key, value] of entries) {
    if (!isTooOld(value)) return;
    entries.delete(key);
  }
}
