/**
 * Connections that fail before a request is sent. Guards against streams that are
 * bound to a software version being refused because the servers that have it are
 * busy.
 */
import { expect } from "chai";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { create } from "@bufbuild/protobuf";
import { PlatformBackendDialect } from "../../platform/backend_dialect.ts";
import { type AttemptOptions, BackendClient } from "../fleet/backend_client.ts";
import { CrashDetector, type ServerRun } from "../fleet/crash_detector.ts";
import { RoutingView } from "../fleet/routing_view.ts";
import {
  FleetUpdateSchema,
  RegistrationSchema,
  ServerState,
} from "../schema/mod.ts";
import { PromptPartGuard } from "../services/common/prompt_part_guard.ts";
import { SystemClock } from "../sys/clock.ts";
import { createHttpAgent, type HttpAgent } from "../sys/http.ts";
import { createSilentLog } from "../sys/log.ts";
import { Metrics } from "../sys/metrics.ts";

const ATTEMPTS = 20;
const PROBES = 5;

/** Time after which a result of a probe is not used again, in milliseconds. */
const PROBE_MS = 250;

describe("connections that fail before a request is sent", () => {
  let server: Server;
  let agent: HttpAgent;
  let address: string;
  /** Servers that no connection could be made to. */
  let notConnected: string[];

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.resetAndDestroy();
    });
    agent = createHttpAgent({ idleTimeoutMs: 1_000 });
    notConnected = [];
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  const send = async () => {
    const ignore = () => {};
    const client = new BackendClient({
      dialect: new PlatformBackendDialect(),
      agent,
      onLoad: ignore,
      onWrongServer: ignore,
      onLeaving: ignore,
      onLimit: ignore,
      onUnreachable: ignore,
      onNotConnected: (id) => notConnected.push(id),
      onActivity: ignore,
    });
    return await client.send({
      request: {
        requestId: "r",
        method: "GET",
        target: "/",
        headers: [],
        body: Buffer.alloc(0),
      },
      permit: { server: { id: "s", address } },
      remainingMs: 1_000,
      useNewConnection: true,
      signal: new AbortController().signal,
    } as unknown as AttemptOptions);
  };

  // Guards against a server that resets connections beyond its limit counting as
  // one that may have been started again.
  it("are no doubt about a server that resets them", async () => {
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) await send();
    expect(notConnected).deep.equal([]);
  });

  // Guards against the same rule for a server that has ended.
  it("are one about a server that refuses them", async () => {
    await new Promise((resolve) => server.close(resolve));
    expect((await send()).kind).equal("notRun");
    expect(notConnected).deep.equal(["s"]);
  });

  // Guards against the probe after a lost connection doubting a server that resets it.
  it("are no doubt about a server that resets a probe", async () => {
    const clock = new SystemClock();
    const log = createSilentLog();
    const metrics = new Metrics({ prefix: "test" });
    const view = new RoutingView({ registrationIntervalMs: 1_000, clock, log });
    const registration = create(RegistrationSchema, {
      id: "s",
      address,
      service: "service",
      softwareVersion: "v1",
      state: ServerState.READY,
      bornMs: 1n,
      slots: 1,
    });
    view.applyUpdate(
      create(FleetUpdateSchema, { servers: [registration] }),
      "control",
    );
    const detector = new CrashDetector({
      view,
      onSuspicionChange: () => {},
      promptPartGuard: new PromptPartGuard({
        suspicions: view.promptParts,
        onChange: () => {},
        clock,
        log,
        metrics,
      }),
      clock,
      log,
      metrics,
    });
    const req = { method: "GET", target: "/", headers: [], body: Buffer.of() };
    for (let attempt = 0; attempt < PROBES; attempt += 1) {
      await detector.recordConnectionLoss(
        {
          req,
          server: registration,
          unprovenParts: [],
        } as unknown as ServerRun,
      );
      await clock.delay(PROBE_MS);
      const nowMs = clock.getMonotonicMs();
      expect(view.servers.getAvailable("service", nowMs, "v1")).lengthOf(1);
    }
  });
});
