/**
 * Measures what membership costs an entry at rest, over several sizes of the
 * fleet: entries and announcing servers in one process, with one state host.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { SystemClock } from "../sys/clock.ts";
import { rpcTraffic } from "../sys/rpc.ts";
import { Announcer } from "./announcer.ts";
import { Fleet, FleetName, waitUntil } from "./fleet.ts";
import type { Measurement } from "./state_bench.ts";

const SERVERS_PER_ENTRY = 6;
const ANNOUNCE_INTERVAL_MS = 2_000;
const LEASE_MS = 6_000;
const SETTLE_MS = 4_000;
const MEASURE_MS = 8_000;
const US_PER_S = 1_000_000;

function createAnnouncers(fleet: Fleet, count: number): Announcer[] {
  const { clock } = fleet;
  return Array.from({ length: count }, (_, index) =>
    new Announcer({
      entries: fleet.getEntryAddresses(),
      clock,
      intervalMs: ANNOUNCE_INTERVAL_MS,
      fields: () => ({
        name: `server-${index}`,
        incarnation: 1n,
        address: "127.0.0.1:1",
        deployment: FleetName.engines,
        dataCentre: fleet.getDataCentre(index),
        models: [FleetName.model],
        leaseMs: LEASE_MS,
        running: index % 30,
      }),
    }));
}

async function measureFleet(
  entryCount: number,
  report: (name: string, value: number, unit: string) => void,
): Promise<void> {
  const folder = await mkdtemp(path.join(tmpdir(), "papayatally-members-"));
  const clock = new SystemClock();
  const fleet = new Fleet({
    folder,
    states: 1,
    entries: entryCount,
    dataCentres: 2,
    itemGroups: 1,
  });
  await fleet.startStateHosts();
  await fleet.startEntries();
  await fleet.configure();
  const announcers = createAnnouncers(fleet, entryCount * SERVERS_PER_ENTRY);
  for (const server of announcers) await server.start();
  await clock.delay(SETTLE_MS);
  const bytesBefore = rpcTraffic.sentBytes;
  const messagesBefore = rpcTraffic.sentMessages;
  const cpuBefore = process.cpuUsage();
  const startMs = clock.getMonotonicMs();
  await clock.delay(MEASURE_MS);
  const seconds = (clock.getMonotonicMs() - startMs) / 1_000;
  const cpuUsed = process.cpuUsage(cpuBefore);
  const getRatePerEntry = (value: number) => value / seconds / entryCount;
  const name = `${entryCount} entries, ${announcers.length} servers`;
  report(
    `bytes of an entry, ${name}`,
    getRatePerEntry(rpcTraffic.sentBytes - bytesBefore),
    "bytes/s",
  );
  report(
    `messages of an entry, ${name}`,
    getRatePerEntry(rpcTraffic.sentMessages - messagesBefore),
    "1/s",
  );
  report(
    `processor of an entry, ${name}`,
    getRatePerEntry(cpuUsed.user + cpuUsed.system) / US_PER_S * 100,
    "% of a core",
  );
  const orderedMs = clock.getMonotonicMs();
  const { version } = await fleet.order({
    case: "drain",
    value: { name: "server-0" },
  });
  await waitUntil(
    clock,
    "force",
    () =>
      fleet.entries.every((entry) =>
        entry.view.configuration.version >= version
      ),
  );
  report(
    `configuration in force, ${name}`,
    clock.getMonotonicMs() - orderedMs,
    "ms",
  );
  announcers.forEach((server) => server.stop());
  await fleet.close();
  await rm(folder, { recursive: true, force: true });
}

/** Runs the measurement at each size. */
export async function runMembershipBench(
  onMeasurement: (figure: Measurement) => void,
): Promise<void> {
  for (const entries of [8, 16, 32, 64]) {
    await measureFleet(
      entries,
      (name, value, unit) => onMeasurement({ name, value, unit }),
    );
  }
}
