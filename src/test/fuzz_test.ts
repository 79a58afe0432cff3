/**
 * Stateful fuzzing against the oracle of the fuzz world. The seed is fixed;
 * PAPAYATALLY_FUZZ_RUNS and PAPAYATALLY_FUZZ_SEED make a longer run, which
 * prints its seed and the shrunk trace.
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
const parameters = { numRuns: numRuns, seed };

const entryIndex = fc.nat(2);
const smallNumber = fc.nat(5);
const itemResult = fc.constantFrom("answered", "lost", "not run", "late");
const requestResult = fc.constantFrom("answered", "lost", "not run", "held");

type Step = (world: FuzzHarness) => void;

function withName(name: string, step: Step): Step {
  return Object.assign(step, { toString: () => name });
}

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.tuple(smallNumber, fc.integer({ min: 1, max: 6 }), fc.boolean()).map((
    [job, size, non],
  ) =>
    withName(`submit ${job} ${size} ${non}`, (w) => w.submit(job, size, non))
  ),
  smallNumber.map((job) => withName(`cancel ${job}`, (w) => w.cancel(job))),
  fc.tuple(entryIndex, fc.integer({ min: 1, max: 4 }), fc.boolean()).map((
    [entry, count, lost],
  ) =>
    withName(
      `claim ${entry} ${count} ${lost}`,
      (w) => w.claim(entry, count, lost),
    )
  ),
  fc.tuple(entryIndex, itemResult).map(([entry, fate]) =>
    withName(`work ${entry} ${fate}`, (w) => w.runItem(entry, fate))
  ),
  fc.nat(50).map((at) => withName(`late ${at}`, (w) => w.redeliverCommand(at))),
  entryIndex.map((entry) =>
    withName(`expire ${entry}`, (w) => w.expire(entry))
  ),
  entryIndex.map((entry) => withName(`crash ${entry}`, (w) => w.crash(entry))),
  entryIndex.map((entry) => withName(`stop ${entry}`, (w) => w.stop(entry))),
  fc.constant(withName("restart", (w) => w.restart())),
  fc.tuple(entryIndex, smallNumber, requestResult).map(([entry, key, fate]) =>
    withName(
      `request ${entry} ${key} ${fate}`,
      (w) => w.request(entry, key, fate),
    )
  ),
  fc.tuple(fc.nat(8), fc.nat(2), fc.nat(3)).map(([id, back, reserve]) =>
    withName(
      `order ${id} ${back} ${reserve}`,
      (w) => w.order(id, back, reserve),
    )
  ),
  fc.nat(20).map((at) =>
    withName(`configuration ${at}`, (w) => w.deliverConfiguration(at))
  ),
  fc.tuple(fc.nat(2), fc.nat(2), fc.nat(6), fc.boolean()).map((
    [server, incarnation, sequence, leaving],
  ) =>
    withName(
      `announce ${server} ${incarnation} ${sequence} ${leaving}`,
      (w) => w.announce(server, incarnation, sequence, leaving),
    )
  ),
);

describe("fuzzing", () => {
  it("keeps the promises whatever happens", () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, size: "max" }), (steps) => {
        const world = new FuzzHarness();
        steps.forEach((one) => {
          one(world);
          world.check();
        });
        world.drain();
      }),
      parameters,
    );
  }).timeout(240_000);

  it("reads any settings text as settings or as faults", () => {
    const word = fc.constantFrom(
      ...'id data_centre = [ ] " 1 -1 true \n . limits state x'.split(" "),
    );
    fc.assert(
      fc.property(
        fc.oneof(fc.string(), fc.array(word).map((all) => all.join(" "))),
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

  it("reads any body as a completion or refuses it", () => {
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

  it("never reads records that were not written", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 5 }),
        fc.nat(400),
        fc.uint8Array({ maxLength: 40 }),
        async (count, cut, tail) => {
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
            Math.min(cut, bytes.length),
          );
          await file.append(tail);
          const whole = await folder.tryRead(name) ?? new Uint8Array();
          const written = scanFrames(whole).payloads.length;
          const recovered = await new ReplicaStore(folder).recover().catch(
            (error) => {
              expect(error).instanceOf(ServingError);
              return undefined;
            },
          );
          if (recovered === undefined) return;
          expect(Number(recovered.hardState.term)).equal(written);
        },
      ),
      parameters,
    );
  });
});
