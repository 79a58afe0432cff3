/**
 * Replica id of a host and the initial membership of its group. Both are stored
 * in the host's data folder: a host that lost its disk finds neither and creates
 * a new id, so that an empty replica never votes under an id that has already
 * voted.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type Membership, MembershipSchema } from "../schema/mod.ts";
import type { Folder } from "../sys/files.ts";
import type { Random } from "../sys/random.ts";

const REPLICA_ID_FILE = "replica-name";
const INITIAL_MEMBERSHIP_FILE = "first-members";

/** Reads the replica id, or creates one and makes it durable. */
export async function openReplicaId(
  folder: Folder,
  options: { founderId: string | undefined; address: string; random: Random },
): Promise<string> {
  const bytes = await folder.tryRead(REPLICA_ID_FILE);
  if (bytes !== undefined) return Buffer.from(bytes).toString("utf8");
  const id = options.founderId ??
    `${options.address}/${options.random.createId()}`;
  await folder.replace(REPLICA_ID_FILE, Buffer.from(id, "utf8"));
  return id;
}

/** Whether the folder holds a replica id, that is, the disk was not lost. */
export async function hasReplicaId(folder: Folder): Promise<boolean> {
  return await folder.tryRead(REPLICA_ID_FILE) !== undefined;
}

/** Reads the initial membership; undefined if none was written. */
export async function tryReadInitialMembership(
  folder: Folder,
): Promise<Membership | undefined> {
  const bytes = await folder.tryRead(INITIAL_MEMBERSHIP_FILE);
  return bytes === undefined ? undefined : fromBinary(MembershipSchema, bytes);
}

/** Makes the initial membership durable; it never changes afterwards. */
export async function writeInitialMembership(
  folder: Folder,
  membership: Membership,
): Promise<void> {
  await folder.replace(
    INITIAL_MEMBERSHIP_FILE,
    toBinary(MembershipSchema, membership),
  );
}

/** Replica id of a founder, which every host can derive from the seeds. */
export function getFounderId(address: string): string {
  return `${address}/first`;
}

/** Extracts the address with which a replica id begins. */
export function getReplicaAddress(id: string): string {
  return id.slice(0, id.indexOf("/"));
}

/** Creates a membership of voters from their replica ids. */
export function createInitialMembership(
  ids: readonly string[],
  getDataCentre: (replicaId: string) => string = () => "",
): Membership {
  return create(MembershipSchema, {
    members: ids.map((id) => ({
      id,
      address: getReplicaAddress(id),
      dataCentre: getDataCentre(id),
    })),
  });
}
