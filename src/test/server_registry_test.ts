/** Registrations of backend servers: late, doubled and out of order. */
import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import { splitLoads } from "../fleet/load_exchange.ts";
import { LoadTracker, ServerRegistry } from "../membership/mod.ts";
import {
  LoadReportSchema,
  type Registration,
  RegistrationSchema,
  ServerState,
} from "../schema/mod.ts";

const BEAT_MS = 1_000;

function createRegistration(values: Partial<Registration>): Registration {
  return create(
    RegistrationSchema,
    {
      id: "a",
      bornMs: 10n,
      sequence: 1n,
      service: "s",
      address: "10.0.0.1:80",
      dataCentre: "dc",
      state: ServerState.READY,
      slots: 4,
      ...values,
    } as Parameters<typeof create<typeof RegistrationSchema>>[1],
  );
}

function createRegistry() {
  const book = new ServerRegistry({ heartbeatMs: BEAT_MS });
  const accept = (values: Partial<Registration>, nowMs = 0) =>
    book.accept(createRegistration(values), nowMs);
  const getUsable = (nowMs = 0) =>
    book.getAvailable("s", nowMs).map((one) => one.id);
  return { book, accept, getUsable };
}

describe("server book", () => {
  it("keeps a leaving server out whatever arrives late", () => {
    const { book, accept, getUsable } = createRegistry();
    expect(accept({})).equal("added");
    expect(book.getReadyCount()).equal(1);
    expect(accept({ state: ServerState.DRAINING, sequence: 3n }))
      .equal("changed");
    expect(accept({ sequence: 2n })).equal("old");
    expect(accept({ sequence: 9n })).equal("old");
    expect(getUsable()).deep.equal([]);
    expect(book.getReadyCount()).equal(0);
    expect(accept({ state: ServerState.GONE, sequence: 0n })).equal("changed");
    expect(accept({ state: ServerState.DRAINING, sequence: 10n }))
      .equal("old");
  });

  it("takes a restart under the same id, and nothing of the start before", () => {
    const { accept, getUsable } = createRegistry();
    accept({ sequence: 50n, state: ServerState.DRAINING });
    expect(accept({ bornMs: 20n, sequence: 1n })).equal("added");
    expect(accept({ bornMs: 10n, sequence: 99n })).equal("old");
    expect(getUsable()).deep.equal(["a"]);
  });

  it("gives an address to the server that started there last", () => {
    const { accept, getUsable } = createRegistry();
    accept({ id: "a", bornMs: 10n });
    accept({ id: "b", bornMs: 20n });
    expect(getUsable()).deep.equal(["b"]);
    // Held up on its way, from before the second server started.
    expect(accept({ id: "a", bornMs: 10n, sequence: 7n })).equal("old");
    expect(getUsable()).deep.equal(["b"]);
  });

  it("counts silence only while control hosts are heard", () => {
    const { book, accept, getUsable } = createRegistry();
    accept({}, 0);
    book.recordControlHeard(0);
    expect(getUsable(60_000)).deep.equal(["a"]);
    book.recordControlHeard(10 * BEAT_MS);
    expect(getUsable(10 * BEAT_MS)).deep.equal([]);
    book.recordHeard("a", 10 * BEAT_MS);
    expect(getUsable(10 * BEAT_MS)).deep.equal(["a"]);
  });

  it("leaves a server alone longer each time it fails again", () => {
    const { book, accept, getUsable } = createRegistry();
    accept({ id: "b", address: "10.0.0.2:80" });
    accept({});
    const isBackingOff = (nowMs: number) => !getUsable(nowMs).includes("a");
    // Requests that fail together are one failure.
    [0, 10, 400].forEach((nowMs) => book.backOff("a", nowMs, 500));
    expect(isBackingOff(499)).equal(true);
    expect(isBackingOff(500)).equal(false);
    book.backOff("a", 600, 500);
    expect(isBackingOff(1_599)).equal(true);
    expect(isBackingOff(1_600)).equal(false);
    book.backOff("a", 2_000, 500);
    expect(isBackingOff(3_999)).equal(true);
    book.recordResponse("a");
    book.backOff("a", 5_000, 500);
    expect(isBackingOff(5_500)).equal(false);
    for (let nowMs = 6_000; nowMs < 60_000; nowMs += 9_000) {
      book.backOff("a", nowMs, 500);
      expect(isBackingOff(nowMs + 8_000)).equal(false);
    }
    book.backOff("a", 70_000, 500);
    // A new start has failed nothing.
    accept({ bornMs: 20n }, 70_001);
    expect(isBackingOff(70_002)).equal(false);
  });

  it("sends a silent server nothing before it has registered again", () => {
    const { book, accept, getUsable } = createRegistry();
    accept({ id: "b", address: "10.0.0.2:80" });
    accept({});
    book.recordControlHeard(0);
    book.backOffSilent("a", 0, 500);
    expect(getUsable(600), "no news of anybody").include("a");
    book.recordControlHeard(2 * BEAT_MS);
    book.recordHeard("b", 2 * BEAT_MS);
    expect(getUsable(2 * BEAT_MS), "news, and not of this one")
      .not.include("a");
    book.recordHeard("a", 2 * BEAT_MS + 1);
    expect(getUsable(2 * BEAT_MS + 2)).include("a");
  });

  it("leaves a server alone after a failure, and a misplaced one for good", () => {
    const { book, accept, getUsable } = createRegistry();
    accept({});
    book.backOff("a", 0, 500);
    expect(getUsable(499), "better than none").deep.equal(["a"]);
    accept({ id: "b", address: "10.0.0.2:80" });
    expect(getUsable(499)).deep.equal(["b"]);
    expect(getUsable(500)).deep.equal(["a", "b"]);
    book.recordIdentityMismatch("a");
    expect(getUsable(500)).deep.equal(["b"]);
    accept({ sequence: 2n });
    expect(getUsable(500)).deep.equal(["a", "b"]);
  });
});

