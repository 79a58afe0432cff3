/**
 * Answers in progress when a process ends, seen at callers that read raw bytes.
 * When a process is gone, the system closes its connections in an orderly way, so
 * an answer must not depend on the end of its connection to be known as whole.
 */
import { expect } from "chai";
import { range } from "./fleet_helpers.ts";
import type { TestProcess } from "./daemon_process.ts";
import { EVENT_COUNT, Framing } from "./platform_server.ts";
import { GatewayProcess } from "./gateway_process.ts";
import type { RawAnswer } from "./raw_caller.ts";

/** Event that servers hold back until a process has ended. */
const HELD_EVENT = 3;

/** Makes an answer longer than what a gateway buffers of it. */
const PADDING_BYTES = 150_000;

const GRACE_MS = 3_000;

/** Time in which events reach callers, in milliseconds. */
const PASS_MS = 300;

/** Prefixes of the routes, one for each kind of request. */
const TARGETS = ["/l/", "/s/", "/n/", "/p/"];
const HTTP_VERSIONS = ["1.1", "1.0"] as const;
const CALLERS_PER_CASE = 6;

/** Ways in which a process ends. */
const ENDINGS: Record<string, (process: TestProcess) => Promise<void>> = {
  "a kill": (process) => {
    process.kill("SIGKILL");
    return Promise.resolve();
  },
  "a kill while it stands still": async (process) => {
    process.kill("SIGSTOP");
    await delay(500);
    process.kill("SIGKILL");
  },
  "a kill in its grace period": async (process) => {
    process.kill("SIGTERM");
    await delay(1_000);
    process.kill("SIGKILL");
  },
  "the end of its grace period": (process) => {
    process.kill("SIGTERM");
    return Promise.resolve();
  },
  "an error of its own": (process) => {
    process.kill("SIGABRT");
    return Promise.resolve();
  },
};

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A request of a raw caller. */
interface RequestCase {
  readonly target: string;
  readonly httpVersion: "1.0" | "1.1";
}

/** Describes an answer that looks whole and isn't. */
function findViolation(
  answer: RawAnswer,
  requestCase: RequestCase | undefined,
): string[] {
  const events = answer.body.match(/^data: /gm)?.length ?? 0;
  const isPartial = answer.status === 200 && events < EVENT_COUNT;
  return isPartial && answer.looksWhole
    ? [
      `HTTP/${requestCase?.httpVersion} ${requestCase?.target}: whole after ` +
      `event ${events}, ${answer.headers.get("x-server-stamp")}, ${answer.end}`,
    ]
    : [];
}

describe("answers in progress", () => {
  const gateway = new GatewayProcess();
  const { fleet } = gateway;
  let releaseEvents = () => {};

  before(async () => {
    await gateway.open({ servers: 3, graceMs: GRACE_MS });
    fleet.servers.forEach((server, index) => {
      server.framing = Object.values(Framing)[index] ?? Framing.none;
    });
  });

  after(() => gateway.close());

  const holdEvents = () => {
    const released = new Promise<void>((resolve) => {
      releaseEvents = resolve;
    });
    fleet.servers.forEach((server) => {
      server.getEventGate = (number) =>
        number === HELD_EVENT ? released : undefined;
    });
  };

  afterEach(() => releaseEvents());

  /** Sends one request of each case; resolves when all are at servers. */
  const sendAll = async (cases: readonly RequestCase[]) => {
    const sent = cases.map((requestCase) => {
      const id = gateway.createId();
      return { id, answer: gateway.send(id, requestCase) };
    });
    await fleet.waitUntil(
      "all requests at servers",
      () => sent.every(({ id }) => fleet.getReceivedRequests(id).length > 0),
    );
    return sent;
  };

  /** Ends a gateway while it passes answers on; fails if one looks whole. */
  const endGateway = async (
    end: (process: TestProcess) => Promise<void>,
    paddingBytes: number,
  ) => {
    fleet.servers.forEach((server) => {
      server.paddingBytes = paddingBytes;
    });
    const process = await gateway.start();
    holdEvents();
    const cases = TARGETS.flatMap((target) =>
      HTTP_VERSIONS.flatMap((httpVersion) =>
        range(CALLERS_PER_CASE).map(() => ({ target, httpVersion }))
      )
    );
    const sent = await sendAll(cases);
    // The events before the one that is held are on their way.
    await delay(PASS_MS);
    await end(process);
    await process.ended;
    const received = await Promise.all(sent.map(({ answer }) => answer));
    const violations = received.flatMap((answer, index) =>
      findViolation(answer, cases[index])
    );
    expect(violations).deep.equal([]);
    const partial = received.filter(({ body }) => body.length > 0);
    expect(partial).not.length(0);
  };

  Object.entries(ENDINGS).forEach(([name, end]) => {
    // Guards against a stream that ends as complete before its last event because
    // its gateway is gone.
    it(`don't look whole after ${name} of the gateway`, async () => {
      await endGateway(end, PADDING_BYTES);
    });
  });

  // Guards against a short answer, which a gateway needn't divide, that looks whole.
  it("don't look whole after a kill of the gateway if they are short", async () => {
    await endGateway(ENDINGS["a kill"]!, 0);
  });
});
