/**
 * Keeps requests with parts of prompts that crash backend servers from being sent
 * on, on behalf of one process, and tells the other processes what is found out
 * of such parts.
 */
import type { PromptPartSuspicions } from "../../membership/mod.ts";
import {
  MessageCode,
  type PromptPartSuspicion,
  type Verdict,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { ServingError } from "../../sys/errors.ts";
import type { Log } from "../../sys/log.ts";
import { MetricName, type Metrics } from "../../sys/metrics.ts";

/** Options of a {@linkcode PromptPartGuard}. */
export interface PromptPartGuardOptions {
  readonly suspicions: PromptPartSuspicions;
  /** Sends what is known of a part to the other processes. */
  readonly onChange: (suspicion: PromptPartSuspicion) => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Guards the backend servers of one process. Parts are given by their keys. */
export class PromptPartGuard {
  readonly #options: PromptPartGuardOptions;

  constructor(options: PromptPartGuardOptions) {
    this.#options = options;
  }

  /**
   * Time until a request with these parts may run, in milliseconds; 0 if it may.
   */
  getRejectionMs(parts: readonly string[]): number {
    const { suspicions, clock } = this.#options;
    if (suspicions.isEmpty) return 0;
    return suspicions.getRejectionMs(parts, clock.getMonotonicMs());
  }

  /** Throws PROMPT_PART_POISONED if a request with these parts may not run. */
  throwIfRejected(
    parts: readonly string[],
    options: { verdict: Verdict; hasRetryAfter: boolean },
  ): void {
    const { suspicions } = this.#options;
    const rejectionMs = this.getRejectionMs(parts);
    if (rejectionMs === 0) return;
    const part = suspicions.tryGetRejectedPart(parts) ?? "";
    throw new ServingError(MessageCode.PROMPT_PART_POISONED, {
      verdict: options.verdict,
      parameters: { servers: suspicions.getCrashCount(part) },
      retryAfterS: options.hasRetryAfter ? rejectionMs / 1_000 : undefined,
    });
  }

  /** Whether one of these parts was present at a crash. */
  isSuspect(parts: readonly string[]): boolean {
    const { suspicions } = this.#options;
    return parts.some((part) => suspicions.getCrashCount(part) > 0);
  }

  /**
   * Records that a request with these parts is sent, so that no other tries a
   * rejected part at the same time.
   */
  recordStart(parts: readonly string[]): void {
    const { suspicions, clock, log, onChange } = this.#options;
    if (suspicions.isEmpty) return;
    suspicions.recordStart(parts, clock.getMonotonicMs()).forEach((update) => {
      const { part, crashes } = update;
      log.info("prompt_part_tried", { part, crashes: crashes.length });
      onChange(update);
    });
  }

  /** Records that an answer has begun, which proves its parts sound. */
  recordAnswerBegun(parts: readonly string[]): void {
    const { suspicions, clock, log, onChange } = this.#options;
    suspicions.recordProof(parts, clock.getMonotonicMs()).forEach((update) => {
      log.info("prompt_part_cleared", { part: update.part });
      onChange(update);
    });
  }

  /**
   * Records that a start of a server crashed before it began the answer to a
   * request with these parts.
   */
  recordCrash(
    parts: readonly string[],
    { serverStart, request }: { serverStart: string; request: string },
  ): void {
    const { suspicions, clock, log, metrics, onChange } = this.#options;
    const nowMs = clock.getMonotonicMs();
    suspicions.recordCrash(parts, serverStart, nowMs).forEach((update) => {
      const { part, crashes } = update;
      metrics.count(MetricName.promptPartSuspicions);
      log.info("prompt_part_suspected", {
        request,
        part,
        server: serverStart,
        crashes: crashes.length,
        rejected_ms: suspicions.getRejectionMs(parts, nowMs),
      });
      onChange(update);
    });
  }
}
