/**
 * Replica id of a host and the initial membership of its group. Both are stored
 * in the host's data folder. A host that lost its disk finds neither and creates
 * a new id, so an empty replica never votes under an id that has already voted.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { MembershipSchema } from "../schema/mod.js";
import { getReason } from "../sys/errors.js";
const REPLICA_ID_FILE = "replica-name";
/** An address, and a part that tells the replicas apart that were there. */
const REPLICA_ID_PATTERN = /^[^/\ufffd]+\/[^/\ufffd]+$/;
const INITIAL_MEMBERSHIP_FILE = "first-members";
/** Reads the replica id, or creates one and makes it durable. */
export async function openReplicaId(folder, options) {
    const stored = await tryReadReplicaId(folder);
    // A damaged file names no replica: its id is lost, as if with the disk.
    if (stored !== undefined && REPLICA_ID_PATTERN.test(stored))
        return stored;
    const id = options.founderId ??
        `${options.address}/${options.random.createId()}`;
    await folder.replace(REPLICA_ID_FILE, Buffer.from(id, "utf8"));
    options.log.info("replica_id_created", { id });
    return id;
}
async function tryReadReplicaId(folder) {
    const bytes = await folder.tryRead(REPLICA_ID_FILE);
    return bytes && Buffer.from(bytes).toString("utf8");
}
/**
 * Loads or creates the identity of a member of the fleet group. The seeds form the
 * group only on the first start of the whole fleet. A host whose disk is empty at
 * any other time waits until the leader adds it.
 */
export async function openFounderIdentity(folder, options) {
    const { address, seeds, firstStart, log } = options;
    const founderId = getFounderId(address);
    const stored = await tryReadInitialMembership(folder, log);
    const isNew = await tryReadReplicaId(folder) === undefined;
    // The id is written after the members, so a first start was cut short between
    // the two if there are only these. The host has not voted under its id yet.
    const wasFounder = stored?.members.some(({ id }) => id === founderId) ??
        false;
    const isFounder = isNew &&
        (wasFounder || firstStart && seeds.includes(address));
    const members = isFounder && !wasFounder
        ? createInitialMembership(seeds.map(getFounderId))
        : stored ?? create(MembershipSchema);
    if (isFounder && !wasFounder)
        await writeInitialMembership(folder, members);
    const id = await openReplicaId(folder, {
        ...options,
        founderId: isFounder ? founderId : undefined,
    });
    return { id, members };
}
/**
 * Reads the initial membership; undefined if none was written or it can't be
 * decoded. A member learns the membership from the log as well.
 */
export async function tryReadInitialMembership(folder, log) {
    const bytes = await folder.tryRead(INITIAL_MEMBERSHIP_FILE);
    if (bytes === undefined)
        return undefined;
    try {
        return fromBinary(MembershipSchema, bytes);
    }
    catch (error) {
        log.warn("first_members_unreadable", { reason: getReason(error) });
        return undefined;
    }
}
/** Makes the initial membership durable; it never changes afterwards. */
export async function writeInitialMembership(folder, membership) {
    await folder.replace(INITIAL_MEMBERSHIP_FILE, toBinary(MembershipSchema, membership));
}
/**
 * Returns the replica id of a founding member. It depends only on the address,
 * so every host can derive it from the seeds.
 */
export function getFounderId(address) {
    return `${address}/first`;
}
/** Returns the address at the start of a replica id. */
export function getReplicaAddress(id) {
    return id.slice(0, id.indexOf("/"));
}
/** Creates a membership of voters with the given replica ids. */
export function createInitialMembership(ids, getDataCentre = () => "") {
    return create(MembershipSchema, {
        members: ids.map((id) => ({
            id,
            address: getReplicaAddress(id),
            dataCentre: getDataCentre(id),
        })),
    });
}
//# sourceMappingURL=host_identity.js.map