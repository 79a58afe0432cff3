/**
 * Permissions for servers with a limit, with simulated time: many processes ask
 * store hosts that reply late, stall, crash and come back. Load pattern: each
 * process always wants more than its part.
 */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { GranterCaller, RateLimitClient } from "../fleet/rate_limit_client.ts";
import { RateLimitGranter } from "../fleet/rate_limit_granter.ts";
import { RateLimitService } from "../fleet/rate_limit_service.ts";
import { getServerStart, ServerLimits } from "../membership/mod.ts";
import {
  type AcquireSendReply,
  AcquireSendRequestSchema,
} from "../schema/mod.ts";
import { ManualClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom, selectByRendezvous } from "../sys/random.ts";

/** Time over which the platform counts requests, in milliseconds. */
const WINDOW_MS = 4_000;

const STEP_MS = 5;

/** Steps between two requests of one process. */
const ASK_STEPS = 10;

/** One-way latency between two processes, in milliseconds. */
const LATENCY_MS = 1;

/** Time that a crashed store host needs to start again, in milliseconds. */
const RESTART_MS = 400;

const LIMITS_PER_S = [0.5, 2, 3, 8, 40];

const SERVER = { id: "i-limited", bornMs: 1n };

type AcquireReply = Pick<AcquireSendReply, "granted" | "waitMs" | "senders">;

/**
 * Time from a cut between store hosts until one that is cut off knows it, in
 * milliseconds. Gateways ask a stand-in after 1 s without a reply.
 */
const CONTACT_LOST_MS = 1_000;

/** A store host that handles nothing while it stalls, and then all at once. */
class SimulatedGranter {
  readonly #clock: ManualClock;
  readonly #getCaller: () => GranterCaller;
  readonly #getGranters: () => readonly string[];
  #service: RateLimitGranter;
  #cutUntilMs = -Infinity;
  /** Time at which the other store hosts were cut off from this one. */
  #isolatedMs = Infinity;
  #blockedUntilMs = -Infinity;
  #downUntilMs = -Infinity;

  constructor(options: {
    readonly clock: ManualClock;
    readonly getCaller: () => GranterCaller;
    readonly getGranters: () => readonly string[];
  }) {
    this.#clock = options.clock;
    this.#getCaller = options.getCaller;
    this.#getGranters = options.getGranters;
    this.#service = this.#createService();
  }

  get isIsolated(): boolean {
    return this.#isolatedMs < Infinity;
  }

  /** Cuts all other store hosts off from this one, or joins them again. */
  setIsolated(isIsolated: boolean): void {
    this.#isolatedMs = isIsolated ? this.#clock.getMonotonicMs() : Infinity;
  }

  #createService(): RateLimitGranter {
    return new RateLimitGranter({
      service: new RateLimitService(this.#clock),
      isCurrent: () =>
        this.#clock.getMonotonicMs() - this.#isolatedMs < CONTACT_LOST_MS,
      getGranters: this.#getGranters,
      caller: {
        acquire: (...args) => this.#getCaller().acquire(...args),
      },
      clock: this.#clock,
      log: createSilentLog(),
    });
  }

  stall(ms: number): void {
    this.#blockedUntilMs = this.#clock.getMonotonicMs() + ms;
  }

  /** Loses all messages for some time. */
  cut(ms: number): void {
    this.#cutUntilMs = this.#clock.getMonotonicMs() + ms;
  }

  /** Loses what the host knew. */
  crash(downMs: number): void {
    this.#downUntilMs = this.#clock.getMonotonicMs() + downMs;
    this.#service = this.#createService();
  }

  /** Resolves once the host has handled the request. */
  async acquire(
    req: Parameters<GranterCaller["acquire"]>[1],
  ): Promise<AcquireReply> {
    await this.#clock.delay(LATENCY_MS);
    if (this.#clock.getMonotonicMs() < this.#downUntilMs) {
      throw new Error("connection refused");
    }
    if (this.#clock.getMonotonicMs() < this.#cutUntilMs) {
      return new Promise(() => {});
    }
    const blockedMs = this.#blockedUntilMs - this.#clock.getMonotonicMs();
    if (blockedMs > 0) await this.#clock.delay(blockedMs);
    const reply = await this.#service.acquire(
      create(AcquireSendRequestSchema, req),
    );
    await this.#clock.delay(LATENCY_MS);
    return reply;
  }
}

class SimulatedCaller extends GranterCaller {
  readonly #clock: ManualClock;
  readonly #granters: ReadonlyMap<string, SimulatedGranter>;
  readonly #isReachable: (granter: SimulatedGranter) => boolean;

