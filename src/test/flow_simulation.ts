/**
 * A simulation of three data centres whose gateways decide on requests that leave
 * them. Gateways know their own requests exactly and all others from a copy of the
 * loads that is some time old. A request holds a slot for a random time; one that
 * finds none waits in its gateway, and is late if it waits longer than its limit or
 * is rejected by full servers too often.
 */
import { DataCentreFlow, type DataCentreSummary } from "../policy/mod.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

const NAMES = ["a", "b", "c"];
const GATEWAYS = 20;
const SLOTS = 168;
const STEP_MS = 5;
const OBSERVE_MS = 100;
const SERVICE_MS = 700;
/** Occupied slots at a rate of 1, as a fraction. */
const BASE_LOAD = 0.55;
const LATE_MS = 60;
/** Rejections by full servers after which a request fails. */
const MAX_REJECTIONS = 4;

/** How gateways select the data centre of a request. */
export const FlowStrategy = {
  /** By the flow with a reserve of the receiving side. */
  flow: "flow",
  /** Any data centre with a known free slot, once the own one is full. */
  spillWhenFull: "spillWhenFull",
  /** Always the data centre with the lowest known load. */
  lowestLoad: "lowestLoad",
} as const;

/** One of {@linkcode FlowStrategy}. */
export type FlowStrategy = typeof FlowStrategy[keyof typeof FlowStrategy];

interface Req {
  readonly home: string;
  readonly gateway: number;
  readonly arrivedMs: number;
  rejections: number;
  at: string;
  endMs: number;
}

/** Three data centres with equal servers and {@linkcode GATEWAYS} gateways each. */
export class FlowSimulation {
  readonly slots = SLOTS;
  /** Requests that left their data centre. */
  leftCount = 0;
  /** Requests that were sent to a data centre which had no free slot in fact. */
  rejectedCount = 0;
  readonly #random: SeededRandom;
  readonly #ageMs: number;
  readonly #strategy: FlowStrategy;
  readonly #rates = new Map(NAMES.map((name) => [name, 1]));
  readonly #slots = new Map(NAMES.map((name) => [name, SLOTS]));
  readonly #cut = new Set<string>();
  readonly #flows: Map<string, DataCentreFlow[]>;
  readonly #history: { atMs: number; online: Map<string, number[]> }[] = [];
  #running: Req[] = [];
  #waiting: Req[] = [];
  #arrived = new Map<string, number>();
  #late = new Map<string, number>();
  #maxForeign = new Map<string, number>();
  #maxOnline = new Map<string, number>();
  #foreignSeries: number[] = [];
  #nowMs = 0;

