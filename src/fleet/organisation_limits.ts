/**
 * Keeps the rate limits of organisations for callers' online requests on a gateway. A
 * request uses one token however many servers it is tried at. Requests that another
 * gateway passed on, and requests of jobs, use none.
 */
import type { AccessDecision } from "../policy/mod.ts";
import {
  MessageCode,
  RequestKind,
  type Route,
  Verdict,
} from "../schema/mod.ts";
import type { Clock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";
import type {
  OrganisationRateClient,
  RateAdmission,
} from "./organisation_rate_client.ts";

/** A request that may be sent to a server. */
export interface AdmittedRequest {
  readonly admittedMs: number;
  /** Gives the token back; only if no server has run the request. */
  giveBack(): void;
}

/** What the limits of a request depend on. */
export interface LimitedRequest {
  readonly decision: AccessDecision;
  readonly route: Pick<Route, "kind"> | undefined;
  /** Whether another gateway has counted the request. */
  readonly isRelayed: boolean;
}

/** Options of {@linkcode OrganisationLimits}. */
export interface OrganisationLimitsOptions {
  readonly client: Pick<OrganisationRateClient, "admit">;
  readonly clock: Clock;
}

/**
 * Time after which a request that has a token but is not sent yet needs another one,
 * in milliseconds. Bodies that arrive slowly would otherwise save up tokens of many
 * seconds for one burst.
 */
const TOKEN_USE_MS = 250;

const MS_PER_S = 1_000;

/** Admits the online requests of organisations. */
export class OrganisationLimits {
  readonly #options: OrganisationLimitsOptions;

  constructor(options: OrganisationLimitsOptions) {
    this.#options = options;
  }

  /**
   * Takes a token for a request, or throws RATE_EXCEEDED. Returns undefined if the
   * request has no limit.
   */
  admit(
    req: LimitedRequest,
  ): AdmittedRequest | Promise<AdmittedRequest> | undefined {
    const { decision, route, isRelayed } = req;
    const isCounted = decision.kind === "served" && !isRelayed &&
      route !== undefined && route.kind !== RequestKind.BATCH &&
      decision.organisation.ratePerS > 0;
    if (!isCounted) return undefined;
    const { organisation } = decision;
    const admission = this.#options.client.admit(organisation);
    return admission instanceof Promise
      ? admission.then((each) => this.#decide(organisation, each))
      : this.#decide(organisation, admission);
  }

  /** Takes a newer token if the body of the request took long to arrive. */
  renew(
    admitted: AdmittedRequest | undefined,
    req: LimitedRequest,
  ): AdmittedRequest | Promise<AdmittedRequest> | undefined {
    if (admitted === undefined) return this.admit(req);
    const nowMs = this.#options.clock.getMonotonicMs();
    if (nowMs - admitted.admittedMs <= TOKEN_USE_MS) return admitted;
    admitted.giveBack();
    return this.admit(req);
  }

  #decide(
    { name, ratePerS }: { name: string; ratePerS: number },
    { isAdmitted, retryAfterMs, giveBack }: RateAdmission,
  ): AdmittedRequest {
    if (!isAdmitted) {
      throw new ServingError(MessageCode.RATE_EXCEEDED, {
        verdict: Verdict.NOT_RUN,
        parameters: { organisation: name, rate: ratePerS },
        retryAfterS: retryAfterMs / MS_PER_S,
      });
    }
    return { admittedMs: this.#options.clock.getMonotonicMs(), giveBack };
  }
}
