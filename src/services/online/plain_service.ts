/**
 * Requests to plain services: routed by path, passed through unchanged, and
 * repeated only where that is safe.
 */
import { create } from "@bufbuild/protobuf";
import type { FleetView } from "../../membership/mod.ts";
import type { RetryBudget } from "../../policy/mod.ts";
import { callService } from "../../relay/mod.ts";
import {
  MessageCode,
  type Outcome,
  OutcomeSchema,
  Verdict,
  type Workload,
} from "../../schema/mod.ts";
import type { Clock } from "../../sys/clock.ts";
import { asServingError, ServingError } from "../../sys/errors.ts";
import {
  type HttpResponse,
  type IncomingHttpHeaders,
  readBody,
  removeHopByHopHeaders,
} from "../../sys/http.ts";
import { getDigest, getDigestHex } from "../../sys/random.ts";
import type { BackendPool } from "./backend_pool.ts";
import type { Placement } from "./placement.ts";
import { type CallerRequest, getDeadlineMs } from "../common/caller_request.ts";
import { sendOutcome } from "../common/outcomes.ts";
import type { DeathWatch } from "./death_watch.ts";
import { raiseVerdict } from "./engine_runner.ts";
import type { KeyedStore } from "./keyed_store.ts";

/** Methods that HTTP defines as idempotent (RFC 9110). */
const IDEMPOTENT_METHODS: readonly string[] = [
  "GET",
  "HEAD",
  "PUT",
  "DELETE",
  "OPTIONS",
];

const MAX_ATTEMPTS = 4;

/** Largest answer kept under a key, in bytes. */
const MAX_KEPT_BYTES = 16 << 20;

/** A request to a plain service. */
export interface ServiceRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array;
  readonly deployment: string;
  readonly caller: string;
  readonly fingerprint: string;
  readonly isNonIdempotent: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** An answer under way, with the placement that it still occupies. */
interface OpenAnswer {
  readonly answer: HttpResponse;
  readonly placement: Placement;
}

/** Serves plain services' callers. */
export class PlainService {
  readonly #view: FleetView;
  readonly #pool: BackendPool;
  readonly #keys: KeyedStore;
  readonly #deaths: DeathWatch;
  readonly #budget: RetryBudget;
  readonly #clock: Clock;
  readonly #bodyBytes: number;

  constructor(options: {
    view: FleetView;
    pool: BackendPool;
    keys: KeyedStore;
    deaths: DeathWatch;
    budget: RetryBudget;
    clock: Clock;
    bodyBytes: number;
  }) {
    this.#view = options.view;
    this.#pool = options.pool;
    this.#keys = options.keys;
    this.#deaths = options.deaths;
    this.#budget = options.budget;
    this.#clock = options.clock;
    this.#bodyBytes = options.bodyBytes;
  }

  /** Serves one request; errors are thrown as ServingError. */
  async serve(call: CallerRequest, workload: Workload): Promise<void> {
    const body = await readBody(call.req, this.#bodyBytes);
    const run = this.#createRun(call, workload, body);
    if (call.key !== "") {
      await this.#serveKeyed(call, run);
      return;
    }
    const { answer, placement } = await this.#open(run);
    passAnswer(call, answer, placement);
  }

  /** Runs a request to its whole answer, for keyed requests and batch items. */
  async runWhole(run: ServiceRun): Promise<Outcome> {
    const { answer, placement } = await this.#open(run);
    try {
      const body = await readBody(answer.body, MAX_KEPT_BYTES);
      placement.release({ isFailure: false });
      return create(OutcomeSchema, {
        verdict: Verdict.RAN,
        status: answer.status,
        body,
        contentType: answer.headers["content-type"] ?? "",
      });
    } catch (error) {
      placement.release({ isFailure: true });
      throw raiseVerdict(asServingError(error), Verdict.MAY_HAVE_RUN);
    }
  }

  #createRun(
    call: CallerRequest,
    workload: Workload,
    body: Uint8Array,
  ): ServiceRun {
    const method = call.req.method ?? "GET";
    const path = call.req.url ?? "/";
    return {
      requestId: call.id,
      method,
      path,
      headers: call.req.headers,
      body,
      deployment: workload.deployment,
      caller: call.caller,
      fingerprint: getDigestHex(workload.name, method, path, body),
      isNonIdempotent: workload.nonIdempotent || call.isMarkedNonIdempotent ||
        !IDEMPOTENT_METHODS.includes(method),
      deadlineMs: getDeadlineMs(call, workload),
      signal: call.signal,
    };
  }

