/**
 * Backend servers that leave, crash, or are crashed by a request, and restarts
 * of all entries and replicas.
 */
import { expect } from "chai";
import {
  type Fleet,
  FleetName,
  getCompletion,
  sendRequest,
  streamCompletion,
  type StreamedCompletion,
  waitUntil,
} from "../bench/mod.ts";
import {
  QUICK_ENGINE,
  range,
  submitJob,
  waitForJob,
  withFleet,
} from "./fleet_helpers.ts";

const { model } = FleetName;

function streamPrompt(
  address: string,
  prompt: string,
  tokens: number,
): Promise<StreamedCompletion> {
  return streamCompletion(address, { model, prompt, max_tokens: tokens });
}

function isCompleteAnswer(
  answer: StreamedCompletion,
  prompt: string,
  tokens: number,
) {
  return answer.isDone &&
    answer.text === getCompletion(JSON.stringify(prompt), tokens);
}

/**
 * Runs 12 workers that each send one request after another until stopped.
 * `stop` returns the number of requests and the broken answers, which were cut
 * off or failed.
 */
function startRequestLoop(fleet: Fleet, tokens: number) {
  let isStopped = false;
  let requestCount = 0;
  const broken: string[] = [];
  const workers = range(12).map(async (worker) => {
    while (!isStopped) {
      const prompt = `worker ${worker} request ${requestCount}`;
      requestCount += 1;
      const ready = fleet.entries.filter((entry) => entry.isReady);
      const address = ready[worker % ready.length]?.address ?? "";
      const answer = await streamPrompt(address, prompt, tokens).catch(
        String,
      );
      const isComplete = typeof answer !== "string" &&
        isCompleteAnswer(answer, prompt, tokens);
      if (!isComplete) broken.push(JSON.stringify(answer));
    }
  });
  return {
    stop: async () => {
      isStopped = true;
      await Promise.all(workers);
      return { requestCount, broken };
    },
  };
}