  constructor(
    clock: ManualClock,
    granters: ReadonlyMap<string, SimulatedGranter>,
    isReachable: (granter: SimulatedGranter) => boolean,
  ) {
    super();
    this.#clock = clock;
    this.#granters = granters;
    this.#isReachable = isReachable;
  }

  override acquire(
    address: string,
    req: Parameters<GranterCaller["acquire"]>[1],
    timeoutMs: number,
  ): Promise<AcquireReply> {
    const granter = this.#granters.get(address);
    if (granter === undefined) throw new Error(`no granter "${address}"`);
    return Promise.race([
      this.#isReachable(granter)
        ? granter.acquire(req)
        : new Promise<never>(() => {}),
      this.#clock.delay(timeoutMs).then(() => {
        throw new Error("no answer in time");
      }),
    ]);
  }

  override close(): void {}
}

/** Processes that send to one server with a limit. */
class SimulatedSenders {
  readonly clock = new ManualClock();
  readonly granters = new Map(
    ["state-1", "state-2", "state-3"].map((name) => [
      name,
      this.#createGranter(name),
    ]),
  );
  /** Store hosts in the order in which they are asked. */
  readonly order: readonly SimulatedGranter[];
  readonly sentMs: number[] = [];
  /** Whether a process reaches a store host, by their position and name. */
  isReachable: (index: number, granter: SimulatedGranter) => boolean = () =>
    true;
  readonly #clients: readonly RateLimitClient[];

