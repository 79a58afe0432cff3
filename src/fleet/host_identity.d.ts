import { type Membership } from "../schema/mod.ts";
import type { Folder } from "../sys/files.ts";
import type { Log } from "../sys/log.ts";
import type { Random } from "../sys/random.ts";
/** What a host that has not stored its identity needs to create it. */
export interface IdentityOptions {
  readonly founderId: string | undefined;
  readonly address: string;
  readonly random: Random;
  readonly log: Log;
}
/** Reads the replica id, or creates one and makes it durable. */
export declare function openReplicaId(
  folder: Folder,
  options: IdentityOptions,
): Promise<string>;
/**
 * Loads or creates the identity of a member of the fleet group. The seeds form the
 * group only on the first start of the whole fleet. A host whose disk is empty at
 * any other time waits until the leader adds it.
 */
export declare function openFounderIdentity(
  folder: Folder,
  options: Omit<IdentityOptions, "founderId"> & {
    readonly seeds: readonly string[];
    readonly firstStart: boolean;
  },
): Promise<{
  id: string;
  members: Membership;
}>;
/**
 * Reads the initial membership; undefined if none was written or it can't be
 * decoded. A member learns the membership from the log as well.
 */
export declare function tryReadInitialMembership(
  folder: Folder,
  log: Log,
): Promise<Membership | undefined>;
/** Makes the initial membership durable; it never changes afterwards. */
export declare function writeInitialMembership(
  folder: Folder,
  membership: Membership,
): Promise<void>;
/**
 * Returns the replica id of a founding member. It depends only on the address,
 * so every host can derive it from the seeds.
 */
export declare function getFounderId(address: string): string;
/** Returns the address at the start of a replica id. */
export declare function getReplicaAddress(id: string): string;
/** Creates a membership of voters with the given replica ids. */
export declare function createInitialMembership(
  ids: readonly string[],
  getDataCentre?: (replicaId: string) => string,
): Membership;
