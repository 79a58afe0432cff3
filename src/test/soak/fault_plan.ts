/**
 * Plans the faults of a soak run and their times, all derived from its seed.
 * Faults may overlap, but at most one control host and one store host is
 * disturbed at a time: the fleet is configured to tolerate the loss of one host
 * of each replicated group.
 */
import { SeededRandom } from "../../sys/random.ts";

/** How a link treats connections and datagrams. */
export const LinkMode = {
  pass: "pass",
  /** Delays the bytes of connections, and drops datagrams. */
  delay: "delay",
  /** Resets open and new connections, and drops datagrams. */
  reset: "reset",
  /** Drops traffic to the host; traffic from the host passes. */
  cutIn: "cutIn",
  /** Drops traffic from the host; traffic to the host passes. */
  cutOut: "cutOut",
  /** Drops traffic in both directions and leaves connections open. */
  silent: "silent",
} as const;

/** One of {@linkcode LinkMode}. */
export type LinkMode = typeof LinkMode[keyof typeof LinkMode];

/** What a fault does to a process or to the link in front of it. */
export type FaultKind =
  /** SIGTERM; the process is restarted after it has exited. */
  | "stop"
  /** SIGKILL; the process is restarted. */
  | "kill"
  /** SIGKILL; the process is restarted with an empty data folder. */
  | "wipe"
  /** SIGSTOP, followed by SIGCONT when the fault ends. */
  | "pause"
  /** SIGHUP. */
  | "reload"
  /** Sets the mode of the link in front of the process. */
  | "link";

/** One planned fault; its start is relative to the start of the plan. */
export interface Fault {
  readonly startMs: number;
  readonly durationMs: number;
  readonly kind: FaultKind;
  /** Name of a process, or id of a backend server. */
  readonly target: string;
  readonly mode: LinkMode;
}

/** Processes and backend servers that faults may be injected into. */
export interface FaultTargets {
  readonly controls: readonly string[];
  readonly stores: readonly string[];
  readonly gateways: readonly string[];
  readonly servers: readonly string[];
}

/**
 * Upper bound of a fault's duration, in milliseconds. The platform's own faults
 * last up to 6 s.
 */
const MAX_FAULT_MS = 4_000;

/**
 * Minimum time from the end of a fault to the next one in the same group, in
 * milliseconds. A host counts as lost until it has caught up.
 */
const GROUP_RECOVERY_MS = 5_000;

/** Mean number of faults at gateways and backend servers per second. */
const INDEPENDENT_FAULTS_PER_SECOND = 0.8;

const FAULTY_LINK_MODES = Object.values(LinkMode)
  .filter((mode) => mode !== LinkMode.pass);

/** Returns the faults of one run, sorted by start time. */
export function createFaultPlan(
  seed: number,
  targets: FaultTargets,
  faultPeriodMs: number,
): Fault[] {
  const random = new SeededRandom(seed);
  const pickRandom = <T>(choices: readonly T[]): T => {
    const choice = choices[random.getIntegerBelow(choices.length)];
    if (choice === undefined) throw new Error("cannot pick from an empty list");
    return choice;
  };
  const createFault = (
    startMs: number,
    target: string,
    kinds: readonly FaultKind[],
  ): Fault => ({
    startMs,
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
