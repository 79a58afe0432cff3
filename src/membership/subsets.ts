/**
 * Subsetting: selects the entries that send requests to a backend server. Each
 * server gets a bounded number of entries, so that the announcement traffic of
 * an entry does not grow with the fleet.
 */
import type { EntryRegistration } from "../schema/mod.ts";
import { selectByRendezvous } from "../sys/random.ts";

/** Fleet size, in entries, up to which every entry uses every server. */
const SMALL_FLEET_ENTRIES = 16;

/** Number of entries of a server's own data centre that use it. */
const LOCAL_ENTRY_COUNT = 4;

/** Number of entries of each other data centre that use it for overflow. */
const REMOTE_ENTRY_COUNT = 1;

/** Properties of a backend server that determine which entries use it. */
export interface ServerLocation {
  readonly name: string;
  readonly dataCentre: string;
}

const getEntryId = (entry: EntryRegistration) => entry.id;

/** Returns the entries that use a server, those of its data centre first. */
export function selectEntriesForServer(
  server: ServerLocation,
  entries: readonly EntryRegistration[],
): EntryRegistration[] {
  const isSmall = entries.length <= SMALL_FLEET_ENTRIES;
  const localCount = isSmall ? SMALL_FLEET_ENTRIES : LOCAL_ENTRY_COUNT;
  const remoteCount = isSmall ? SMALL_FLEET_ENTRIES : REMOTE_ENTRY_COUNT;
  const dataCentres = [...new Set(entries.map((entry) => entry.dataCentre))];
  const ordered = dataCentres.sort((a, b) =>
    Number(b === server.dataCentre) - Number(a === server.dataCentre) ||
    (a < b ? -1 : 1)
  );
  return ordered.flatMap((dataCentre) =>
    selectByRendezvous(
      server.name,
      entries.filter((entry) => entry.dataCentre === dataCentre),
      {
        count: dataCentre === server.dataCentre ? localCount : remoteCount,
        getName: getEntryId,
      },
    )
  );
}
