/**
 * Items of several jobs with the same id, at a server that writes an answer once more
 * where the next one is due.
 */
import { expect } from "chai";
import type { Socket } from "node:net";
import { runItemAttempt } from "../fleet/item_attempt.ts";
import { ItemProgress } from "../fleet/item_progress.ts";
import { createHttpAgent, type HttpAgent } from "../sys/http.ts";
import { SeededRandom } from "../sys/random.ts";
import {
  createBackendClient,
  createBackendRequest,
  createPermit,
} from "./backend_calls.ts";
import { range } from "./fleet_helpers.ts";
import { createResponse, ScriptedServer } from "./scripted_server.ts";

const TIMEOUT_MS = 4_000;
const MAX_ATTEMPTS = 5;

/** Items that one connection may carry, and a few more. */
const MANY_ITEMS = 300;

describe("items with the same id", () => {
  let server: ScriptedServer;
  let agent: HttpAgent;
  let runs: number;
  /** Last answer on each connection. */
  let lastAnswers: Map<Socket, string>;
  let copiesAnswers: boolean;

  beforeEach(async () => {
    runs = 0;
    lastAnswers = new Map();
    copiesAnswers = true;
    agent = createHttpAgent({ idleTimeoutMs: 10 * TIMEOUT_MS });
    server = new ScriptedServer();
    await server.start();
    server.serve = (id, socket) => {
      runs += 1;
      const fields = [
        `X-Request-Id: ${id}`,
        "X-Server-Stamp: st",
        "Content-Type: text/event-stream",
      ];
      const answer = createResponse(
        "200 OK",
        fields,
        `id: 1\ndata: run ${runs}\n\n`,
      );
      const copy = copiesAnswers ? lastAnswers.get(socket) ?? "" : "";
      lastAnswers.set(socket, answer);
      socket.write(copy + answer);
    };
  });

  afterEach(() => {
    agent.destroy();
    server.close();
  });

  const runItem = async (id: string) => {
    const progress = new ItemProgress({ random: new SeededRandom(1) });
    const backendClient = createBackendClient(agent);
    for (const _ of range(MAX_ATTEMPTS)) {
      const { kind } = await runItemAttempt({
        backendClient,
        request: createBackendRequest(id),
        permit: createPermit(server.address),
        timeoutMs: TIMEOUT_MS,
        progress,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      if (kind === "done") return progress.text;
    }
    throw new Error(`item "${id}" isn't done`);
  };

  // Guards against MIXED: the output of another job's item as the result.
  it("get their own output", async () => {
    expect(await runItem("1")).equal("run 1");
    expect(await runItem("1")).equal("run 2");
    expect(await runItem("1")).equal("run 3");
  });

  it("share connections with items of other ids", async () => {
    copiesAnswers = false;
    for (const index of range(100)) await runItem(String(index));
    expect(server.connections.size).equal(1);
    for (const index of range(MANY_ITEMS)) await runItem(`other-${index}`);
    expect(server.connections.size).equal(2);
  });
});
