/**
 * Gateways and store hosts that keep the limits of organisations, with simulated
 * time and a simulated network: messages are delayed and lost, hosts stall, crash
 * and come back, gateways are frozen, and data centres are cut off.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import {
  TokenCaller,
  type TokensRequest,
} from "../fleet/organisation_rate_channel.ts";
import {
  OrganisationRateClient,
  type RateAdmission,
} from "../fleet/organisation_rate_client.ts";
import {
  OrganisationRateService,
  type TokensReply,
} from "../fleet/organisation_rate_service.ts";
import {
  AcquireTokensReplySchema,
  AcquireTokensRequestSchema,
} from "../schema/mod.ts";
import { Clock, ManualClock, type Timer } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";
import { SeededRandom } from "../sys/random.ts";

/** Interval between two steps of the simulation, in milliseconds. */
export const STEP_MS = 5;

/** One-way latency between two processes, in milliseconds. */
const LATENCY_MS = 1;

/** Interval between load reports without a change, in milliseconds. */
const REPORT_MS = 300;

const DATA_CENTRES = 3;

/** A clock that stands still while its gateway is frozen, and so does its wall time. */
class FreezableClock extends Clock {
  readonly #base: ManualClock;
  #lostMs = 0;
  frozenUntilMs = -Infinity;

  constructor(base: ManualClock) {
    super();
    this.#base = base;
  }

  freeze(ms: number): void {
    if (this.isFrozen) return;
    this.frozenUntilMs = this.#base.getMonotonicMs() + ms;
    this.#lostMs += ms;
  }

  get isFrozen(): boolean {
    return this.#base.getMonotonicMs() < this.frozenUntilMs;
  }

  override getWallMs(): number {
    return this.getMonotonicMs();
  }

  override getMonotonicMs(): number {
    const heldBackMs = Math.max(
      0,
      this.frozenUntilMs - this.#base.getMonotonicMs(),
    );
    return this.#base.getMonotonicMs() - this.#lostMs + heldBackMs;
  }

  override startTimer(ms: number, action: () => void): Timer {
    const start = (waitMs: number): Timer =>
      this.#base.startTimer(waitMs, () => {
        const leftMs = this.frozenUntilMs - this.#base.getMonotonicMs();
        if (leftMs > 0) timer = start(leftMs);
        else action();
      });
    let timer = start(ms);
    return { cancel: () => timer.cancel() };
  }
}

/** A store host that handles nothing while it stalls, and then all at once. */
class SimulatedStoreHost {
  readonly dataCentre: number;
  readonly #clock: ManualClock;
  service: OrganisationRateService;
  blockedUntilMs = -Infinity;
  downUntilMs = -Infinity;

  constructor(clock: ManualClock, dataCentre: number) {
    this.#clock = clock;
    this.dataCentre = dataCentre;
    this.service = this.#createService();
  }

  /** Loses what the host knew. */
  crash(downMs: number): void {
    this.downUntilMs = this.#clock.getMonotonicMs() + downMs;
    this.#clock.startTimer(downMs, () => {
      this.service = this.#createService();
    });
  }

  stall(ms: number): void {
    this.blockedUntilMs = this.#clock.getMonotonicMs() + ms;
  }

  get isDown(): boolean {
    return this.#clock.getMonotonicMs() < this.downUntilMs;
  }

  get isBlocked(): boolean {
    return this.#clock.getMonotonicMs() < this.blockedUntilMs;
  }

  #createService(): OrganisationRateService {
    return new OrganisationRateService({
      clock: this.#clock,
      log: createSilentLog(),
      metrics: new Metrics({ prefix: "test" }),
    });
  }
}

/** Sends the requests of one gateway through the simulated network. */
class SimulatedCaller extends TokenCaller {
  readonly #fleet: OrganisationFleet;
  readonly #gateway: SimulatedGateway;

  constructor(fleet: OrganisationFleet, gateway: SimulatedGateway) {
    super();
    this.#fleet = fleet;
    this.#gateway = gateway;
  }

  override acquire(
    address: string,
    req: TokensRequest,
    timeoutMs: number,
  ): Promise<TokensReply> {
    return Promise.race([
      this.#fleet.call(this.#gateway, address, req),
      this.#gateway.clock.delay(timeoutMs).then(() => {
        throw new Error("no reply in time");
      }),
    ]);
  }

  override close(): void {}
}

/** A gateway, which may be restarted. */
export class SimulatedGateway {
  readonly name: string;
  readonly dataCentre: number;
  readonly clock: FreezableClock;
  readonly #fleet: OrganisationFleet;
  client: OrganisationRateClient;

  constructor(fleet: OrganisationFleet, index: number) {
    this.name = `gateway-${index}`;
    this.dataCentre = index % DATA_CENTRES;
    this.clock = new FreezableClock(fleet.clock);
    this.#fleet = fleet;
    this.client = this.#createClient();
  }

  restart(): void {
    this.client.close();
    this.client = this.#createClient();
  }

