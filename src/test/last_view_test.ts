/** The view that a control host saves for its next start. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { LastViewWriter } from "../fleet/last_view.ts";
import { FleetUpdateSchema } from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { MemoryFolder } from "./memory_folder.ts";

/**
 * Time that is left to answer a server that leaves, in milliseconds: it waits for a
 * second, and half of that is for the record in the group.
 */
const FLUSH_MS = 500;

describe("the last view of a control host", () => {
  // Guards against a server that leaves and gets no answer while others register.
  it("is flushed in time while it goes on changing", async () => {
    const clock = new SystemClock();
    const folder = new MemoryFolder();
    let isChanging = true;
    const writer: LastViewWriter = new LastViewWriter({
      folder,
      clock,
      log: createSilentLog(),
      getView: () => {
        // Something changes during each write.
        if (isChanging) writer.scheduleWrite();
        return create(FleetUpdateSchema);
      },
    });
    const outcome = await Promise.race([
      writer.flush().then(() => "flushed"),
      clock.delay(FLUSH_MS).then(() => "late"),
    ]);
    isChanging = false;
    expect(outcome).equal("flushed");
    expect(await folder.tryRead("last-view")).not.equal(undefined);
    await writer.close();
    // Nothing is written any more, and nobody waits for it.
    await writer.flush();
  });

  it("that is flushed has what changed during a write", async () => {
    const clock = new SystemClock();
    const written: bigint[] = [];
    let version = 1n;
    let flushed: Promise<void> | undefined;
    const writer: LastViewWriter = new LastViewWriter({
      folder: new MemoryFolder(),
      clock,
      log: createSilentLog(),
      getView: () => {
        const view = create(FleetUpdateSchema, { routes: { version } });
        written.push(version);
        if (version === 1n) {
          version = 2n;
          flushed = writer.flush();
        }
        return view;
      },
    });
    await writer.flush();
    expect(written).deep.equal([1n]);
    await flushed;
    expect(written).deep.equal([1n, 2n]);
    await writer.close();
  });
});
