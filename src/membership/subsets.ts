/**
 * Which entries use a backend server. Each server is used by a bounded number
 * of entries, so that the announcements an entry takes part in stay the same
 * however large the fleet is.
 */
import type { EntryRegistration } from "../schema/mod.ts";
import { selectByRendezvous } from "../sys/random.ts";

/** Entries up to which each of them uses each server. */
const SMALL_FLEET_ENTRIES = 16;

/** Entries of the server's data centre that use it. */
const LOCAL_USER_COUNT = 4;

/** Entries of each other data centre that use it for overflow. */
const REMOTE_USER_COUNT = 1;

/** What places a backend server among the entries. */
export interface ServerLocation {
  readonly name: string;
  readonly dataCentre: string;
}

const getEntryId = (entry: EntryRegistration) => entry.id;

/** Entries that use a server, those of its data centre first. */
export function selectUsers(
  server: ServerLocation,
  entries: readonly EntryRegistration[],
): EntryRegistration[] {
  const isSmall = entries.length <= SMALL_FLEET_ENTRIES;
  const localCount = isSmall ? SMALL_FLEET_ENTRIES : LOCAL_USER_COUNT;
  const remoteCount = isSmall ? SMALL_FLEET_ENTRIES : REMOTE_USER_COUNT;
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