  async #serveKeyed(call: CallerRequest, run: ServiceRun): Promise<void> {
    await this.#keys.runUnderKey({
      caller: call.caller,
      operator: this.#view.tryGetDeployment(run.deployment)?.operator ?? "",
      key: call.key,
      digest: getDigest(Buffer.concat([
        Buffer.from(`${run.method} ${run.path}\n`),
        run.body,
      ])),
      isNonIdempotent: run.isNonIdempotent,
      deadlineMs: run.deadlineMs,
      signal: call.signal,
    }, {
      onKnown: (outcome) => sendOutcome(call.res, outcome),
      run: async (signal, finish) => {
        const outcome = await this.runWhole({ ...run, signal });
        await finish(outcome);
        sendOutcome(call.res, outcome);
      },
    });
  }

  /** Sends the request until a server answers, as far as that is safe. */
  async #open(run: ServiceRun): Promise<OpenAnswer> {
    const excluded = new Set<string>();
    let verdict: Verdict = Verdict.NOT_RUN;
    let reason = "";
    this.#budget.deposit();
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const placement = await this.#place(run, excluded, verdict);
      const result = await callService({
        address: placement.server.announcement.address,
        method: run.method,
        path: run.path,
        headers: { ...run.headers, "x-request-id": run.requestId },
        body: run.body.length > 0 ? run.body : undefined,
        usesNewConnection: run.isNonIdempotent ||
          this.#view.suspicions.isSuspect(run.fingerprint),
        headersTimeoutMs: Math.max(
          1,
          run.deadlineMs - this.#clock.getMonotonicMs(),
        ),
        signal: AbortSignal.any([run.signal, placement.signal]),
      });
      if (result.kind === "answered") {
        this.#deaths.noteFinished(run.fingerprint);
        return { answer: result.response, placement };
      }
      const mayHaveKilled = result.kind === "broken" &&
        result.isConnectionLost && result.verdict !== Verdict.NOT_RUN;
      if (mayHaveKilled) {
        await this.#deaths.noteBroken(run.fingerprint, placement);
      }
      placement.release({ isFailure: result.kind === "broken" });
      excluded.add(placement.server.name);
      verdict = Math.max(
        verdict,
        result.kind === "broken" ? result.verdict : Verdict.MAY_HAVE_RUN,
      );
      reason = result.kind === "broken" ? result.reason : "it was stopped";
      this.#requireRetry(run, verdict, reason);
    }
    throw createLost(verdict, reason);
  }

  async #place(
    run: ServiceRun,
    excluded: ReadonlySet<string>,
    verdict: Verdict,
  ): Promise<Placement> {
    const { suspicions } = this.#view;
    if (suspicions.isPoisoned(run.fingerprint)) {
      throw new ServingError(MessageCode.REQUEST_POISONED, {
        verdict,
        parameters: {
          servers: suspicions.getServerFailureCount(run.fingerprint),
        },
      });
    }
    try {
      return await this.#pool.place({
        deployment: run.deployment,
        model: "",
        adapter: "",
        affinity: "",
        caller: run.caller,
        deadlineMs: run.deadlineMs,
        excluded,
        isSuspect: suspicions.isSuspect(run.fingerprint),
        signal: run.signal,
      });
    } catch (error) {
      throw raiseVerdict(error, verdict);
    }
  }

  #requireRetry(run: ServiceRun, verdict: Verdict, reason: string): void {
    const isSafe = verdict === Verdict.NOT_RUN || !run.isNonIdempotent;
    const isWanted = !run.signal.aborted &&
      this.#clock.getMonotonicMs() < run.deadlineMs;
    if (!isSafe || !isWanted) throw createLost(verdict, reason);
    if (this.#budget.tryWithdraw()) return;
    throw new ServingError(MessageCode.RETRY_BUDGET_SPENT, {
      verdict,
      parameters: { reason },
      retryAfterS: 1,
    });
  }
}

function createLost(verdict: Verdict, reason: string): ServingError {
  return new ServingError(MessageCode.ANSWER_LOST, {
    verdict,
    parameters: { reason },
  });
}

/** Passes an answer to the caller as it arrives, with back-pressure. */
function passAnswer(
  call: CallerRequest,
  answer: HttpResponse,
  placement: Placement,
): void {
  const { res } = call;
  res.writeHead(answer.status, removeHopByHopHeaders(answer.headers));
  answer.body.pipe(res);
  answer.body.on("error", () => res.destroy());
  answer.body.on("close", () => {
    placement.release({ isFailure: !answer.body.complete });
    if (!answer.body.complete) res.destroy();
  });
  res.on("close", () => answer.body.destroy());
}
