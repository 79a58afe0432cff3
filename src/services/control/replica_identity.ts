/**
 * Identity of a state replica. A data folder receives an id when it is created,
 * and the other members record that id. A replica whose disk was lost presents
 * a new folder id under its old name; the members reject it, and it never votes.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type Introduction,
  MessageCode,
  type ReplicaIdentity,
  ReplicaIdentitySchema,
  Replicas,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { getReason, ServingError } from "../../sys/errors.ts";
import type { Folder } from "../../sys/files.ts";
import type { Random } from "../../sys/random.ts";
import { RpcClient, type RpcCredentials } from "../../sys/rpc.ts";

const IDENTITY_FILE = "identity";
const RETRY_INTERVAL_MS = 100;
const CALL_TIMEOUT_MS = 2_000;

/** The durable identity record of a data folder. */
export class IdentityRecord {
  readonly #folder: Folder;
  #identity: ReplicaIdentity;
  /** Latest write. Writes are serialized, because each replaces the same file. */
  #lastWrite: Promise<void> = Promise.resolve();

  private constructor(folder: Folder, identity: ReplicaIdentity) {
    this.#folder = folder;
    this.#identity = identity;
  }

  /** Reads the record, or creates it if the folder has none. */
  static async open(
    folder: Folder,
    options: { id: string; random: Random },
  ): Promise<IdentityRecord> {
    await folder.removeTemporaryFiles();
    const bytes = await folder.tryRead(IDENTITY_FILE);
    if (bytes !== undefined) {
      return new IdentityRecord(folder, decodeIdentity(folder.path, bytes));
    }
    const record = new IdentityRecord(
      folder,
      create(ReplicaIdentitySchema, {
        id: options.id,
        folderId: options.random.createId(),
      }),
    );
    await record.#save({});
    return record;
  }

  /** Whether enough other members have accepted the identity. */
  get isConfirmed(): boolean {
    return this.#identity.confirmed;
  }

  get introduction(): { id: string; folderId: string } {
    return { id: this.#identity.id, folderId: this.#identity.folderId };
  }

  /**
   * Whether `other` presents the folder id that was first recorded for its
   * name. Records the folder id of a name that is not known yet.
   */
  async accept(other: Introduction): Promise<boolean> {
    const known = this.#identity.known.find((introduction) =>
      introduction.id === other.id
    );
    if (known !== undefined) return known.folderId === other.folderId;
    await this.#save({ known: [...this.#identity.known, other] });
    return true;
  }

  /** Records that enough other members have accepted the identity. */
  async confirm(): Promise<void> {
    await this.#save({ confirmed: true });
  }

  async #save(change: Partial<ReplicaIdentity>): Promise<void> {
    this.#identity = create(ReplicaIdentitySchema, {
      ...this.#identity,
      ...change,
    });
    const bytes = toBinary(ReplicaIdentitySchema, this.#identity);
    const write = () => this.#folder.replace(IDENTITY_FILE, bytes);
    // A failed write must not fail all later ones.
    this.#lastWrite = this.#lastWrite.then(write, write);
    await this.#lastWrite;
  }
}

/**
 * Throws RECORD_CORRUPT: a replica without its folder id can't tell whether it has
 * voted, as if its disk were lost.
 */
function decodeIdentity(
  folderPath: string,
  bytes: Uint8Array,
): ReplicaIdentity {
  const createError = (reason: string) =>
    new ServingError(MessageCode.RECORD_CORRUPT, {
      parameters: { path: `${folderPath}/${IDENTITY_FILE}`, offset: 0, reason },
    });
  try {
    const identity = fromBinary(ReplicaIdentitySchema, bytes);
    if (identity.folderId !== "") return identity;
  } catch (error) {
    throw createError(getReason(error));
  }
  throw createError("the folder id is missing");
}

/**
 * Introduces a replica to the other members until enough of them accept it:
 * all initial members, or a majority if it joins a running group. Throws
 * IDENTITY_LOST if a member has recorded another folder id for its name.
 */
export async function introduceReplica(
  record: IdentityRecord,
  options: {
    addresses: readonly string[];
    requiredCount: number;
    credentials: RpcCredentials;
    clock: Clock;
    isStopping: () => boolean;
    folderPath: string;
  },
): Promise<void> {
  const pending = new Set(options.addresses);
  const clients = new Map(
    options.addresses.map((address) => [
      address,
      new RpcClient(address, options.credentials),
    ]),
  );
  const hasEnough = () =>
    options.addresses.length - pending.size >= options.requiredCount;
  try {
    while (!hasEnough() && !options.isStopping()) {
      const answers = await Promise.all(
        [...pending].map(async (address) => ({
          address,
          accepted: await tryIntroduce(clients.get(address), record),
        })),
      );
      if (answers.some((answer) => answer.accepted === false)) {
        throw new ServingError(MessageCode.IDENTITY_LOST, {
          parameters: {
            path: options.folderPath,
            replica: record.introduction.id,
          },
        });
      }
      answers.filter((answer) => answer.accepted === true)
        .forEach((answer) => pending.delete(answer.address));
      if (!hasEnough()) await options.clock.delay(RETRY_INTERVAL_MS);
    }
  } finally {
    clients.forEach((client) => client.close());
  }
}

async function tryIntroduce(
  client: RpcClient | undefined,
  record: IdentityRecord,
): Promise<boolean | undefined> {
  try {
    const reply = await client?.call(
      Replicas.method.introduce,
      record.introduction,
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    return reply?.accepted;
  } catch {
    return undefined;
  }
}
