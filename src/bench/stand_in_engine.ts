/**
 * A simulated model engine that serves real HTTP. It batches continuously: each
 * step emits one token for every running sequence, and takes longer with more
 * sequences and with prompts to prefill. It admits requests in the order of
 * arrival without priorities, and supports resuming and cancelling streams.
 */
import type { Clock, Timer } from "../sys/clock.ts";
import {
  type HttpListener,
  type IncomingMessage,
  listenHttp,
  readBody,
  type ServerResponse,
} from "../sys/http.ts";
import { getPlacementHash } from "../sys/random.ts";
import { Announcer } from "./announcer.ts";

/** Options of a {@linkcode StandInEngine}. */
export interface StandInEngineOptions {
  readonly name: string;
  readonly deployment: string;
  readonly dataCentre: string;
  readonly models: readonly string[];
  readonly entries: readonly string[];
  readonly clock: Clock;
  readonly host?: string;
  /** Duration of a step without sequences, in milliseconds. */
  readonly baseStepMs?: number;
  /** Time that each running sequence adds to a step, in milliseconds. */
  readonly sequenceStepMs?: number;
  /** Prefill time of a prompt token that is not cached, in milliseconds. */
  readonly prefillTokenMs?: number;
  readonly maxSequences?: number;
  /** Number of prompt prefixes that the cache holds. */
  readonly cachedPrefixes?: number;
  readonly announceMs?: number;
  readonly leaseMs?: number;
  /** Age of the load that an announcement reports, in milliseconds. */
  readonly reportLagMs?: number;
  /** Text in a prompt that makes the server crash. */
  readonly crashTrigger?: string;
  /** Whether orders with an older fencing number are rejected. */
  readonly checksFencing?: boolean;
  readonly port?: number;
  readonly incarnation?: number;
}

interface Sequence {
  readonly res: ServerResponse;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly isStreamed: boolean;
  /** Index of the next token. */
  next: number;
  text: string;
}

interface RequestBody {
  prompt?: unknown;
  messages?: unknown;
  max_tokens?: number;
  stream?: boolean;
  resume_text?: string;
  resume_tokens?: number;
}

const DEFAULTS = {
  baseStepMs: 8,
  sequenceStepMs: 0.25,
  prefillTokenMs: 0.05,
  maxSequences: 48,
  cachedPrefixes: 64,
  announceMs: 500,
  leaseMs: 2_000,
  reportLagMs: 300,
};

const CHARACTERS_PER_TOKEN = 4;
const PREFIX_CHARACTERS = 256;
const DEFAULT_MAX_TOKENS = 16;
const MAX_BODY_BYTES = 16 << 20;

/** Returns a prompt's token at an index, which is the same on every engine. */
export function getToken(prompt: string, index: number): string {
  const word = getPlacementHash(`${prompt}\u0000${index}`).toString(36);
  return `${word} `;
}

/** Returns the complete text that engines generate for a prompt. */
export function getCompletion(prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => getToken(prompt, index))
    .join("");
}

/** Runs a stand-in engine and announces it to entries. */
export class StandInEngine {
  readonly #options: StandInEngineOptions & typeof DEFAULTS;
  readonly #running = new Set<Sequence>();
  readonly #waiting: Sequence[] = [];
  readonly #cachedPrefixes = new Map<string, true>();
  readonly #loadSamples: { atMs: number; running: number; waiting: number }[] =
    [];
  readonly #announcer: Announcer;
  #listener: HttpListener | undefined;
  #timer: Timer | undefined;
  #fencingNumber = 0;
  #isFrozen = false;
  /** Duration of the current step, in milliseconds. */
  #stepMs = 0;
  /** Time at which the next step is due, on the monotonic clock. */
  #dueMs = 0;
  address = "";
  /** Tokens emitted for all sequences. */
  tokenCount = 0;
  requestCount = 0;
  /** Action and subject of each accepted order. */
  readonly receivedOrders: string[] = [];
  /** Text in a prompt that crashes the server; undefined for none. */
  crashTrigger: string | undefined;
  /** Answers, by status and type, to the next requests that resume a completion. */
  readonly resumeAnswers: { status: number; type: string; body: string }[] = [];
  /** Called after a prompt with the trigger has crashed the server. */
  onCrash: () => void = () => {};

