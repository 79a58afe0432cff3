/**
 * Tells whether the sender of an answer that ended with its connection is still
 * there. When a process is gone, the system closes its connections as the process
 * does after a whole answer, and nothing listens on its address any more.
 */
import { type ConnectProbe, ProbeResult } from "./connect_probe.ts";
import type { Log } from "./log.ts";

/** An answer whose connection its sender closed. */
export interface EndedAnswer {
  readonly requestId: string;
  /** Name of the sender for the log. */
  readonly sender: string;
  readonly address: string;
}

/** Checks ends of answers. */
export class AnswerEndCheck {
  readonly #probe: ConnectProbe;
  readonly #log: Log;

  constructor(options: { probe: ConnectProbe; log: Log }) {
    this.#probe = options.probe;
    this.#log = options.log;
  }

  /**
   * Whether a process listens on the sender's address now. A sender that can't be
   * asked counts as gone: what it sent may be a part.
   */
  async isSenderThere(answer: EndedAnswer): Promise<boolean> {
    // An older result says nothing about a sender that has just ended.
    const result = await this.#probe.probeAnew(answer.address);
    const { connected, reset } = ProbeResult;
    const isThere = result === connected || result === reset;
    this.#log.info("unframed_answer_ended", {
      request: answer.requestId,
      server: answer.sender,
      probe: result,
      whole: isThere,
    });
    return isThere;
  }
}
