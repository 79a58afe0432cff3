/** The identity record in a state replica's data folder. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { IntroductionSchema, MessageCode } from "../schema/mod.ts";
import { IdentityRecord } from "../services/control/replica_identity.ts";
import { ServingError } from "../sys/errors.ts";
import { DiskFolder } from "../sys/files.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";
import { MemoryFolder } from "./memory_folder.ts";

describe("replica identity", () => {
  // Each write replaces the whole file, so concurrent writes could lose some.
  it("keeps all introductions that arrive concurrently", async () => {
    const folderPath = await mkdtemp(path.join(tmpdir(), "identity-"));
    const folder = await DiskFolder.open(folderPath);
    const options = { id: "s1", random: new SeededRandom(1) };
    const record = await IdentityRecord.open(folder, options);
    const introduce = (index: number, folderId: string) =>
      create(IntroductionSchema, { id: `s${index}`, folderId });
    const answers = await Promise.all([
      ...range(20).map((index) => record.accept(introduce(index, "f"))),
      record.confirm().then(() => true),
    ]);
    expect(answers).not.include(false);
    const reopened = await IdentityRecord.open(folder, options);
    expect(reopened.isConfirmed).equal(true);
    expect(await reopened.accept(introduce(7, "other"))).equal(false);
    await rm(folderPath, { recursive: true });
  });

  // An empty file was taken for an identity without ids.
  it("reports a record without a folder id", async () => {
    for (const bytes of [[], [0xff, 0xff]]) {
      const folder = new MemoryFolder("data");
      await folder.replace("identity", Uint8Array.from(bytes));
      const thrown = await IdentityRecord.open(folder, {
        id: "s1",
        random: new SeededRandom(1),
      }).then(() => undefined, (error) => error);
      expect(thrown).instanceOf(ServingError);
      expect(thrown.code).equal(MessageCode.RECORD_CORRUPT);
      expect(thrown.message).contain("data/identity");
    }
  });
});