describe("load book", () => {
  const report = (sender: string, sequence: bigint, online: number) =>
    create(LoadReportSchema, {
      sender,
      sequence,
      loads: [{ server: "a", online, batch: 0 }],
    });

  it("adds own requests to the newest report of each other process", () => {
    const book = new LoadTracker();
    book.begin("a", "online");
    book.begin("a", "batch");
    book.acceptReport(report("x", 2n, 3), 0);
    expect(book.acceptReport(report("x", 1n, 9), 0)).equal(false);
    book.acceptReport(report("y", 1n, 1), 0);
    expect(book.getBusy("a", 0)).equal(6);
    book.end("a", "batch");
    expect(book.getBusy("a", 0)).equal(5);
    expect(book.getBusy("a", 5_000), "old reports count no more").equal(1);
  });

  it("takes the word of the server where it knows of more", () => {
    const book = new LoadTracker();
    book.observe("a", 6, 0);
    book.begin("a", "online");
    expect(book.getBusy("a", 100)).equal(7);
    expect(book.getBusy("a", 1_000)).equal(1);
  });

  it("takes the newest merged report, whichever process sent it", () => {
    const book = new LoadTracker();
    const merged = (sender: string, sequence: bigint, online: number) => ({
      ...report(sender, sequence, online),
      merged: true,
    });
    book.acceptReport(merged("x", 90n, 3), 0);
    book.acceptReport(merged("y", 5n, 4), 10);
    expect(book.getBusy("a", 20)).equal(4);
    expect(book.acceptReport(merged("y", 4n, 9), 20)).equal(false);
    expect(book.getBusy("a", 20)).equal(4);
  });

  it("adds up the parts of a report, and forgets parts that are no more", () => {
    const book = new LoadTracker();
    const loads = Array.from({ length: 100 }, (_, index) => ({
      ...create(LoadReportSchema, {
        loads: [{ server: `s${index}`, online: index + 1, batch: 0 }],
      }).loads[0],
    })) as Parameters<typeof splitLoads>[0];
    const send = (of: typeof loads, sequence: number) =>
      splitLoads(of).forEach((part, index, all) =>
        book.acceptReport(
          create(LoadReportSchema, {
            sender: "x",
            sequence: BigInt(sequence + index),
            loads: part,
            merged: true,
            part: index,
            parts: all.length,
          }),
          0,
        )
      );
    send(loads, 1);
    const getAll = () => loads.map((load) => book.getBusy(load.server, 0));
    expect(splitLoads(loads).length).greaterThan(1);
    splitLoads(loads).forEach((part) => {
      const report = create(LoadReportSchema, { loads: [...part] });
      expect(toBinary(LoadReportSchema, report).length).lessThan(1_472);
    });
    expect(getAll()).deep.equal(loads.map((load) => load.online));
    send(loads.slice(0, 3), 50);
    expect(getAll().filter((busy) => busy > 0)).deep.equal([1, 2, 3]);
  });

  it("merges loads without those of the process that asks", () => {
    const book = new LoadTracker();
    book.begin("a", "batch");
    book.acceptReport(report("x", 1n, 3), 0);
    book.acceptReport(report("y", 1n, 2), 0);
    const [merged] = book.getMerged(0, "x");
    expect(merged).include({ server: "a", online: 2, batch: 1 });
  });
});
