/**
 * Property-based tests: random steps against the oracle of the fuzz harness,
 * and random input for the parsers and the log. The seed is fixed by default.
 * PAPAYATALLY_FUZZ_RUNS and PAPAYATALLY_FUZZ_SEED set another number of runs
 * and another seed. A failure prints its seed and the shrunk steps.
 */
import { expect } from "chai";
import fc from "fast-check";
import { create } from "@bufbuild/protobuf";
import {
  EntrySettingsSchema,
  HardStateSchema,
  StateSettingsSchema,
} from "../schema/mod.ts";
import { createHardStateRecord, ReplicaStore } from "../state/mod.ts";
import { ServingError } from "../sys/errors.ts";
import { parseSettings } from "../sys/settings.ts";
import { scanFrames } from "../state/log/frame.ts";
import { parseCompletion } from "../services/online/completion_service.ts";
import { parseItemLine } from "../services/common/item_line.ts";
import { FuzzHarness } from "./fuzz_harness.ts";
import { MemoryFolder } from "./memory_folder.ts";

const numRuns = Number(process.env.PAPAYATALLY_FUZZ_RUNS ?? 300);
const seed = Number(process.env.PAPAYATALLY_FUZZ_SEED ?? 20_27);
const parameters = { numRuns, seed };

const entryIndex = fc.nat(2);
const smallNumber = fc.nat(5);
const itemResult = fc.constantFrom("answered", "lost", "not run", "late");
const requestResult = fc.constantFrom("answered", "lost", "not run", "held");

type Step = (harness: FuzzHarness) => void;

function withName(name: string, step: Step): Step {
  return Object.assign(step, { toString: () => name });
}

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.tuple(smallNumber, fc.integer({ min: 1, max: 6 }), fc.boolean()).map((
    [job, size, nonIdempotent],
  ) =>
    withName(
      `submit ${job} ${size} ${nonIdempotent}`,
      (harness) => harness.submit(job, size, nonIdempotent),
    )
  ),
  smallNumber.map((job) =>
    withName(`cancel ${job}`, (harness) => harness.cancel(job))
  ),
  fc.tuple(entryIndex, fc.integer({ min: 1, max: 4 }), fc.boolean()).map((
    [entry, count, isReplyLost],
  ) =>
    withName(
      `claim ${entry} ${count} ${isReplyLost}`,
      (harness) => harness.claim(entry, count, isReplyLost),
    )
  ),
  fc.tuple(entryIndex, itemResult).map(([entry, result]) =>
    withName(
      `run ${entry} ${result}`,
      (harness) => harness.runItem(entry, result),
    )
  ),
  fc.nat(50).map((index) =>
    withName(`redeliver ${index}`, (harness) => harness.redeliverCommand(index))
  ),
  entryIndex.map((entry) =>
    withName(`expire ${entry}`, (harness) => harness.expire(entry))
  ),
  entryIndex.map((entry) =>
    withName(`crash ${entry}`, (harness) => harness.crash(entry))
  ),
  entryIndex.map((entry) =>
    withName(`stop ${entry}`, (harness) => harness.stop(entry))
  ),
  fc.constant(withName("restart", (harness) => harness.restart())),
  fc.tuple(entryIndex, smallNumber, requestResult).map(([entry, key, result]) =>
    withName(
      `request ${entry} ${key} ${result}`,
      (harness) => harness.request(entry, key, result),
    )
  ),
  fc.tuple(fc.nat(8), fc.nat(2), fc.nat(3)).map((
    [id, versionsBehind, actionVariant],
  ) =>
    withName(
      `order ${id} ${versionsBehind} ${actionVariant}`,
      (harness) => harness.order(id, versionsBehind, actionVariant),
    )
  ),
  fc.nat(20).map((index) =>
    withName(
      `configuration ${index}`,
      (harness) => harness.deliverConfiguration(index),
    )
  ),
  fc.tuple(fc.nat(2), fc.nat(2), fc.nat(6), fc.boolean()).map((
    [server, incarnation, sequence, leaving],
  ) =>
    withName(
      `announce ${server} ${incarnation} ${sequence} ${leaving}`,
      (harness) => harness.announce(server, incarnation, sequence, leaving),
    )
  ),
);

describe("fuzzing", () => {
  it("keeps the invariants under random steps", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, size: "max" }), (steps) => {
        const harness = new FuzzHarness();
        steps.forEach((step) => {
          step(harness);
          harness.check();
        });
        harness.drain();
      }),
      parameters,
    );
  }).timeout(240_000);

  it("parses any settings text to settings or a list of faults", () => {
    const token = fc.constantFrom(
      ...'id data_centre = [ ] " 1 -1 true \n . limits state x'.split(" "),
    );
    fc.assert(
      fc.property(
        fc.oneof(
          fc.string(),
          fc.array(token).map((tokens) => tokens.join(" ")),
        ),
        (text) => {
          [EntrySettingsSchema, StateSettingsSchema].forEach((schema) => {
            const result = parseSettings(schema, text);
            if (!result.ok) expect(result.faults.length).greaterThan(0);
          });
        },
      ),
      parameters,
    );
  });

  it("parses any body or refuses it with a ServingError", () => {
    fc.assert(
      fc.property(
        fc.oneof(
          fc.uint8Array(),
          fc.json().map((text) => new TextEncoder().encode(text)),
        ),
        (bytes) => {
          [() => parseCompletion(bytes), () => parseItemLine(bytes, 1)]
            .forEach((parse) => {
              try {
                parse();
              } catch (error) {
                expect(error).instanceOf(ServingError);
              }
            });
        },
      ),
      parameters,
    );
  });

  it("recovers no record that was not written", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 5 }),
        fc.nat(400),
        fc.uint8Array({ maxLength: 40 }),
        async (count, cutLength, tail) => {
          const name = "segment-0000000000000001";
          const folder = new MemoryFolder();
          const store = new ReplicaStore(folder);
          await store.recover();
          for (let term = 1; term <= count; term += 1) {
            await store.append([createHardStateRecord(
              create(HardStateSchema, { term: BigInt(term) }),
            )]);
          }
          const bytes = await folder.tryRead(name) ?? new Uint8Array();
          const file = await folder.openAppend(
            name,
            Math.min(cutLength, bytes.length),
          );
          await file.append(tail);
          const damaged = await folder.tryRead(name) ?? new Uint8Array();
          const intactFrames = scanFrames(damaged).payloads.length;
          const recovered = await new ReplicaStore(folder).recover().catch(
            (error) => {
              expect(error).instanceOf(ServingError);
              return undefined;
            },
          );
          if (recovered === undefined) return;
          expect(Number(recovered.hardState.term)).equal(intactFrames);
        },
      ),
      parameters,
    );
  });
});
