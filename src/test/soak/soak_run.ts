/**
 * Runs the soak for one seed: a rolling restart of the gateways without other
 * faults, the faults planned from the seed, and a kill of all processes.
 * Afterwards every gateway must serve and every accepted job must finish.
 */
import { setTimeout as delay } from "node:timers/promises";
import { createFaultPlan, type Fault } from "./fault_plan.ts";
import { RunHistory } from "./run_history.ts";
import { DEFAULT_SIZE, SoakFleet, type SoakFleetSize } from "./soak_fleet.ts";
import { SoakLoad } from "./soak_load.ts";

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  /** Period in which faults start, in milliseconds. */
  readonly faultPeriodMs: number;
  readonly size?: SoakFleetSize;
  /** Whether another writer sends odd registrations; true by default. */
  readonly hasOtherWriter?: boolean;
  /** Whether callers end some jobs; true by default. */
  readonly endsJobs?: boolean;
  /** Whether servers frame their answers in different ways; true by default. */
  readonly variesFramings?: boolean;
  readonly onLine?: (line: string) => void;
}

/** Result of a run. */
export interface SoakReport {
  readonly seed: number;
  /** Violated guarantees and failed waits, one line each. */
  readonly faults: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly jobs: number;
  /** Jobs whose end was acknowledged. */
  readonly ended: number;
  /** Broken streams that callers took up, and those of them that were completed. */
  readonly takenUp: number;
  readonly continued: number;
  /** Number of injected faults. */
  readonly faultCount: number;
  /** Folder with settings and logs; callers keep it if there are `faults`. */
  readonly folder: string;
}

/** Polls before a wait times out, after more than 8 minutes. */
const MAX_POLLS = 2_500;
const POLL_INTERVAL_MS = 200;

/** Time in which all hosts know that a server leaves, in milliseconds. */
const LEAVING_KNOWN_MS = 2_000;

/** Time for which a leaving server is watched then, in milliseconds. */
const LEAVING_CHECK_MS = 500;

/** Requests a second that servers with a limit take from all hosts together. */
const LIMIT_PER_S = 2;

/** Time for which servers name a limit, in milliseconds. */
const LIMITED_MS = 7_000;

/** Time from the first response with a limit on in which hosts keep it. */
const LIMIT_KNOWN_MS = 2_000;

/** Time over which requests to a server with a limit are counted. */
const LIMIT_WINDOW_MS = 4_000;

/** Requests that a server with a limit may get in that time. */
const MAX_LIMITED_REQUESTS = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_MS / 1_000 + 5;

/** Runs the soak for one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const history = new RunHistory();
  const fleet = new SoakFleet(options.size ?? DEFAULT_SIZE);
  const load = new SoakLoad(fleet, history, options.seed);
  const writeLine = options.onLine ?? (() => {});
  let faultCount = 0;
  try {
    await fleet.start();
    if (options.variesFramings ?? true) fleet.varyFramings();
    await waitUntil(
      "the first configuration to be acknowledged",
      history,
      () => load.changeConfig(),
    );
    load.start({
      hasOtherWriter: options.hasOtherWriter ?? true,
      endsJobs: options.endsJobs ?? true,
    });
    await waitUntilServed(fleet, load, history, "after the start");
    await stopEachGateway(fleet, history);
    await leaveEachServer(fleet, history);
    await limitHalfOfServers(fleet, history);
    const plan = createFaultPlan(
      options.seed,
      fleet.targets,
      options.faultPeriodMs,
    );
    faultCount = plan.length;
    await Promise.all(
      plan.map((fault) => injectFault(fleet, fault, writeLine)),
    );
    fleet.clearFaults();
    await delay(1_000);
    writeLine("killing all processes");
    await fleet.restartAll();
    await waitUntilServed(
      fleet,
      load,
      history,
      "after all processes were killed",
    );
    load.stop();
    await waitUntilJobsDone(load, history);
    await waitUntil(
      "a read of the configuration to succeed",
      history,
      () => load.readConfig(),
    );
    fleet.processes.filter((process) => process.unexpectedExits.length > 0)
      .forEach((process) =>
        history.faults.push(
          `${process.name} exited unexpectedly: ${process.unexpectedExits.join()}`,
        )
      );
  } finally {
    await load.close();
    await fleet.close({ keepFolder: true });
  }
  history.faults.push(...fleet.getMemoryViolations());
  const receivedRequests = fleet.servers.flatMap((server) =>
    server.receivedRequests
  );
  const { attempts, jobs } = history;
  const takenUp = attempts.filter(({ before }) => before.lastEvent > 0);
  return {
    seed: options.seed,
    faults: history.getViolations(receivedRequests),
    requests: attempts.length,
    served:
      attempts.filter((attempt) => attempt.status === 200 && attempt.isComplete)
        .length,
    jobs: jobs.length,
    ended: history.endedJobs.filter(({ endedMs }) => endedMs < Infinity).length,
    takenUp: takenUp.length,
    continued: takenUp.filter(({ isComplete }) => isComplete).length,
    faultCount,
    folder: fleet.folder,
  };
}

async function injectFault(
  fleet: SoakFleet,
  fault: Fault,
  writeLine: (line: string) => void,
): Promise<void> {
  await delay(fault.startMs);
  const effect = fault.kind === "link" ? `link ${fault.mode}` : fault.kind;
  writeLine(
    `${fault.startMs} ms: ${effect} ${fault.target} for ${fault.durationMs} ms`,
  );
  const endFault = fleet.startFault(fault);
  await delay(fault.durationMs);
  await endFault();
}

/**
 * Restarts the gateways one after the other. A planned stop must not lose a
 * request that has reached a backend server.
 */
