/** Backend servers and hosts that leave, die or are killed by a request. */
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

function streamCompletion(
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

/** Sends questions without pause until it is stopped; counts broken ones. */
function startRequestLoop(fleet: Fleet, tokens: number) {
  let isStopped = false;
  let requestCount = 0;
  const broken: string[] = [];
  const workers = range(12).map(async (lane) => {
    while (!isStopped) {
      const prompt = `lane ${lane} ask ${requestCount}`;
      requestCount += 1;
      const ready = fleet.entries.filter((entry) => entry.isReady);
      const address = ready[lane % ready.length]?.address ?? "";
      const answer = await streamCompletion(address, prompt, tokens).catch(
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
      return { asked: requestCount, broken };
    },
  };
}

describe("leaving", () => {
  it("gives a leaving server no new work anywhere within a second", () =>
    withFleet({ engines: 3, entries: 4 }, async (fleet) => {
      const asking = startRequestLoop(fleet, 5);
      const leaving = fleet.engines[0];
      await waitUntil(
        fleet.clock,
        "work at the server",
        () => (leaving?.requestCount ?? 0) > 5,
      );
      await leaving?.announceLeaving();
      await fleet.clock.delay(1_000);
      const count = leaving?.requestCount;
      await fleet.clock.delay(500);
      expect(leaving?.requestCount).equal(count);
      const { broken } = await asking.stop();
      expect(broken).deep.equal([]);
    }));

  it("is not misled by a late duplicate of an older announcement", () =>
    withFleet({ engines: 1, services: 0 }, async (fleet) => {
      const entry = fleet.entries[0];
      const server = entry?.view.backends.tryGet("engine-1");
      if (!entry || !server) throw new Error("no server");
      const staleAnnouncement = { ...server.announcement };
      await fleet.engines[0]?.announceLeaving();
      await waitUntil(
        fleet.clock,
        "the leave",
        () => server.announcement.leaving,
      );
      const result = entry.view.backends.accept(staleAnnouncement, 0);
      expect(result).equal("old");
      expect(server.announcement.leaving).equal(true);
    }));

  it("refuses a request everywhere after it ended two servers", () =>
    withFleet({
      engines: 5,
      entries: 3,
      engine: { ...QUICK_ENGINE, baseStepMs: 4, crashTrigger: "poison" },
    }, async (fleet) => {
      const addresses = fleet.getEntryAddresses();
      const unrelatedAnswers = range(24).map((index) =>
        streamCompletion(addresses[index % 3] ?? "", `innocent ${index}`, 60)
      );
      await waitUntil(
        fleet.clock,
        "work everywhere",
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
        {
          model,
          prompt: "poison",
        },
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
        expect(isCompleteAnswer(answer, `innocent ${index}`, 60), answer.error)
          .equal(true)
      );
    }));

  it("refuses no innocent request when several servers die at once", () =>
    withFleet({
      engines: 5,
      engine: { ...QUICK_ENGINE, baseStepMs: 4 },
    }, async (fleet) => {
      const addresses = fleet.getEntryAddresses();
      // Connections that are kept to every engine, as in a fleet that has run.
      await Promise.all(
        range(40).map((index) =>
          streamCompletion(addresses[index % 2] ?? "", `before ${index}`, 3)
        ),
      );
      const answers = range(40).map((index) =>
        streamCompletion(addresses[index % 2] ?? "", `during ${index}`, 60)
      );
      await waitUntil(
        fleet.clock,
        "work everywhere",
        () => fleet.engines.every((engine) => engine.load > 0),
      );
      fleet.engines.slice(0, 3).forEach((engine) => engine.crash());
      (await Promise.all(answers)).forEach((answer, index) =>
        expect(isCompleteAnswer(answer, `during ${index}`, 60), answer.error)
          .equal(true)
      );
    }));

  it("cuts off no request while all entries and replicas restart", () =>
    withFleet({ engines: 3, entries: 3 }, async (fleet) => {
      const address = fleet.getEntryAddresses()[2] ?? "";
      const job = await submitJob(
        address,
        range(400).map((index) => ({ prompt: `p${index}`, max_tokens: 8 })),
      );
      const asking = startRequestLoop(fleet, 12);
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
      const { asked, broken } = await asking.stop();
      expect(broken).deep.equal([]);
      expect(asked).greaterThan(50);
      const entry = fleet.getEntryAddresses()[0] ?? "";
      const done = await waitForJob(fleet, entry, job.id);
      expect(done).include({ finished: 400, failed: 0, unknown: 0 });
    }));
});
