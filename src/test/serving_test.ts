/** Tests that send callers' requests through a whole fleet. */
import { expect } from "chai";
import {
  FleetName,
  getCompletion,
  sendRequest,
  streamCompletion,
  waitUntil,
} from "../bench/mod.ts";
import { QUICK_ENGINE, range, withFleet } from "./fleet_helpers.ts";

const { model } = FleetName;

/**
 * Lease of engines that must not expire while one process runs a whole fleet,
 * in milliseconds. Node accepts one new connection per turn of the event loop,
 * so announcements can wait behind the connections of callers.
 */
const LASTING_LEASE_MS = 60_000;

describe("serving", () => {
  it("delivers its own bytes to each of 1000 streams over 64 connections", () =>
    withFleet({
      engines: 3,
      engine: { ...QUICK_ENGINE, leaseMs: LASTING_LEASE_MS },
    }, async (fleet) => {
      const addresses = fleet.getEntryAddresses();
      let next = 0;
      const wrong: unknown[] = [];
      const runWorker = async () => {
        while (next < 1_000) {
          const index = next;
          next += 1;
          const prompt = `question ${index}`;
          const tokens = 1 + index % 7;
          const answer = await streamCompletion(
            addresses[index % addresses.length] ?? "",
            { model, prompt, max_tokens: tokens },
          );
          const expected = getCompletion(JSON.stringify(prompt), tokens);
          if (!answer.isDone || answer.text !== expected) {
            wrong.push({ index, expected, ...answer });
          }
        }
      };
      await Promise.all(range(64).map(runWorker));
      expect(next).equal(1_000);
      expect(wrong).deep.equal([]);
    }));

  // Guards against refusals of requests that servers could take in time, because
  // none has ended yet or for a while.
  it("queues bursts that reach an idle gateway", () =>
    withFleet({
      engines: 3,
      entries: 1,
      engine: {
        ...QUICK_ENGINE,
        baseStepMs: 20,
        maxSequences: 4,
        leaseMs: LASTING_LEASE_MS,
      },
    }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      const sendBurst = async () => {
        const answers = await Promise.all(
          range(60).map((index) =>
            streamCompletion(address, {
              model,
              prompt: `question ${index}`,
              max_tokens: 5,
            })
          ),
        );
        return answers.filter((answer) => !answer.isDone);
      };
      expect(await sendBurst()).deep.equal([]);
      await fleet.clock.delay(5_000);
      expect(await sendBurst()).deep.equal([]);
    }));

  it("refuses at once what waits behind requests that don't end", () =>
    withFleet({
      engines: 3,
      entries: 1,
      engine: { ...QUICK_ENGINE, maxSequences: 4, leaseMs: LASTING_LEASE_MS },
    }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      const aborts = range(32).map(() => new AbortController());
      const held = aborts.map(({ signal }) =>
        streamCompletion(
          address,
          { model, prompt: "long", max_tokens: 1e6 },
          { signal },
        ).catch(() => undefined)
      );
      await waitUntil(
        fleet.clock,
        "20 waiting requests",
        () => fleet.entries[0]?.pool.waitingCount === 20,
      );
      await fleet.clock.delay(2_000);
      const startMs = fleet.clock.getMonotonicMs();
      const refused = await sendRequest(address, "/v1/completions", {
        model,
        prompt: "short",
      }, { headers: { "papayatally-deadline-ms": "1000" } });
      expect(fleet.clock.getMonotonicMs() - startMs).below(500);
      expect(refused.status).equal(503);
      expect(JSON.parse(refused.text)).include({
        code: "PT3002",
        verdict: "not run",
      });
      aborts.forEach((abort) => abort.abort());
      await Promise.all(held);
    }));

  it("frees the engine's sequence when the caller disconnects", () =>
    withFleet({ engines: 1 }, async (fleet) => {
      const abort = new AbortController();
      const answer = streamCompletion(
        fleet.getEntryAddresses()[0] ?? "",
        { model, prompt: "long", max_tokens: 100_000 },
        { signal: abort.signal },
      ).catch(() => undefined);
      const engine = fleet.engines[0];
      await waitUntil(
        fleet.clock,
        "one active sequence",
        () => engine?.load === 1,
      );
      abort.abort();
      await answer;
      await waitUntil(
        fleet.clock,
        "no active sequence",
        () => engine?.load === 0,
      );
    }));

  it("rejects each kind of invalid input as documented", () =>
    withFleet({
      engines: 1,
      entrySettings: {
        limits: {
          body_bytes: 4_096,
          line_bytes: 256,
          job_items: 3,
          header_bytes: 2_048,
          caller_streams: 2,
        },
      },
    }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      const jobs = `/v1/jobs?workload=${FleetName.workload}`;
      const cases: [string, unknown, Record<string, string>, number, string][] =
        [
          ["/v1/completions", "{", {}, 400, "PT2002"],
          ["/v1/completions", { model }, {}, 400, "PT2002"],
          ["/v1/completions", { prompt: "x" }, {}, 400, "PT2002"],
          ["/v1/completions", { model: "no", prompt: "x" }, {}, 404, "PT2007"],
          ["/v1/completions", "x".repeat(5_000), {}, 413, "PT2001"],
          ["/v1/completions", undefined, {}, 405, "PT2011"],
          ["/nowhere", {}, {}, 404, "PT2006"],
          ["/v1/jobs?workload=none", "{}", {}, 400, "PT2012"],
          [jobs, "not json", {}, 400, "PT2002"],
          [jobs, "", {}, 400, "PT2002"],
          [jobs, `{"prompt":"${"x".repeat(300)}"}`, {}, 413, "PT2003"],
          [jobs, "{}\n{}\n{}\n{}", {}, 413, "PT2004"],
          ["/v1/jobs/none", undefined, {}, 404, "PT2008"],
          ["/v1/jobs/none/results?after=x", undefined, {}, 400, "PT2012"],
          [
            "/v1/completions",
            { model, prompt: "x" },
            { "papayatally-deadline-ms": "soon" },
            400,
            "PT2012",
          ],
          [
            "/v1/completions",
            { model, prompt: "x" },
            { "idempotency-key": "k".repeat(300) },
            400,
            "PT2012",
          ],
          [
            "/v1/completions",
            { model, prompt: "x" },
            { "x-large": "y".repeat(4_000) },
            431,
            "PT2010",
          ],
        ];
      for (const [path, body, headers, status, code] of cases) {
        const answer = await sendRequest(address, path, body, { headers });
        const description = `${path} ${answer.text}`;
        expect(answer.status, description).equal(status);
        const problem = JSON.parse(answer.text);
        expect(problem.code, description).equal(code);
        expect(problem.verdict, description).equal("not run");
      }
      const abortControllers = range(2).map(() => {
        const abort = new AbortController();
        streamCompletion(address, { model, prompt: "long", max_tokens: 1e6 }, {
          signal: abort.signal,
        }).catch(() => {});
        return abort;
      });
      await waitUntil(fleet.clock, "two active sequences", () =>
        fleet.engines[0]?.load === 2);
      const refused = await sendRequest(address, "/v1/jobs", undefined);
      expect(refused.status).equal(429);
      expect(JSON.parse(refused.text).code).equal("PT2005");
      expect(refused.headers["retry-after"]).equal("1");
      abortControllers.forEach((abort) =>
        abort.abort()
      );
    }));

  it("forwards a request to a plain service", () =>
    withFleet({ engines: 1 }, async (fleet) => {
      const address = fleet.getEntryAddresses()[1] ?? "";
      const answer = await sendRequest(address, "/receipts/7?x=1", {
        receipt: "r7",
      });
      expect(answer.status).equal(200);
      expect(JSON.parse(answer.text)).include({ receipt: "r7", count: 1 });
    }));

  it("resumes a stream on another engine with each token exactly once", () =>
    withFleet(
      { engines: 2, engine: { baseStepMs: 3, announceMs: 200 } },
      async (fleet) => {
        const prompt = "a long answer";
        const answers = range(8).map((index) =>
          streamCompletion(fleet.getEntryAddresses()[index % 2] ?? "", {
            model,
            prompt: `${prompt} ${index}`,
            max_tokens: 100,
          })
        );
        await waitUntil(
          fleet.clock,
          "tokens",
          () => fleet.engines.every((engine) => engine.tokenCount > 20),
        );
        fleet.engines[0]?.crash();
        for (const [index, answer] of (await Promise.all(answers)).entries()) {
          const text = JSON.stringify(`${prompt} ${index}`);
          expect(answer.isDone).equal(true);
          expect(answer.text).equal(getCompletion(text, 100));
        }
      },
    ));

  it("ends a stream at its deadline and frees the engine", () =>
    withFleet({ engines: 1 }, async (fleet) => {
      const answer = await streamCompletion(
        fleet.getEntryAddresses()[0] ?? "",
        { model, prompt: "long", max_tokens: 1_000_000 },
        { headers: { "papayatally-deadline-ms": "300" } },
      );
      expect(answer.tokens).greaterThan(0);
      expect(answer.isDone).equal(false);
      expect(JSON.parse(answer.error)).include({
        code: "PT3003",
        verdict: "may have run",
      });
      await waitUntil(
        fleet.clock,
        "an idle engine",
        () => fleet.engines[0]?.load === 0,
      );
    }));

  it("rejects a request at once, as not run, if there is no server", () =>
    withFleet({ engines: 0 }, async (fleet) => {
      const address = fleet.getEntryAddresses()[0] ?? "";
      const answer = await sendRequest(address, "/v1/completions", {
        model,
        prompt: "x",
      });
      expect(answer.status).equal(503);
      expect(answer.headers["retry-after"]).equal("1");
      expect(JSON.parse(answer.text)).include({
        code: "PT3001",
        verdict: "not run",
      });
    }));
});