  constructor(options: { readonly limitPerS: number; readonly count: number }) {
    const random = new SeededRandom(options.count);
    this.#clients = Array.from({ length: options.count }, (_, index) => {
      const limits = new ServerLimits();
      limits.recordResponse(SERVER, options.limitPerS, { sentMs: 0, nowMs: 0 });
      return new RateLimitClient({
        name: `gateway-${index}`,
        limits,
        getGranters: () => [...this.granters.keys()],
        caller: new SimulatedCaller(
          this.clock,
          this.granters,
          (granter) => this.isReachable(index, granter),
        ),
        clock: this.clock,
        random,
        log: createSilentLog(),
        metrics: new Metrics({ prefix: "test" }),
      });
    });
    this.order = selectByRendezvous(
      getServerStart(SERVER),
      [...this.granters],
      { getName: ([name]) => name, count: 3 },
    ).map(([, granter]) => granter);
  }

  #createGranter(name: string): SimulatedGranter {
    const isJoined = (granter: SimulatedGranter) =>
      !granter.isIsolated && this.granters.get(name)?.isIsolated === false;
    return new SimulatedGranter({
      clock: this.clock,
      getCaller: () => new SimulatedCaller(this.clock, this.granters, isJoined),
      getGranters: () => [...this.granters.keys()],
    });
  }

  /** Lets each process ask each {@linkcode ASK_STEPS} steps. */
  async run(ms: number, onStep: () => void = () => {}): Promise<void> {
    const endMs = this.clock.getMonotonicMs() + ms;
    while (this.clock.getMonotonicMs() < endMs) {
      this.#clients.forEach((client, index) => {
        const step = Math.floor(this.clock.getMonotonicMs() / STEP_MS);
        if (step % ASK_STEPS === index % ASK_STEPS) this.#send(client);
      });
      onStep();
      await this.#advance(STEP_MS);
    }
  }

  /** Lets time pass in which no process asks. */
  async pause(ms: number): Promise<void> {
    this.clock.advance(ms);
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** Most requests that the server got in any window. */
  getMaxCount(): number {
    return Math.max(
      0,
      ...this.sentMs.map((start) =>
        this.sentMs.filter((ms) => ms >= start && ms < start + WINDOW_MS).length
      ),
    );
  }

  #send(client: RateLimitClient): void {
    if (!client.mayAsk(SERVER, false)) return;
    client.acquire(SERVER, { isBatch: false, maxWaitMs: 0 })
      .then((isGranted) => {
        if (isGranted) this.sentMs.push(this.clock.getMonotonicMs());
      });
  }

  async #advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += LATENCY_MS) {
      this.clock.advance(LATENCY_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/** Requests that a server with a limit may get in the window, by the platform. */
function getAllowedCount(limitPerS: number): number {
  return 1.5 * limitPerS * WINDOW_MS / 1_000 + 5;
}

describe("permissions for a server with a limit", () => {
  // Guards against two store hosts that both grant, as replies of the first are late.
  [2, 8, 40].forEach((limitPerS) =>
    it(`of ${limitPerS} a second hold while the store host stalls`, async () => {
      const senders = new SimulatedSenders({ limitPerS, count: 8 });
      await senders.run(4_000);
      for (const stallMs of [150, 300, 150, 600, 200]) {
        senders.order[0]?.stall(stallMs);
        await senders.run(2_500);
      }
      expect(senders.getMaxCount()).at.most(getAllowedCount(limitPerS));
    })
  );

  // Guards against a burst from what a store host saved before another one took over.
  [2, 8, 40].forEach((limitPerS) =>
    it(`of ${limitPerS} a second hold when a store host is reached again`, async () => {
      const senders = new SimulatedSenders({ limitPerS, count: 30 });
      await senders.run(100);
      await senders.pause(10_000);
      senders.order[0]?.cut(6_000);
      await senders.run(10_000);
      expect(senders.getMaxCount()).at.most(getAllowedCount(limitPerS));
    })
  );

  for (let seed = 1; seed <= 20; seed += 1) {
    // Guards against tokens that two store hosts have saved for the same time.
    it(`hold while store hosts stall and crash, seed ${seed}`, async () => {
      const random = new SeededRandom(seed);
      const limitPerS = LIMITS_PER_S[seed % LIMITS_PER_S.length] ?? 1;
      const senders = new SimulatedSenders({ limitPerS, count: 2 + 3 * seed });
      await senders.run(20_000, () => {
        if (random.getFraction() > STEP_MS / 2_500) return;
        const granter = senders.order[random.getIntegerBelow(2)];
        const ms = 100 + random.getIntegerBelow(1_500);
        const fault = random.getFraction();
        if (fault < 0.5) granter?.stall(ms);
        else if (fault < 0.75) granter?.cut(ms);
        else granter?.crash(RESTART_MS + ms);
      });
      expect(senders.getMaxCount()).at.most(getAllowedCount(limitPerS));
    });
  }

  // Guards against requests that all processes save up for, and send together, while
  // each takes its part.
  [2, 10].forEach((limitPerS) =>
    it(`of ${limitPerS} a second hold among 60 processes while no store host replies`, async () => {
      const senders = new SimulatedSenders({ limitPerS, count: 60 });
      await senders.run(5_000);
      senders.order.forEach((granter) => granter.cut(120_000));
      await senders.run(10_000);
      await senders.pause(60_000);
      const sentBefore = senders.sentMs.length;
      await senders.run(20_000);
      expect(senders.sentMs.length - sentBefore).at.least(0.3 * limitPerS * 20);
      expect(senders.getMaxCount()).at.most(getAllowedCount(limitPerS));
    })
  );

  // Guards against LIMIT: two store hosts that both grant all of a limit, as some
  // processes reach the one and some the other.
  [2, 16, 40].forEach((limitPerS) => {
    it(`of ${limitPerS} a second hold while the store host is cut off from the others`, async () => {
      const senders = new SimulatedSenders({ limitPerS, count: 8 });
      await senders.run(4_000);
      const [first] = senders.order;
      first?.setIsolated(true);
      senders.isReachable = (index, granter) => granter !== first || index < 4;
      await senders.run(8_000);
      first?.setIsolated(false);
      senders.isReachable = () => true;
      await senders.run(6_000);
      expect(senders.getMaxCount()).at.most(getAllowedCount(limitPerS));
    });

    it(`of ${limitPerS} a second hold while some processes don't reach the store host`, async () => {
      const senders = new SimulatedSenders({ limitPerS, count: 8 });
      await senders.run(4_000);
      const [first] = senders.order;
      senders.isReachable = (index, granter) => granter !== first || index < 4;
      await senders.run(8_000);
      expect(senders.getMaxCount()).at.most(getAllowedCount(limitPerS));
      const sentBefore = senders.sentMs.length;
      await senders.run(4_000);
      expect(senders.sentMs.length - sentBefore).at.least(0.9 * 4 * limitPerS);
    });
  });

  // Guards against servers left without requests once their store host is lost.
  it("are granted by another store host while the first is down", async () => {
    const senders = new SimulatedSenders({ limitPerS: 5, count: 8 });
    await senders.run(2_000);
    senders.order[0]?.crash(60_000);
    await senders.run(2_000);
    const sentBefore = senders.sentMs.length;
    await senders.run(10_000);
    expect(senders.sentMs.length - sentBefore).at.least(0.9 * 5 * 10);
    expect(senders.getMaxCount()).at.most(getAllowedCount(5));
  });
});
