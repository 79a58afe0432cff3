/**
 * Grants permissions on behalf of one store host, so that two hosts don't grant for the
 * same server at a time. A host grants only while it is in contact with the leader of
 * the store group: one that is cut off from it leaves its servers to their stand-ins. A
 * stand-in asks the host that grants for the server first, which may be out of reach
 * only for the process that asks.
 */
import { create } from "@bufbuild/protobuf";
import { getServerStart } from "../membership/mod.ts";
import {
  type AcquireSendReply,
  type AcquireSendRequest,
  AcquireSendRequestSchema,
  MessageCode,
  Verdict,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { getReason, ServingError } from "../sys/errors.ts";
import type { Log } from "../sys/log.ts";
import { selectByRendezvous } from "../sys/random.ts";
import type { GranterCaller } from "./rate_limit_client.ts";
import type { RateLimitService } from "./rate_limit_service.ts";

/** Options of a {@linkcode RateLimitGranter}. */
export interface RateLimitGranterOptions {
  readonly service: Pick<RateLimitService, "acquire">;
  /** Whether this host is in contact with the leader of its group. */
  readonly isCurrent: () => boolean;
  /** Returns the addresses of the store hosts that grant permissions. */
  readonly getGranters: () => readonly string[];
  readonly caller: Pick<GranterCaller, "acquire">;
  readonly clock: Clock;
  readonly log: Log;
}

type AcquireReply = Pick<AcquireSendReply, "granted" | "waitMs" | "senders">;

/** Timeout of a request that is passed on, in milliseconds: half of its sender's. */
const PASSED_TIMEOUT_MS = 50;

/**
 * Time for which requests are not passed on to a host that did not reply, in
 * milliseconds.
 */
const SILENT_BACKOFF_MS = 250;

/** Answers the requests for permission that reach one store host. */
export class RateLimitGranter {
  readonly #options: RateLimitGranterOptions;
  /** Monotonic times from which on silent hosts are asked again, by address. */
  readonly #retryMs = new Map<string, number>();

  constructor(options: RateLimitGranterOptions) {
    this.#options = options;
  }

  /** Rejects if this host must not grant now. */
  async acquire(req: AcquireSendRequest): Promise<AcquireReply> {
    const passed = req.standIn ? await this.#tryPassOn(req) : undefined;
    if (passed !== undefined) return passed;
    const { service, isCurrent } = this.#options;
    if (!isCurrent()) {
      throw new ServingError(MessageCode.STATE_UNREACHABLE, {
        verdict: Verdict.NOT_RUN,
        parameters: { reason: "no contact with the leader of the group" },
      });
    }
    return service.acquire(req);
  }

  /** Asks the host that grants for a server; undefined if it doesn't reply. */
  async #tryPassOn(req: AcquireSendRequest): Promise<AcquireReply | undefined> {
    const { getGranters, caller, clock, log } = this.#options;
    const { id = "", bornMs = 0n } = req.server ?? {};
    const [granter] = selectByRendezvous(
      getServerStart({ id, bornMs }),
      getGranters(),
      { getName: (address) => address, count: 1 },
    );
    if (granter === undefined) return undefined;
    if (clock.getMonotonicMs() < (this.#retryMs.get(granter) ?? -Infinity)) {
      return undefined;
    }
    try {
      const passed = create(AcquireSendRequestSchema, {
        ...req,
        standIn: false,
      });
      const reply = await caller.acquire(granter, passed, PASSED_TIMEOUT_MS);
      this.#retryMs.delete(granter);
      return reply;
    } catch (error) {
      const retryMs = clock.getMonotonicMs() + SILENT_BACKOFF_MS;
      this.#retryMs.set(granter, retryMs);
      log.info("limit_granted_as_stand_in", {
        address: granter,
        server: id,
        reason: getReason(error),
      });
      return undefined;
    }
  }
}