async function stopEachGateway(
  fleet: SoakFleet,
  history: RunHistory,
): Promise<void> {
  const firstIndex = history.attempts.length;
  for (const name of fleet.targets.gateways) {
    const endFault = fleet.startFault({
      startMs: 0,
      durationMs: 0,
      kind: "stop",
      target: name,
      mode: "pass",
    });
    await endFault();
    await delay(1_000);
  }
  const attempts = history.attempts.slice(firstIndex);
  await Promise.all(attempts.map(async (attempt) => {
    while (attempt.endMs === Infinity) await delay(POLL_INTERVAL_MS);
  }));
  const receivedIds = new Set(
    fleet.servers.flatMap((server) =>
      server.receivedRequests.map((request) => request.id)
    ),
  );
  attempts.filter((attempt) =>
    !attempt.isPastDeadline && receivedIds.has(attempt.id) &&
    !attempt.isComplete
  )
    .forEach((attempt) =>
      history.faults.push(
        `${attempt.kind} request ${attempt.id} was lost when a gateway stopped`,
      )
    );
}

/**
 * Lets the servers leave one after the other, which they say in their responses
 * only, and start again. A server that has said so gets no further requests.
 */
async function leaveEachServer(
  fleet: SoakFleet,
  history: RunHistory,
): Promise<void> {
  for (const server of fleet.servers) {
    const countRequests = () => server.receivedRequests.length;
    const before = countRequests();
    server.leaves = true;
    await waitUntil(
      `a request to reach ${server.id}, which leaves`,
      history,
      () => Promise.resolve(countRequests() > before),
    );
    await delay(LEAVING_KNOWN_MS);
    const known = countRequests();
    await delay(LEAVING_CHECK_MS);
    const late = countRequests() - known;
    if (late > 0) {
      history.faults.push(
        `${late} requests reached ${server.id} after it said that it leaves`,
      );
    }
    server.bornMs += 1;
    server.leaves = false;
  }
}

/**
 * Lets half of the servers name a limit. All hosts together send each of them no
 * more than it allows.
 */
async function limitHalfOfServers(
  fleet: SoakFleet,
  history: RunHistory,
): Promise<void> {
  const limited = fleet.servers.filter((_, index) => index % 2 === 0);
  limited.forEach((server) => {
    server.limitPerS = LIMIT_PER_S;
  });
  await delay(LIMIT_KNOWN_MS);
  const fromMs = performance.now();
  await delay(LIMITED_MS - LIMIT_KNOWN_MS);
  limited.forEach(({ id, receivedRequests }) => {
    const times = receivedRequests.map(({ receivedMs }) => receivedMs)
      .filter((ms) => ms >= fromMs);
    const count = Math.max(
      0,
      ...times.map((start) =>
        times.filter((ms) => ms >= start && ms < start + LIMIT_WINDOW_MS).length
      ),
    );
    if (count > MAX_LIMITED_REQUESTS) {
      history.faults.push(
        `${count} requests in ${LIMIT_WINDOW_MS} ms reached ${id}, which takes ${LIMIT_PER_S} a second`,
      );
    }
  });
  limited.forEach((server) => {
    server.limitPerS = undefined;
  });
}

/** Waits until every gateway serves a request. */
async function waitUntilServed(
  fleet: SoakFleet,
  load: SoakLoad,
  history: RunHistory,
  phase: string,
): Promise<void> {
  for (const gateway of fleet.targets.gateways) {
    await waitUntil(`${gateway} to serve ${phase}`, history, async () => {
      const { status } = await load.sendRequest("plain", gateway);
      return status === 200;
    });
  }
}

async function waitUntilJobsDone(
  load: SoakLoad,
  history: RunHistory,
): Promise<void> {
  for (const job of history.jobs) {
    await waitUntil(
      `job ${job.id} to finish`,
      history,
      () => load.readJob(job),
    );
  }
}

async function waitUntil(
  description: string,
  history: RunHistory,
  condition: () => Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    if (await condition()) return;
    await delay(POLL_INTERVAL_MS);
  }
  history.faults.push(`timed out waiting for ${description}`);
}
