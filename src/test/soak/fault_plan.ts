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
  readonly startMs: number;
  readonly durationMs: number;
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
const MAX_FAULT_MS = 4_000;

/**
 * Time from the end of one loss to the next in the same group, in
 * milliseconds: a host counts as lost until it has caught up.
 */
const GROUP_RECOVERY_MS = 5_000;

/** Faults at gateways and servers a second, on the mean. */
const INDEPENDENT_FAULTS_PER_SECOND = 0.8;

const FAULTY_LINK_MODES = Object.values(LinkMode)
  .filter((mode) => mode !== LinkMode.pass);

/** The faults of one run, in order of time. */
export function createFaultPlan(
  seed: number,
  targets: FaultTargets,
  faultPeriodMs: number,
): Fault[] {
  const random = new SeededRandom(seed);
  const pickRandom = <T>(choices: readonly T[]): T => {
    const choice = choices[random.getIntegerBelow(choices.length)];
    if (choice === undefined) throw new Error("nothing to pick from");
    return choice;
  };
  const createFault = (
    startMs: number,
    target: string,
    kinds: readonly FaultKind[],
  ): Fault => ({
    startMs: startMs,
    durationMs: 200 + random.getIntegerBelow(MAX_FAULT_MS - 200),
    kind: pickRandom(kinds),
    target,
    mode: pickRandom(FAULTY_LINK_MODES),
  });
  const createSequentialFaults = (members: readonly string[]): Fault[] => {
    const faults: Fault[] = [];
    let startMs = random.getIntegerBelow(GROUP_RECOVERY_MS);
    while (startMs < faultPeriodMs) {
      const fault = createFault(startMs, pickRandom(members), [
        "stop",
        "kill",
        "wipe",
        "pause",
        "reload",
        "link",
      ]);
      faults.push(fault);
      startMs += fault.durationMs + GROUP_RECOVERY_MS +
        random.getIntegerBelow(GROUP_RECOVERY_MS);
    }
    return faults;
  };
  const independentFaults = Array.from(
    {
      length: Math.ceil(faultPeriodMs / 1_000 * INDEPENDENT_FAULTS_PER_SECOND),
    },
    () => {
      const startMs = random.getIntegerBelow(faultPeriodMs);
      return random.getFraction() < 0.6
        ? createFault(startMs, pickRandom(targets.gateways), [
          "stop",
          "kill",
          "pause",
          "reload",
          "link",
        ])
        : createFault(startMs, pickRandom(targets.servers), ["link"]);
    },
  );
  return [
    ...createSequentialFaults(targets.controls),
    ...createSequentialFaults(targets.stores),
    ...independentFaults,
  ].sort((a, b) => a.startMs - b.startMs);
}
