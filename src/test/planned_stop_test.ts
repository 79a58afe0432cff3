/**
 * A planned stop of a gateway, a process of its own, while requests come in: what
 * it takes, it answers before it ends, or says that it has not run.
 */
import { expect } from "chai";
import { range, withFleet } from "./fleet_helpers.ts";
import { GatewayProcess } from "./gateway_process.ts";
import { EVENT_COUNT } from "./platform_server.ts";
import { type RawAnswer, sendRawRequest } from "./raw_caller.ts";

const GRACE_MS = 5_000;

/** Time that a request takes at a server, in milliseconds. */
const WORK_MS = 1_200;

/** Time between two requests whose bodies become complete, in milliseconds. */
const INTERVAL_MS = 200;

/**
 * Time from the stop signal on in which requests are taken though they may not end
 * in time, in milliseconds.
 */
const EARLY_MS = 2_500;

/** Time from the stop signal on after which nothing taken is given up. */
const LATE_MS = 3_000;

const TARGETS = ["/l/", "/s/", "/n/", "/p/"];
const JOBS = "/b/";

function createJob(id: string): string {
  return JSON.stringify({
    Items: [{
      Id: `${id}-item`,
      Path: `${JOBS}${id}`,
      Headers: {},
      Body: Buffer.from(id).toString("base64"),
      Tokens: 1,
    }],
  });
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function isWholeSuccess({ status, body, looksWhole }: RawAnswer): boolean {
  const events = body.match(/^data: /gm)?.length ?? 0;
  return status === 200 && looksWhole && events === EVENT_COUNT;
}

describe("a planned stop", () => {
  const gateway = new GatewayProcess();
  const { fleet } = gateway;

  before(async () => {
    await gateway.open({ servers: 3, graceMs: GRACE_MS });
    fleet.servers.forEach((server) => {
      server.firstEventMs = WORK_MS;
    });
  });

  after(() => gateway.close());

  const hasRun = (id: string) => fleet.getReceivedRequests(id).length > 0;

  /** Sends requests whose last bytes come `afterMs` after the stop signal. */
  const stopWhileSending = async (
    headers: Record<string, string>,
    targets: readonly string[] = TARGETS,
  ) => {
    const process = await gateway.start();
    let signalled = () => {};
    const whenSignalled = new Promise<void>((resolve) => {
      signalled = resolve;
    });
    const sent = targets.flatMap((target) =>
      range(GRACE_MS / INTERVAL_MS).map((index) => {
        const id = gateway.createId();
        const afterMs = index * INTERVAL_MS;
        const whenComplete = whenSignalled.then(() => delay(afterMs));
        const answer = gateway.send(id, {
          target,
          headers,
          body: target === JOBS ? createJob(id) : `body of ${id}`,
          whenComplete,
        });
        return { id, target, afterMs, answer };
      })
    );
    await delay(2 * INTERVAL_MS);
    process.kill("SIGTERM");
    signalled();
    await process.ended;
    return Promise.all(
      sent.map(async (request) => ({
        ...request,
        answer: await request.answer,
      })),
    );
  };

  // Guards against requests that come late in the grace period, are passed on, and
  // are cut at its end with no answer.
  it("answers what it takes late, or says that it has not run", async () => {
    const requests = await stopWhileSending({});
    const unanswered = requests
      .filter(({ answer }) => !isWholeSuccess(answer))
      .filter(({ id, answer }) => answer.status !== 503 || hasRun(id))
      // Others have an answer, which may say that the outcome is unknown.
      .filter(({ afterMs, answer }) => afterMs > LATE_MS || answer.status === 0)
      .map(({ id, target, afterMs, answer }) =>
        `${target} complete after ${afterMs} ms: ${answer.status}, ` +
        `${answer.end}${hasRun(id) ? ", at a server" : ""}`
      );
    expect(unanswered).deep.equal([]);
  });

  // Guards against jobs that come late and get no answer, or are refused and run.
  it("takes jobs, or says that they have not run", async () => {
    const requests = await stopWhileSending({}, [JOBS]);
    const unanswered = requests
      .filter(({ answer }) => answer.status !== 202 || !answer.looksWhole)
      .filter(({ id, answer }) => answer.status !== 503 || hasRun(`${id}-item`))
      .map(({ afterMs, answer }) =>
        `complete after ${afterMs} ms: ${answer.status}, ${answer.end}`
      );
    expect(unanswered).deep.equal([]);
    expect(requests.filter(({ answer }) => answer.status === 202)).not.length(
      0,
    );
  });

  // Guards against refusals of requests that a stopping gateway could serve.
  it("takes what comes early, and late what must end in time", async () => {
    const requests = await stopWhileSending({ "X-Deadline-Ms": "1900" });
    const lateMs = GRACE_MS - 1_900 - 2 * INTERVAL_MS;
    const refused = requests
      .filter(({ afterMs }) => afterMs < Math.min(EARLY_MS, lateMs))
      .filter(({ answer }) => answer.status === 503)
      .map(({ target, afterMs }) => `${target} complete after ${afterMs} ms`);
    expect(refused).deep.equal([]);
  });
});

describe("a planned stop of an entry", () => {
  const STOP_DELAY_MS = 600;
  const STOP_TIMEOUT_MS = 1_500;
  const SERVICE_MS = 700;

  /** Sends receipts whose last bytes come `afterMs` after the stop began. */
  const stopWhileSending = (
    check: (requests: {
      afterMs: number;
      count: number;
      answer: RawAnswer;
    }[]) => void,
  ) =>
    withFleet({
      engines: 0,
      entrySettings: {
        stop_delay_ms: STOP_DELAY_MS,
        stop_timeout_ms: STOP_TIMEOUT_MS,
      },
    }, async (fleet) => {
      fleet.services.forEach((service) => {
        service.delayMs = SERVICE_MS;
      });
      const [entry] = fleet.entries;
      if (entry === undefined) throw new Error("no entry");
      let stop = () => {};
      const whenStopped = new Promise<void>((resolve) => {
        stop = resolve;
      });
      const count = (STOP_DELAY_MS + STOP_TIMEOUT_MS) / INTERVAL_MS;
      const sent = range(Math.floor(count)).map((index) => {
        const receipt = `receipt-${index}`;
        const afterMs = index * INTERVAL_MS;
        const answer = sendRawRequest({
          address: entry.address,
          target: "/receipts",
          body: JSON.stringify({ receipt }),
          whenComplete: whenStopped.then(() => delay(afterMs)),
        });
        return { receipt, afterMs, answer };
      });
      await delay(INTERVAL_MS);
      stop();
      await entry.stop();
      check(
        await Promise.all(sent.map(async ({ receipt, afterMs, answer }) => ({
          afterMs,
          answer: await answer,
          count: fleet.receiptCounts.get(receipt) ?? 0,
        }))),
      );
    });

  // Guards against requests that come late in a stop and get no answer.
  it("answers what it takes late, or says that it has not run", () =>
    stopWhileSending((requests) => {
      const unanswered = requests
        .filter(({ answer }) => answer.status !== 200 || !answer.looksWhole)
        .filter(({ answer, count }) => answer.status !== 503 || count > 0)
        .map(({ afterMs, answer, count }) =>
          `complete after ${afterMs} ms: ${answer.status}, ${answer.end}, ` +
          `run ${count} times`
        );
      expect(unanswered).deep.equal([]);
      const early = requests.filter(({ afterMs }) => afterMs < STOP_DELAY_MS);
      expect(early.filter(({ answer }) => answer.status !== 200)).length(0);
    }));
});
