/** The identity record of a state replica's folder. */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { IntroductionSchema } from "../schema/mod.js";
import { IdentityRecord } from "../services/replica_identity.js";
import { DiskFolder } from "../sys/files.js";
import { SeededRandom } from "../sys/random.js";
import { range } from "./fleet_helpers.js";
describe("replica identity", () => {
    it("keeps all introductions that arrive at once", async () => {
        const folderPath = await mkdtemp(path.join(tmpdir(), "identity-"));
        const folder = await DiskFolder.open(folderPath);
        const options = { id: "s1", random: new SeededRandom(1) };
        const record = await IdentityRecord.open(folder, options);
        const introduce = (index, folderId) => create(IntroductionSchema, { id: `s${index}`, folderId });
        const answers = await Promise.all([
            ...range(20).map((index) => record.accept(introduce(index, "f"))),
            record.confirm().then(() => true),
        ]);
        expect(answers).not.include(false);
        const again = await IdentityRecord.open(folder, options);
        expect(again.isConfirmed).equal(true);
        expect(await again.accept(introduce(7, "other"))).equal(false);
        await rm(folderPath, { recursive: true });
    });
});
//# sourceMappingURL=replica_identity_test.js.map