  #createClient(): OrganisationRateClient {
    return new OrganisationRateClient({
      name: this.name,
      getRoutesVersion: () => this.#fleet.routesVersion,
      getGranters: () => [...this.#fleet.storeHosts.keys()],
      caller: new SimulatedCaller(this.#fleet, this),
      clock: this.clock,
      random: this.#fleet.random,
      log: createSilentLog(),
      metrics: new Metrics({ prefix: "test" }),
    });
  }
}

/** Limit of an organisation. */
export interface SimulatedLimit {
  readonly ratePerS: number;
  readonly burst: number;
}

/** A simulated fleet. */
export class OrganisationFleet {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly storeHosts: ReadonlyMap<string, SimulatedStoreHost>;
  readonly gateways: readonly SimulatedGateway[];
  routesVersion = 1n;
  /** Data centre that is cut off from the others; -1 if none is. */
  cutOff = -1;
  /** Fraction of messages that are lost. */
  lossRate = 0;
  /** Times of admitted requests, by organisation. */
  readonly admittedMs = new Map<string, number[]>();
  requests = 0;
  refused = 0;
  /** Calls to store hosts, by address, and their bytes in both directions. */
  readonly calls = new Map<string, number>();
  bytes = 0;
  /** Requests that waited for a store host. */
  waited = 0;
  #reportedMs = -Infinity;

  constructor(
    { seed, gateways, storeHosts }: {
      seed: number;
      gateways: number;
      storeHosts: number;
    },
  ) {
    this.random = new SeededRandom(seed);
    this.storeHosts = new Map(
      Array.from({ length: storeHosts }, (_, index) => [
        `store-${index}`,
        new SimulatedStoreHost(this.clock, index % DATA_CENTRES),
      ]),
    );
    this.gateways = Array.from(
      { length: gateways },
      (_, index) => new SimulatedGateway(this, index),
    );
  }

  /** Handles a call of a gateway. */
  async call(
    gateway: SimulatedGateway,
    address: string,
    req: TokensRequest,
  ): Promise<TokensReply> {
    const never = () => new Promise<TokensReply>(() => {});
    const host = this.storeHosts.get(address);
    if (host === undefined) throw new Error(`no store host ${address}`);
    const message = create(AcquireTokensRequestSchema, req);
    this.calls.set(address, (this.calls.get(address) ?? 0) + 1);
    this.bytes += toBinary(AcquireTokensRequestSchema, message).length;
    await this.clock.delay(LATENCY_MS);
    if (this.#isLost(gateway, host)) return never();
    if (host.isDown) throw new Error("connect ECONNREFUSED");
    while (host.isBlocked) {
      await this.clock.delay(host.blockedUntilMs - this.clock.getMonotonicMs());
    }
    const reply = host.service.acquire(message);
    const sent = create(AcquireTokensReplySchema, {
      gateways: reply.gateways,
      grants: reply.grants,
    });
    this.bytes += toBinary(AcquireTokensReplySchema, sent).length;
    await this.clock.delay(LATENCY_MS);
    if (this.#isLost(gateway, host)) return never();
    return reply;
  }

  /** Sends a request of an organisation to a gateway. */
  send(
    index: number,
    organisation: SimulatedLimit & { readonly name: string },
  ): void {
    const gateway = this.gateways[index % this.gateways.length];
    if (gateway === undefined || gateway.clock.isFrozen) return;
    this.requests += 1;
    const decision = gateway.client.admit(organisation);
    if (decision instanceof Promise) {
      this.waited += 1;
      decision.then((each) => this.#record(organisation.name, each));
    } else this.#record(organisation.name, decision);
  }

  async run(ms: number, onStep: () => void = () => {}): Promise<void> {
    const endMs = this.clock.getMonotonicMs() + ms;
    while (this.clock.getMonotonicMs() < endMs) {
      onStep();
      this.#report();
      for (let passed = 0; passed < STEP_MS; passed += LATENCY_MS) {
        this.clock.advance(LATENCY_MS);
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
  }

  /** Most requests of an organisation that were admitted in any window. */
  getMaxCount(organisation: string, windowMs: number): number {
    const times = this.admittedMs.get(organisation) ?? [];
    return Math.max(
      0,
      ...times.map((start) =>
        times.filter((ms) => ms >= start && ms < start + windowMs).length
      ),
    );
  }

  #record(organisation: string, { isAdmitted }: RateAdmission): void {
    if (!isAdmitted) {
      this.refused += 1;
      return;
    }
    const times = this.admittedMs.get(organisation) ?? [];
    times.push(this.clock.getMonotonicMs());
    this.admittedMs.set(organisation, times);
  }

  #isLost(
    { dataCentre }: SimulatedGateway,
    host: SimulatedStoreHost,
  ): boolean {
    const isCut = dataCentre !== host.dataCentre &&
      (dataCentre === this.cutOff || host.dataCentre === this.cutOff);
    return isCut || this.random.getFraction() < this.lossRate;
  }

  /** Sends the load reports of all gateways to all store hosts. */
  #report(): void {
    const nowMs = this.clock.getMonotonicMs();
    if (nowMs - this.#reportedMs < REPORT_MS) return;
    this.#reportedMs = nowMs;
    this.storeHosts.forEach((host) => {
      if (host.isDown || host.isBlocked) return;
      this.gateways.forEach((gateway) => {
        if (gateway.clock.isFrozen || this.#isLost(gateway, host)) return;
        host.service.recordReport(gateway.name, true);
      });
    });
  }
}