describe("leaving", () => {
  it("sends a leaving server no requests from any entry after one second", () =>
    withFleet({ engines: 3, entries: 4 }, async (fleet) => {
      const requestLoop = startRequestLoop(fleet, 5);
      const leaving = fleet.engines[0];
      await waitUntil(
        fleet.clock,
        "requests at the server",
        () => (leaving?.requestCount ?? 0) > 5,
      );
      await leaving?.announceLeaving();
      await fleet.clock.delay(1_000);
      const count = leaving?.requestCount;
      await fleet.clock.delay(500);
      expect(leaving?.requestCount).equal(count);
      const { broken } = await requestLoop.stop();
      expect(broken).deep.equal([]);
    }));

  it("ignores a late duplicate of an older announcement", () =>
    withFleet({ engines: 1, services: 0 }, async (fleet) => {
      const entry = fleet.entries[0];
      const server = entry?.view.backends.tryGet("engine-1");
      if (!entry || !server) throw new Error("engine-1 is unknown");
      const staleAnnouncement = { ...server.announcement };
      await fleet.engines[0]?.announceLeaving();
      await waitUntil(
        fleet.clock,
        "the announcement that the server leaves",
        () => server.announcement.leaving,
      );
      const result = entry.view.backends.accept(staleAnnouncement, 0);
      expect(result).equal("old");
      expect(server.announcement.leaving).equal(true);
    }));

  it("refuses a request at every entry after it crashed two servers", () =>
    withFleet({
      engines: 5,
      entries: 3,
      engine: { ...QUICK_ENGINE, baseStepMs: 4, crashTrigger: "poison" },
    }, async (fleet) => {
      const addresses = fleet.getEntryAddresses();
      const unrelatedAnswers = range(24).map((index) =>
        streamPrompt(addresses[index % 3] ?? "", `unrelated ${index}`, 60)
      );
      await waitUntil(
        fleet.clock,
        "load on every engine",
        () => fleet.engines.every((engine) => engine.load > 0),
      );
      let crashCount = 0;
      fleet.engines.forEach((engine) => {
        engine.onCrash = () => {
          crashCount += 1;
        };
      });
      const poisonAnswer = await sendRequest(
        addresses[0] ?? "",
        "/v1/completions",
        { model, prompt: "poison" },
      );
      expect(JSON.parse(poisonAnswer.text).code).equal("PT3005");
      for (const [index, address] of [...addresses, ...addresses].entries()) {
        const resentAnswer = await sendRequest(address, "/v1/completions", {
          model,
          prompt: "poison",
        }, { headers: { "idempotency-key": `new-${index}` } });
        expect(JSON.parse(resentAnswer.text).code).equal("PT3005");
      }
      expect(crashCount).equal(2);
      const answers = await Promise.all(unrelatedAnswers);
      answers.forEach((answer, index) =>
        expect(isCompleteAnswer(answer, `unrelated ${index}`, 60), answer.error)
          .equal(true)
      );
    }));

  // Guards against requests with one message ending one server after the other,
  // since no two of them are alike.
  it("refuses messages at every entry under which servers crashed", () =>
    withFleet({
      engines: 14,
      entries: 3,
      engine: { ...QUICK_ENGINE, crashTrigger: "poison" },
    }, async (fleet) => {
      const addresses = fleet.getEntryAddresses();
      let crashCount = 0;
      fleet.engines.forEach((engine) => {
        engine.onCrash = () => {
          crashCount += 1;
        };
      });
      const send = (index: number, contents: readonly string[]) =>
        sendRequest(addresses[index % 3] ?? "", "/v1/chat/completions", {
          model,
          messages: ["you are a clerk", ...contents, `question ${index}`]
            .map((content) => ({ role: "user", content })),
        }, { headers: { "idempotency-key": `chat-${index}` } });
      const first = await Promise.all(range(6).map((index) => send(index, [])));
      expect(first.map(({ status }) => status)).deep.equal(
        range(6).map(() => 200),
      );
      for (const index of range(9)) await send(100 + index, ["poison", "a"]);
      expect(crashCount).at.most(5);
      const refused = await send(200, ["b", "poison"]);
      expect(JSON.parse(refused.text).code).equal("PT3021");
      const sound = await Promise.all(
        range(6).map((index) => send(300 + index, ["a"])),
      );
      expect(sound.map(({ status }) => status)).deep.equal(
        range(6).map(() => 200),
      );
    }));

  // Guards against an item that fails for good because servers crashed while
  // they ran it.
  it("runs an item of a job although four servers crashed under it", () =>
    withFleet({
      engines: 6,
      entries: 2,
      engine: { ...QUICK_ENGINE, crashTrigger: "unlucky" },
    }, async (fleet) => {
      let crashCount = 0;
      fleet.engines.forEach((engine) => {
        engine.onCrash = () => {
          crashCount += 1;
          if (crashCount < 4) return;
          fleet.engines.forEach((other) => other.crashTrigger = undefined);
        };
      });
      const [address] = fleet.getEntryAddresses();
      const job = await submitJob(address ?? "", [
        { prompt: "unlucky", max_tokens: 8 },
      ]);
      const done = await waitForJob(fleet, address ?? "", job.id);
      expect(crashCount).equal(4);
      expect(done).include({ finished: 1, failed: 0 });
    }));

  it("completes all requests when three servers crash at once", () =>
    withFleet({
      engines: 5,
      engine: { ...QUICK_ENGINE, baseStepMs: 4 },
    }, async (fleet) => {
      const addresses = fleet.getEntryAddresses();
      // Opens keep-alive connections to every engine, as in a running fleet.
      await Promise.all(
        range(40).map((index) =>
          streamPrompt(addresses[index % 2] ?? "", `before ${index}`, 3)
        ),
      );
      const answers = range(40).map((index) =>
        streamPrompt(addresses[index % 2] ?? "", `during ${index}`, 60)
      );
      await waitUntil(
        fleet.clock,
        "load on every engine",
        () => fleet.engines.every((engine) => engine.load > 0),
      );
      fleet.engines.slice(0, 3).forEach((engine) => engine.crash());
      (await Promise.all(answers)).forEach((answer, index) =>
        expect(isCompleteAnswer(answer, `during ${index}`, 60), answer.error)
          .equal(true)
      );
    }));

  it("completes all requests while entries and replicas restart in turn", () =>
    withFleet({ engines: 3, entries: 3 }, async (fleet) => {
      const address = fleet.getEntryAddresses()[2] ?? "";
      const job = await submitJob(
        address,
        range(400).map((index) => ({ prompt: `p${index}`, max_tokens: 8 })),
      );
      const requestLoop = startRequestLoop(fleet, 12);
      for (const index of range(fleet.entries.length)) {
        await fleet.entries[index]?.stop();
        await fleet.startEntry(index);
        fleet.engines.forEach((engine) =>
          engine.setEntries(fleet.getEntryAddresses())
        );
        await waitUntil(
          fleet.clock,
          "a ready entry",
          () => fleet.entries[index]?.isReady === true,
        );
      }
      for (const index of range(fleet.states.length)) {
        await fleet.states[index]?.stop();
        await fleet.restartStateHost(index);
        await waitUntil(
          fleet.clock,
          "a ready state host",
          () => fleet.states[index]?.isReady === true,
        );
      }
      const { requestCount, broken } = await requestLoop.stop();
      expect(broken).deep.equal([]);
      expect(requestCount).greaterThan(50);
      const entry = fleet.getEntryAddresses()[0] ?? "";
      const done = await waitForJob(fleet, entry, job.id);
      expect(done).include({ finished: 400, failed: 0, unknown: 0 });
    }));
});
