/**
 * Name of a host that holds replicated state, and the first members of its
 * group. Both stand in its data folder: a host that lost its disk finds none
 * and takes a new name, so that an empty disk never votes under a name that
 * has voted before.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type Membership, MembershipSchema } from "../schema/mod.ts";
import type { Folder } from "../sys/files.ts";
import type { Random } from "../sys/random.ts";

const REPLICA_ID_FILE = "replica-name";
const INITIAL_MEMBERSHIP_FILE = "first-members";

/** Reads the name, or gives the folder one and makes it durable. */
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

/** Whether the folder holds a name, so that its disk is the one it had. */
export async function hasReplicaId(folder: Folder): Promise<boolean> {
  return await folder.tryRead(REPLICA_ID_FILE) !== undefined;
}

/** The first members that the folder remembers; undefined when it has none. */
export async function tryReadInitialMembership(
  folder: Folder,
): Promise<Membership | undefined> {
  const bytes = await folder.tryRead(INITIAL_MEMBERSHIP_FILE);
  return bytes === undefined ? undefined : fromBinary(MembershipSchema, bytes);
}

/** Makes the first members durable; they never change afterwards. */
export async function writeInitialMembership(
  folder: Folder,
  membership: Membership,
): Promise<void> {
  await folder.replace(
    INITIAL_MEMBERSHIP_FILE,
    toBinary(MembershipSchema, membership),
  );
}

/** Name of a first member, which all others can work out from the seeds. */
export function getFounderId(address: string): string {
  return `${address}/first`;
}

/** Address of a replica, which its name begins with. */
export function getReplicaAddress(id: string): string {
  return id.slice(0, id.indexOf("/"));
}

/** A membership of voters by their names. */
export function createInitialMembership(
  ids: readonly string[],
  getDataCentre: (name: string) => string = () => "",
): Membership {
  return create(MembershipSchema, {
    members: ids.map((name) => ({
      id: name,
      address: getReplicaAddress(name),
      dataCentre: getDataCentre(name),
    })),
  });
}