  constructor(
    options: {
      seed: number;
      reserve: number;
      ageMs?: number;
      strategy?: FlowStrategy;
    },
  ) {
    this.#strategy = options.strategy ?? FlowStrategy.flow;
    this.#random = new SeededRandom(options.seed);
    this.#ageMs = options.ageMs ?? 120;
    this.#flows = new Map(NAMES.map((dataCentre) => [
      dataCentre,
      range(GATEWAYS).map(() =>
        new DataCentreFlow({
          dataCentre,
          byteCostMs: 0.25,
          reserve: options.reserve,
          latencyMs: 1.4,
          getFraction: () => this.#random.getFraction(),
        })
      ),
    ]));
  }

  /** Sets the rate of a data centre's callers; 1 is usual. */
  setRate(name: string, rate: number): void {
    this.#rates.set(name, rate);
  }

  setSlots(name: string, slots: number): void {
    this.#slots.set(name, slots);
  }

  /** Cuts a data centre off from the others; its own callers are served. */
  cut(name: string): void {
    this.#cut.add(name);
    this.#running = this.#running.filter(({ home, at }) =>
      home === at || home !== name && at !== name
    );
  }

  restore(name: string): void {
    this.#cut.delete(name);
  }

  advance(ms: number): void {
    const endMs = this.#nowMs + ms;
    while (this.#nowMs < endMs) this.#step();
  }

  resetCounts(): void {
    [this.#arrived, this.#late, this.#maxForeign, this.#maxOnline]
      .forEach((counts) => counts.clear());
    this.#foreignSeries = [];
  }

  /** Share of a data centre's callers that waited too long. */
  getLateShare(name: string): number {
    return (this.#late.get(name) ?? 0) / (this.#arrived.get(name) ?? 1);
  }

  /** Most requests of other data centres at one time. */
  getMaxForeign(name: string): number {
    return this.#maxForeign.get(name) ?? 0;
  }

  getMaxOnline(name: string): number {
    return this.#maxOnline.get(name) ?? 0;
  }

  /** Requests away from their data centre, by time. */
  getForeignSeries(): number[] {
    return this.#foreignSeries;
  }

  #step(): void {
    this.#nowMs += STEP_MS;
    this.#running = this.#running.filter(({ endMs }) => endMs > this.#nowMs);
    this.#recordHistory();
    if (this.#nowMs % OBSERVE_MS === 0) this.#observeAll();
    NAMES.forEach((name) => this.#addArrivals(name));
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((req) => this.#tryStart(req));
    NAMES.forEach((name) => this.#recordMaxima(name));
    this.#foreignSeries.push(
      this.#running.filter(({ home, at }) => home !== at).length,
    );
  }

  #addArrivals(name: string): void {
    const mean = (this.#rates.get(name) ?? 0) * SLOTS * BASE_LOAD *
      STEP_MS / SERVICE_MS;
    // Ten trials approximate a Poisson distribution of a small mean.
    const count =
      range(10).filter(() => this.#random.getFraction() < mean / 10).length;
    add(this.#arrived, name, count);
    range(count).forEach(() =>
      this.#waiting.push({
        home: name,
        gateway: this.#random.getIntegerBelow(GATEWAYS),
        arrivedMs: this.#nowMs,
        rejections: 0,
        at: "",
        endMs: 0,
      })
    );
  }

  #tryStart(req: Req): void {
    const at = this.#selectDataCentre(req);
    const waitedMs = this.#nowMs - req.arrivedMs;
    const isTaken = at !== undefined &&
      this.#countAt(at) < (this.#slots.get(at) ?? 0);
    if (isTaken) {
      req.at = at;
      req.endMs = this.#nowMs + SERVICE_MS * (0.5 + this.#random.getFraction());
      this.#running.push(req);
      if (at !== req.home) this.leftCount += 1;
      return;
    }
    if (at !== undefined) {
      req.rejections += 1;
      this.rejectedCount += 1;
    }
    if (waitedMs >= LATE_MS || req.rejections >= MAX_REJECTIONS) {
      add(this.#late, req.home, 1);
    } else {
      this.#waiting.push(req);
    }
  }

  #selectDataCentre(req: Req): string | undefined {
    const { home, gateway, arrivedMs } = req;
    if (this.#strategy !== FlowStrategy.flow) {
      return this.#selectByLoad(req);
    }
    if (this.#countAt(home) < (this.#slots.get(home) ?? 0)) return home;
    const flow = this.#flows.get(home)?.[gateway];
    if (flow === undefined) return undefined;
    flow.observe("s", this.#summarize(home, gateway), this.#nowMs);
    const { remote } = flow.decide({
      service: "s",
      kind: "online",
      queues: false,
      hasLocalServer: true,
      own: this.#running.filter((one) =>
        one.home === home && one.gateway === gateway
      ).length,
      serviceMs: SERVICE_MS,
      lateAfterMs: LATE_MS - (this.#nowMs - arrivedMs),
      bytes: 4_000,
    }, this.#nowMs);
    const names = [...remote];
    const at = names[this.#random.getIntegerBelow(names.length)];
    if (at !== undefined) flow.recordLeaving("s", at, this.#nowMs);
    return at;
  }

  #selectByLoad({ home, gateway }: Req): string | undefined {
    const getFree = ({ dataCentre, slots, online }: DataCentreSummary) =>
      slots - (dataCentre === home ? this.#countAt(home) : online);
    const byFreeSlots = this.#summarize(home, gateway)
      .filter((summary) => getFree(summary) > 0)
      .sort((a, b) => getFree(b) - getFree(a))
      .map(({ dataCentre }) => dataCentre);
    const isHomeFree = byFreeSlots.includes(home);
    return this.#strategy === FlowStrategy.spillWhenFull && isHomeFree
      ? home
      : byFreeSlots[0];
  }

  /** Loads as one gateway knows them: its own requests now, all others as reported. */
  #summarize(home: string, gateway: number): DataCentreSummary[] {
    const reported = this.#history.find(({ atMs }) =>
      atMs >= this.#nowMs - this.#ageMs
    );
    const index = NAMES.indexOf(home) * GATEWAYS + gateway;
    return NAMES.filter((name) =>
      name === home || !this.#cut.has(name) && !this.#cut.has(home)
    ).map((name) => {
      const counts = reported?.online.get(name) ?? [];
      const all = counts.reduce((sum, count) => sum + count, 0);
      const own = this.#running.filter((one) =>
        one.at === name && one.home === home && one.gateway === gateway
      ).length;
      return {
        dataCentre: name,
        slots: this.#slots.get(name) ?? 0,
        online: all - (counts[index] ?? 0) + own,
        batch: 0,
        ageMs: this.#ageMs,
      };
    });
  }

  #observeAll(): void {
    this.#flows.forEach((flows, home) =>
      flows.forEach((flow, gateway) =>
        flow.observe("s", this.#summarize(home, gateway), this.#nowMs)
      )
    );
  }

  /** Records the requests of each gateway at each data centre. */
  #recordHistory(): void {
    const online = new Map(NAMES.map((name) =>
      [
        name,
        new Array<number>(NAMES.length * GATEWAYS).fill(0),
      ] as const
    ));
    this.#running.forEach(({ home, gateway, at }) => {
      const counts = online.get(at);
      const index = NAMES.indexOf(home) * GATEWAYS + gateway;
      if (counts !== undefined) counts[index] = (counts[index] ?? 0) + 1;
    });
    this.#history.push({ atMs: this.#nowMs, online });
    const oldest = this.#history[0];
    if (oldest !== undefined && oldest.atMs < this.#nowMs - this.#ageMs) {
      this.#history.shift();
    }
  }

  #recordMaxima(name: string): void {
    const here = this.#running.filter(({ at }) => at === name);
    const foreign = here.filter(({ home }) => home !== name).length;
    this.#maxForeign.set(name, Math.max(this.getMaxForeign(name), foreign));
    this.#maxOnline.set(name, Math.max(this.getMaxOnline(name), here.length));
  }

  #countAt(name: string): number {
    return this.#running.filter(({ at }) => at === name).length;
  }
}

function add(counts: Map<string, number>, name: string, amount: number): void {
  counts.set(name, (counts.get(name) ?? 0) + amount);
}
