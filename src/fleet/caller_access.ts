/**
 * Identifies the callers of a gateway by their API keys, and separates the headers
 * with the keys from those that servers get.
 */
import { create } from "@bufbuild/protobuf";
import {
  type AccessDecision,
  areKeysOutdated,
  decideAccess,
  getEffectivePriority,
  getJobCaller,
} from "../policy/mod.ts";
import {
  type FleetSettings,
  MessageCode,
  RequestHeaderSchema,
  type Route,
  type SubmitJob,
  Verdict,
} from "../schema/mod.ts";
import { ServingError } from "../sys/errors.ts";
import {
  type IncomingHttpHeaders,
  removeRawHopByHopHeaders,
} from "../sys/http.ts";
import { MetricName, type Metrics } from "../sys/metrics.ts";
import type { BackendDialect, CallerDialect } from "./dialects.ts";
import type { RoutingView } from "./routing_view.ts";

/** Retry-After while keys may be outdated, in seconds: one more contact follows. */
const KEYS_OUTDATED_RETRY_AFTER_S = 1;

/** Options of a {@linkcode CallerAccess}. */
export interface CallerAccessOptions {
  readonly view: Pick<RoutingView, "routes" | "getRoutesAgeMs">;
  readonly settings: Pick<FleetSettings, "failClosed" | "revokeMs">;
  readonly dialects: {
    readonly caller: Pick<CallerDialect, "tryReadApiKey">;
    readonly backend: Pick<
      BackendDialect,
      "identityHeaders" | "reservedHeaders" | "createOrganisationHeaders"
    >;
  };
  /** Lower-case names of further headers that servers don't get. */
  readonly ownHeaders: readonly string[];
  readonly metrics: Metrics;
}

/** What a gateway knows of the caller of a request, and what servers get of it. */
export interface IdentifiedHeaders {
  readonly organisation: string | undefined;
  readonly priority: number;
  /** Headers for the server. */
  readonly headers: string[];
  /** Headers with the caller's key; undefined if callers are not identified. */
  readonly keyHeaders: string[] | undefined;
}

/** Access of callers to one gateway. */
export class CallerAccess {
  readonly #options: CallerAccessOptions;
  readonly #reservedHeaders: ReadonlySet<string>;
  readonly #reservedAndIdentityHeaders: ReadonlySet<string>;

  constructor(options: CallerAccessOptions) {
    const { identityHeaders, reservedHeaders } = options.dialects.backend;
    this.#options = options;
    this.#reservedHeaders = new Set([
      ...reservedHeaders,
      ...options.ownHeaders,
    ]);
    this.#reservedAndIdentityHeaders = new Set([
      ...this.#reservedHeaders,
      ...identityHeaders,
    ]);
  }

  /**
   * Identifies the caller of a request for a route, or without one. Throws
   * UNKNOWN_KEY or KEYS_OUTDATED if it is not admitted.
   */
  admit(headers: IncomingHttpHeaders, route: Route | undefined) {
    return this.#admit(headers, route?.public === true);
  }

  /** The same for a request about a job, whose route is not known. */
  admitToJobs(headers: IncomingHttpHeaders) {
    return this.#admit(
      headers,
      this.#options.view.routes?.hasPublicJobs === true,
    );
  }

  /** Divides the headers of an admitted request. */
  divideHeaders(
    rawHeaders: readonly string[],
    route: Route,
    decision: AccessDecision,
  ): IdentifiedHeaders {
    const organisation = decision.kind === "served"
      ? decision.organisation
      : undefined;
    const isIdentified = decision.kind !== "open";
    const { identityHeaders } = this.#options.dialects.backend;
    return {
      organisation: organisation?.name,
      priority: getEffectivePriority(route, organisation),
      headers: removeRawHopByHopHeaders(
        rawHeaders,
        isIdentified ? this.#reservedAndIdentityHeaders : this.#reservedHeaders,
      ),
      keyHeaders: isIdentified
        ? selectHeaders(rawHeaders, identityHeaders)
        : undefined,
    };
  }

  /**
   * Makes a submitted job the admitted caller's. Its items keep no identity of their
   * own, and name the organisation by a header too, for runners of older builds.
   */
  assignJob(job: SubmitJob, route: Route, decision: AccessDecision): void {
    const { backend } = this.#options.dialects;
    job.organisation = getJobCaller(decision);
    const organisation = decision.kind === "served"
      ? decision.organisation
      : undefined;
    const priority = getEffectivePriority(route, organisation);
    const [name, value] = organisation === undefined
      ? []
      : backend.createOrganisationHeaders(organisation.name);
    const ownHeaders = name === undefined || value === undefined
      ? []
      : [create(RequestHeaderSchema, { name, value })];
    job.items.forEach((item) => {
      item.priority = priority;
      if (decision.kind === "open") return;
      item.headers = [
        ...item.headers.filter((header) =>
          !backend.identityHeaders.has(header.name.toLowerCase())
        ),
        ...ownHeaders,
      ];
    });
  }

  #admit(headers: IncomingHttpHeaders, isPublic: boolean): AccessDecision {
    const { view, settings, dialects, metrics } = this.#options;
    const { routes } = view;
    if (routes === undefined || routes.organisations.isEmpty) {
      return { kind: "open" };
    }
    const ageMs = view.getRoutesAgeMs();
    const decision = decideAccess({
      organisations: routes.organisations,
      key: dialects.caller.tryReadApiKey(headers),
      isPublic,
      areKeysOutdated: areKeysOutdated(ageMs, {
        failClosed: settings.failClosed ?? false,
        revokeMs: settings.revokeMs ?? 0,
      }),
    });
    metrics.count(MetricName.accessDecisions, 1, { outcome: decision.kind });
    if (decision.kind === "unknown key") {
      throw new ServingError(MessageCode.UNKNOWN_KEY, {
        verdict: Verdict.NOT_RUN,
      });
    }
    if (decision.kind === "keys outdated") {
      throw new ServingError(MessageCode.KEYS_OUTDATED, {
        verdict: Verdict.NOT_RUN,
        parameters: { age_ms: Math.round(ageMs) },
        retryAfterS: KEYS_OUTDATED_RETRY_AFTER_S,
      });
    }
    return decision;
  }
}

function selectHeaders(
  rawHeaders: readonly string[],
  names: ReadonlySet<string>,
): string[] {
  return rawHeaders.filter((_, index) =>
    names.has((rawHeaders[index - index % 2] ?? "").toLowerCase())
  );
}
