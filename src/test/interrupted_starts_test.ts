/** Starts on a data folder in which a first start was cut short. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { HardStateSchema, MembershipSchema } from "../schema/mod.ts";
import {
  getFounderId,
  openFounderIdentity,
  openReplicaId,
  tryReadInitialMembership,
  writeInitialMembership,
} from "../fleet/host_identity.ts";
import { tryReadLastView } from "../fleet/last_view.ts";
import { createHardStateRecord, ReplicaStore } from "../state/mod.ts";
import { createSilentLog } from "../sys/log.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";
import { MemoryFolder } from "./memory_folder.ts";

const address = "10.0.0.1:7000";
const seeds = [address, "10.0.0.2:7000", "10.0.0.3:7000"];
const log = createSilentLog();
const MAX_STEPS = 20;

/** Opens a control host's files, as its start does, and votes once. */
async function startControlHost(
  folder: MemoryFolder,
  options: { firstStart: boolean; steps?: number },
) {
  const fleet = await folder.openFolder("fleet") as MemoryFolder;
  folder.operationsLeft = options.steps ?? Infinity;
  await folder.removeTemporaryFiles();
  const identity = await openFounderIdentity(folder, {
    address,
    seeds,
    firstStart: options.firstStart,
    random: new SeededRandom(1),
    log,
  });
  await tryReadLastView(folder, log);
  fleet.operationsLeft = folder.operationsLeft;
  const store = new ReplicaStore(fleet);
  const { hardState } = await store.recover();
  await store.append([
    createHardStateRecord(create(HardStateSchema, { term: 1n, votedFor: "a" })),
  ]);
  await store.close();
  return { ...identity, hardState };
}

async function crash(folder: MemoryFolder) {
  folder.crash(0);
  (await folder.openFolder("fleet") as MemoryFolder).crash(0);
}

describe("interrupted starts", () => {
  // The members were there and the id was not; the host took a new id then, and no
  // member of the group could vote any more.
  it("keep the id of a founding control host", async () => {
    for (const steps of range(MAX_STEPS)) {
      const folder = new MemoryFolder();
      const first = await startControlHost(folder, { firstStart: true, steps })
        .catch(() => undefined);
      await crash(folder);
      const hadMembers =
        await tryReadInitialMembership(folder, log) !== undefined;
      const second = await startControlHost(folder, { firstStart: false });
      const isMember = second.members.members.some(({ id }) =>
        id === second.id
      );
      expect(isMember, `after ${steps} steps`).equal(hadMembers);
      expect(second.id === getFounderId(address)).equal(hadMembers);
      if (first === undefined) continue;
      expect(second.id).equal(first.id);
      expect(second.hardState.votedFor).equal("a");
    }
  });

  // Also if the start after that is another first start.
  it("form the same group at the next first start", async () => {
    for (const steps of range(MAX_STEPS)) {
      const folder = new MemoryFolder();
      await startControlHost(folder, { firstStart: true, steps })
        .catch(() => undefined);
      await crash(folder);
      const { id, members } = await startControlHost(folder, {
        firstStart: true,
      });
      expect(id).equal(getFounderId(address));
      expect(members.members.map((member) => member.id))
        .deep.equal(seeds.map(getFounderId));
    }
  });

  it("keep the id and the members of a store host", async () => {
    const start = async (folder: MemoryFolder) => {
      await folder.removeTemporaryFiles();
      const id = await openReplicaId(folder, {
        founderId: undefined,
        address,
        random: new SeededRandom(2),
        log,
      });
      const members = await tryReadInitialMembership(folder, log) ??
        create(MembershipSchema, { members: [{ id }] });
      await writeInitialMembership(folder, members);
      return { id, members };
    };
    for (const steps of range(MAX_STEPS)) {
      const folder = new MemoryFolder();
      folder.operationsLeft = steps;
      const first = await start(folder).catch(() => undefined);
      folder.crash(0);
      const second = await start(folder);
      expect(second.members.members[0]?.id).equal(second.id);
      if (first !== undefined) expect(second.id).equal(first.id);
    }
  });

  // A host without members ended at each start, though the log has them too.
  it("come up with small files that are empty or can't be decoded", async () => {
    for (const name of ["replica-name", "first-members", "last-view"]) {
      for (const bytes of [[], [0xff, 0xff]]) {
        const folder = new MemoryFolder();
        await startControlHost(folder, { firstStart: true });
        await folder.replace(name, Uint8Array.from(bytes));
        const { id, hardState } = await startControlHost(folder, {
          firstStart: false,
        });
        expect(id.startsWith(`${address}/`)).equal(true);
        expect(hardState.votedFor).equal("a");
      }
    }
  });

  // An id that may have voted must not be taken again by a guess.
  it("take a new id if the file of the id is empty", async () => {
    const folder = new MemoryFolder();
    const first = await startControlHost(folder, { firstStart: true });
    await folder.replace("replica-name", new Uint8Array());
    const second = await startControlHost(folder, { firstStart: false });
    expect(second.id).not.equal(first.id);
  });
});
