/**
 * Crashes of backend servers under the requests of an entry, seen when the entry
 * has heard nothing of the server for some time.
 */
import { expect } from "chai";
import { create } from "@bufbuild/protobuf";
import { createServer } from "node:http";
import { type BackendServer, FleetView } from "../membership/mod.ts";
import { AnnouncementSchema } from "../schema/mod.ts";
import { CrashDetector } from "../services/online/crash_detector.ts";
import { PromptPartGuard } from "../services/common/prompt_part_guard.ts";
import { SystemClock } from "../sys/clock.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";

/** Returns a local address at which nothing listens. */
async function getClosedAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  if (address === null || typeof address === "string") {
    throw new Error("the server has no port");
  }
  return `127.0.0.1:${address.port}`;
}

describe("crash detector", () => {
  // Guards against a poison request that ends one more server, because the lease of
  // the first ended before its connections were seen to end.
  it("counts the crash of a server whose lease has ended meanwhile", async () => {
    const clock = new SystemClock();
    const view = new FleetView();
    const leaseMs = 1_000;
    const announcedMs = clock.getMonotonicMs();
    view.backends.accept(
      create(AnnouncementSchema, {
        name: "engine-1",
        incarnation: 1n,
        address: await getClosedAddress(),
        leaseMs,
      }),
      announcedMs,
    );
    const server = view.backends.tryGet("engine-1") as BackendServer;
    view.backends.removeExpired(announcedMs + 100 * leaseMs);
    expect(view.backends.tryGet("engine-1")).equal(undefined);
    const detector = new CrashDetector({
      view,
      clock,
      log: createSilentLog(),
      onSuspicionChange: () => {},
      promptPartGuard: new PromptPartGuard({
        suspicions: view.promptParts,
        onChange: () => {},
        clock,
        log: createSilentLog(),
        metrics: new Metrics({ prefix: "test" }),
      }),
    });
    await detector.recordConnectionLoss("fingerprint", {
      server,
      incarnation: 1n,
      isBatch: false,
      signal: new AbortController().signal,
      isPreempted: false,
      release: () => {},
    });
    expect(view.suspicions.getServerFailureCount("fingerprint")).equal(1);
  });
});
