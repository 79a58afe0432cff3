/**
 * Entry hosts that stood still for longer than the leases of the backend servers:
 * the announcements of that time are still unread.
 */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  FleetName,
  sendRequest,
  streamCompletion,
  waitUntil,
} from "../bench/mod.ts";
import { AnnouncementEffect, BackendView } from "../membership/mod.ts";
import { AnnouncementSchema } from "../schema/mod.ts";
import { QUICK_ENGINE, range, withFleet } from "./fleet_helpers.ts";

const LEASE_MS = 1_000;
const TICK_MS = 100;
const STALL_MS = 1_300;

/** Blocks this thread, as a stop of the process does. */
function standStill(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
}

describe("an entry that stood still", () => {
  const announce = (view: BackendView, sequence: number, nowMs: number) =>
    view.accept(
      create(AnnouncementSchema, {
        name: "s",
        deployment: "d",
        sequence: BigInt(sequence),
        leaseMs: LEASE_MS,
      }),
      nowMs,
    );

  const isServing = (view: BackendView, nowMs: number) =>
    view.getServing("d", nowMs).length === 1;

  // Guards against requests that are refused, and answers that are broken off,
  // since all servers seem to be gone.
  it("keeps the servers whose leases ended meanwhile", () => {
    const view = new BackendView();
    view.tick(0);
    announce(view, 1, 0);
    view.tick(TICK_MS);
    const nowMs = TICK_MS + STALL_MS;
    expect(isServing(view, nowMs)).equal(true);
    view.tick(nowMs);
    expect(isServing(view, nowMs)).equal(true);
    expect(view.removeExpired(nowMs)).deep.equal([]);
  });

  it("counts an announcement that it reads afterwards as a renewal", () => {
    const view = new BackendView();
    view.tick(0);
    announce(view, 1, 0);
    const nowMs = STALL_MS;
    expect(announce(view, 2, nowMs)).equal(AnnouncementEffect.refreshed);
    view.tick(nowMs + TICK_MS);
    expect(isServing(view, nowMs + LEASE_MS - 1)).equal(true);
  });

  it("loses servers that it doesn't hear afterwards", () => {
    const view = new BackendView();
    view.tick(0);
    announce(view, 1, 0);
    const ticks = range(20).map((index) => STALL_MS + index * TICK_MS);
    ticks.forEach((nowMs) => view.tick(nowMs));
    expect(isServing(view, STALL_MS + LEASE_MS)).equal(false);
    expect(view.removeExpired(STALL_MS + LEASE_MS)).length(1);
  });

  it("doesn't take back servers whose leases had ended before", () => {
    const view = new BackendView();
    announce(view, 1, 0);
    range(12).forEach((index) => view.tick(index * TICK_MS));
    expect(isServing(view, 1_100)).equal(false);
    view.tick(1_100 + STALL_MS);
    expect(isServing(view, 1_100 + STALL_MS)).equal(false);
  });

  // Guards against a lease that is extended by all the time since the clock began.
  it("takes no time of an older announcement for a stall", () => {
    const view = new BackendView();
    const startMs = 100_000;
    view.tick(startMs);
    announce(view, 2, startMs);
    expect(announce(view, 1, 0)).equal(AnnouncementEffect.old);
    range(12).forEach((index) => view.tick(startMs + index * TICK_MS));
    expect(isServing(view, startMs + LEASE_MS)).equal(false);
  });

  // Guards against the same in a whole fleet, servers included.
  it("serves requests and goes on with answers", () =>
    withFleet(
      { engines: 3, entries: 3, engine: QUICK_ENGINE },
      async (fleet) => {
        const { model } = FleetName;
        const addresses = fleet.getEntryAddresses();
        const answers = range(6).map((index) =>
          streamCompletion(addresses[index % 3] ?? "", {
            model,
            prompt: `answer ${index}`,
            max_tokens: 200,
          })
        );
        await waitUntil(
          fleet.clock,
          "load on every engine",
          () => fleet.engines.every((engine) => engine.load > 0),
        );
        standStill();
        const responses = await Promise.all(
          addresses.map((address) =>
            sendRequest(address, "/v1/completions", { model, prompt: "after" })
          ),
        );
        expect(responses.map(({ status }) => status)).deep.equal([
          200,
          200,
          200,
        ]);
        expect((await Promise.all(answers)).every(({ isDone }) => isDone))
          .equal(true);
      },
    ));
});
