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

const NAME_FILE = "replica-name";
const MEMBERS_FILE = "first-members";

/** Reads the name, or gives the folder one and makes it durable. */
export async function openReplicaName(
  folder: Folder,
  options: { firstName: string | undefined; address: string; random: Random },
): Promise<string> {
  const bytes = await folder.tryRead(NAME_FILE);
  if (bytes !== undefined) return Buffer.from(bytes).toString("utf8");
  const name = options.firstName ??
    `${options.address}/${options.random.createId()}`;
  await folder.replace(NAME_FILE, Buffer.from(name, "utf8"));
  return name;
}

/** Whether the folder holds a name, so that its disk is the one it had. */
export async function hasReplicaName(folder: Folder): Promise<boolean> {
  return await folder.tryRead(NAME_FILE) !== undefined;
}

/** The first members that the folder remembers; undefined when it has none. */
export async function tryReadFirstMembers(
  folder: Folder,
): Promise<Membership | undefined> {
  const bytes = await folder.tryRead(MEMBERS_FILE);
  return bytes === undefined ? undefined : fromBinary(MembershipSchema, bytes);
}

/** Makes the first members durable; they never change afterwards. */
export async function writeFirstMembers(
  folder: Folder,
  members: Membership,
): Promise<void> {
  await folder.replace(MEMBERS_FILE, toBinary(MembershipSchema, members));
}

/** Name of a first member, which all others can work out from the seeds. */
export function getFirstName(address: string): string {
  return `${address}/first`;
}

/** Address of a replica, which its name begins with. */
export function getNameAddress(name: string): string {
  return name.slice(0, name.indexOf("/"));
}

/** A membership of voters by their names. */
export function createFirstMembers(
  names: readonly string[],
  getDataCentre: (name: string) => string = () => "",
): Membership {
  return create(MembershipSchema, {
    members: names.map((name) => ({
      id: name,
      address: getNameAddress(name),
      dataCentre: getDataCentre(name),
    })),
  });
}