  constructor(options: StandInEngineOptions) {
    this.#options = { ...DEFAULTS, ...options };
    this.crashTrigger = options.crashTrigger;
    const { clock, announceMs, entries, incarnation } = this.#options;
    const currentIncarnation = incarnation ?? Math.floor(clock.getWallMs());
    this.#announcer = new Announcer({
      entries,
      clock,
      intervalMs: announceMs,
      fields: () => ({
        ...this.#sampleLoad(),
        name: options.name,
        incarnation: BigInt(currentIncarnation),
        address: this.address,
        deployment: options.deployment,
        dataCentre: options.dataCentre,
        host: options.host ?? `host-of-${options.name}`,
        models: [...options.models],
        leaseMs: this.#options.leaseMs,
        sequenceLimit: this.#options.maxSequences,
      }),
    });
  }

  get name(): string {
    return this.#options.name;
  }

  /** Number of running and waiting sequences. */
  get load(): number {
    return this.#running.size + this.#waiting.length;
  }

  async start(): Promise<void> {
    this.#listener = await listenHttp(
      `127.0.0.1:${this.#options.port ?? 0}`,
      (req, res) => {
        this.#serve(req, res).catch(() => res.destroy());
      },
    );
    this.address = this.#listener.address;
    await this.#announcer.start();
  }

  /** Leaves the fleet and stops when all open requests have ended. */
  async leave(): Promise<void> {
    await this.#announcer.announceLeaving();
    await this.#listener?.drain();
    this.crash();
  }

  /** Replaces the entries that later announcements are sent to. */
  setEntries(entries: readonly string[]): void {
    this.#announcer.setEntries(entries);
  }

  /** Announces that the server is leaving, but keeps serving. */
  announceLeaving(): Promise<void> {
    return this.#announcer.announceLeaving();
  }

  /** Closes all connections immediately. */
  crash(): void {
    this.#announcer.stop();
    this.#timer?.cancel();
    this.#listener?.close();
    this.#running.clear();
    this.#waiting.length = 0;
  }

  /** Resets the connections of all running sequences. */
  breakStreams(): void {
    [...this.#running].forEach(({ res }) => res.socket?.resetAndDestroy());
  }

  /** Stops emitting tokens and announcing, but keeps connections open. */
  freeze(): void {
    this.#isFrozen = true;
    this.#announcer.stop();
    this.#timer?.cancel();
  }

  /** Records the current load and returns the load of `reportLagMs` ago. */
  #sampleLoad() {
    const { clock, reportLagMs } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const reported = this.#loadSamples.findLast((sample) =>
      sample.atMs <= nowMs - reportLagMs
    );
    this.#loadSamples.push({
      atMs: nowMs,
      running: this.#running.size,
      waiting: this.#waiting.length,
    });
    if (this.#loadSamples.length > 64) this.#loadSamples.shift();
    return {
      running: reported?.running ?? 0,
      waiting: reported?.waiting ?? 0,
      tokenGapMs: Math.round(this.#stepMs),
    };
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? "/";
    if (path === "/health") {
      res.end("ok");
      return;
    }
    const bytes = await readBody(req, MAX_BODY_BYTES);
    const body = JSON.parse(bytes.toString()) as RequestBody;
    if (path === "/admin/orders") {
      this.#handleOrder(body as never, res);
      return;
    }
    this.#handleRequest(body, res);
  }

  #handleOrder(
    order: { fencing_number: number; action: string; subject: string },
    res: ServerResponse,
  ): void {
    const isStale = order.fencing_number < this.#fencingNumber;
    if (isStale && this.#options.checksFencing === true) {
      res.writeHead(409);
      res.end();
      return;
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencing_number);
    this.receivedOrders.push(`${order.action} ${order.subject}`);
    res.end("{}");
  }

  #handleRequest(body: RequestBody, res: ServerResponse): void {
    const prompt = JSON.stringify(body.prompt ?? body.messages ?? "");
    this.requestCount += 1;
    if (this.crashTrigger !== undefined && prompt.includes(this.crashTrigger)) {
      this.crash();
      this.onCrash();
      return;
    }
    const answer = (body.resume_tokens ?? 0) > 0
      ? this.resumeAnswers.shift()
      : undefined;
    if (answer !== undefined) {
      res.writeHead(answer.status, { "content-type": answer.type });
      res.end(answer.body);
      return;
    }
    const sequence: Sequence = {
      res,
      prompt,
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
      isStreamed: body.stream === true,
      next: body.resume_tokens ?? 0,
      text: body.resume_text ?? "",
    };
    res.on("close", () => this.#remove(sequence));
    this.#waiting.push(sequence);
    this.#scheduleStep(0);
  }

  #remove(sequence: Sequence): void {
    this.#running.delete(sequence);
    const index = this.#waiting.indexOf(sequence);
    if (index >= 0) this.#waiting.splice(index, 1);
  }

  #scheduleStep(stepMs: number): void {
    if (this.#timer !== undefined || this.#isFrozen) return;
    const { clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    // A step starts when the previous one was due to end, so that neither late
    // timers nor the stand-in's own processing slow the simulated engine down.
    if (this.#running.size === 0 || this.#dueMs === 0) this.#dueMs = nowMs;
    this.#dueMs += stepMs;
    this.#timer = clock.startTimer(
      Math.max(0, this.#dueMs - nowMs),
      () => {
        this.#timer = undefined;
        this.#runStep();
      },
    );
  }

  /**
   * Emits a token for each running sequence, admits waiting sequences and
   * schedules the next step.
   */
  #runStep(): void {
    const { baseStepMs, sequenceStepMs, prefillTokenMs } = this.#options;
    [...this.#running].forEach((sequence) => this.#emitToken(sequence));
    const freeSlots = this.#options.maxSequences - this.#running.size;
    const admitted = this.#waiting.splice(0, freeSlots);
    admitted.forEach((sequence) => this.#running.add(sequence));
    const prefillTokens = admitted.reduce(
      (sum, sequence) => sum + this.#cachePrefix(sequence),
      0,
    );
    if (this.#running.size === 0) {
      this.#stepMs = 0;
      return;
    }
    this.#stepMs = baseStepMs + sequenceStepMs * this.#running.size +
      prefillTokenMs * prefillTokens;
    this.#scheduleStep(this.#stepMs);
  }

  /** Caches the prompt's prefix and returns the number of tokens to prefill. */
  #cachePrefix(sequence: Sequence): number {
    const prefix = sequence.prompt.slice(0, PREFIX_CHARACTERS);
    const isCached = this.#cachedPrefixes.delete(prefix);
    this.#cachedPrefixes.set(prefix, true);
    if (this.#cachedPrefixes.size > this.#options.cachedPrefixes) {
      const oldest = this.#cachedPrefixes.keys().next().value;
      if (oldest !== undefined) this.#cachedPrefixes.delete(oldest);
    }
    const cachedTokens = isCached
      ? Math.ceil(prefix.length / CHARACTERS_PER_TOKEN)
      : 0;
    return Math.max(0, sequence.promptTokens + sequence.next - cachedTokens);
  }

  #emitToken(sequence: Sequence): void {
    const token = getToken(sequence.prompt, sequence.next);
    sequence.next += 1;
    sequence.text += token;
    this.tokenCount += 1;
    const isLast = sequence.next >= sequence.maxTokens;
    if (sequence.isStreamed) this.#sendTokenEvent(sequence, token, isLast);
    else if (isLast) this.#sendCompletion(sequence);
    if (isLast) this.#running.delete(sequence);
  }

  #sendTokenEvent(sequence: Sequence, token: string, isLast: boolean): void {
    const { res } = sequence;
    if (!res.headersSent) {
      res.writeHead(200, { "content-type": "text/event-stream" });
    }
    const choice = {
      index: 0,
      text: token,
      finish_reason: isLast ? "length" : null,
    };
    res.write(`data: ${JSON.stringify({ choices: [choice] })}\n\n`);
    if (isLast) res.end("data: [DONE]\n\n");
  }

  #sendCompletion(sequence: Sequence): void {
    const choice = { index: 0, text: sequence.text, finish_reason: "length" };
    sequence.res.setHeader("content-type", "application/json");
    sequence.res.end(JSON.stringify({ choices: [choice] }));
  }
}
