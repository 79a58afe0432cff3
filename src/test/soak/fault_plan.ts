/**
 * Which faults a run of the soak injects and when, all from its seed. Faults
 * overlap freely, but of the hosts that hold one group's state no more than
 * one is lost at a time, which is what the fleet is set up to bear.
 */
import { SeededRandom } from "../../sys/random.ts";

/** What a link does with connections and datagrams. */
export const LinkMode = {
  pass: "pass",
  /** Everything arrives late. */
  delay: "delay",
  /** Open connections are reset and new ones refused. */
  reset: "reset",
  /** Nothing arrives at the host; what it sends back does. */
  cutIn: "cutIn",
  /** What the host sends back is lost. */
  cutOut: "cutOut",
  /** Nothing passes, and nobody is told. */
  silent: "silent",
} as const;

/** One of {@linkcode LinkMode}. */
export type LinkMode = typeof LinkMode[keyof typeof LinkMode];

/** What happens to a process or to the link to it. */
export type FaultKind =
  /** SIGTERM; it starts again when it has ended. */
  | "stop"
  /** SIGKILL; it starts again. */
  | "kill"
  /** SIGKILL; it starts again with an empty disk. */
  | "wipe"
  /** SIGSTOP, and SIGCONT at the end. */
  | "pause"
  /** SIGHUP. */
  | "reload"
  /** The link to it changes its mode. */
  | "link";

/** One fault. */
export interface Fault {
  readonly atMs: number;
  readonly forMs: number;
  readonly kind: FaultKind;
  /** Name of a process or of a backend server. */
  readonly target: string;
  readonly mode: LinkMode;
}

/** What may be disturbed. */
export interface FaultTargets {
  readonly controls: readonly string[];
  readonly stores: readonly string[];
  readonly gateways: readonly string[];
  readonly servers: readonly string[];
}

/** Longest fault, in milliseconds: the platform's own last up to 6 s. */
const LONGEST_MS = 4_000;

/**
 * Time from the end of one loss to the next in the same group, in
 * milliseconds: a host counts as lost until it has caught up.
 */
const CATCH_UP_MS = 5_000;

/** Faults at gateways and servers a second, on the mean. */
const FREE_FAULTS_A_SECOND = 0.8;

const LINK_MODES = Object.values(LinkMode)
  .filter((mode) => mode !== LinkMode.pass);

/** The faults of one run, in order of time. */
export function createFaultPlan(
  seed: number,
  targets: FaultTargets,
  lengthMs: number,
): Fault[] {
  const random = new SeededRandom(seed);
  const pick = <T>(from: readonly T[]): T => {
    const one = from[random.getIntegerBelow(from.length)];
    if (one === undefined) throw new Error("nothing to pick from");
    return one;
  };
  const createFault = (
    atMs: number,
    target: string,
    kinds: readonly FaultKind[],
  ): Fault => ({
    atMs,
    forMs: 200 + random.getIntegerBelow(LONGEST_MS - 200),
    kind: pick(kinds),
    target,
    mode: pick(LINK_MODES),
  });
  const createSeries = (members: readonly string[]): Fault[] => {
    const faults: Fault[] = [];
    let atMs = random.getIntegerBelow(CATCH_UP_MS);
    while (atMs < lengthMs) {
      const fault = createFault(atMs, pick(members), [
        "stop",
        "kill",
        "wipe",
        "pause",
        "reload",
        "link",
      ]);
      faults.push(fault);
      atMs += fault.forMs + CATCH_UP_MS + random.getIntegerBelow(CATCH_UP_MS);
    }
    return faults;
  };
  const free = Array.from(
    { length: Math.ceil(lengthMs / 1_000 * FREE_FAULTS_A_SECOND) },
    () => {
      const atMs = random.getIntegerBelow(lengthMs);
      return random.getFraction() < 0.6
        ? createFault(atMs, pick(targets.gateways), [
          "stop",
          "kill",
          "pause",
          "reload",
          "link",
        ])
        : createFault(atMs, pick(targets.servers), ["link"]);
    },
  );
  return [
    ...createSeries(targets.controls),
    ...createSeries(targets.stores),
    ...free,
  ].sort((a, b) => a.atMs - b.atMs);
}
