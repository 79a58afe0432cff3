/** The identity record of a state replica's folder. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { IntroductionSchema } from "../schema/mod.ts";
import { IdentityRecord } from "../services/control/replica_identity.ts";
import { DiskFolder } from "../sys/files.ts";
import { SeededRandom } from "../sys/random.ts";
import { range } from "./fleet_helpers.ts";

describe("replica identity", () => {
  it("keeps all introductions that arrive at once", async () => {
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
});
