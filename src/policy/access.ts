/** Decides which callers may send requests, and which may use a job. */
import { type Organisation, RequestKind, type Route } from "../schema/mod.ts";
import type { OrganisationIndex } from "./organisations.ts";

/** Outcome of an access decision. */
export type AccessDecision =
  /** The configuration has no organisations, so callers are not identified. */
  | { readonly kind: "open" }
  /** The caller belongs to an organisation. */
  | { readonly kind: "served"; readonly organisation: Organisation }
  /** The route is public, and the caller has no known key. */
  | { readonly kind: "public" }
  /** The caller needs a known key and has none. */
  | { readonly kind: "unknown key" }
  /** The caller needs a key, and the keys known here may be out of date. */
  | { readonly kind: "keys outdated" };

/** Input of {@linkcode decideAccess}. */
export interface AccessRequest {
  readonly organisations: OrganisationIndex;
  /** Key of the caller; undefined if it sent none. */
  readonly key: string | undefined;
  /** Whether the request needs no key. */
  readonly isPublic: boolean;
  /** Whether the keys known here may be out of date and must not be used. */
  readonly areKeysOutdated: boolean;
}

/** Decides whether a request is served, and for which organisation. */
export function decideAccess(req: AccessRequest): AccessDecision {
  const { organisations, key, isPublic } = req;
  if (organisations.isEmpty) return { kind: "open" };
  if (!isPublic && req.areKeysOutdated) return { kind: "keys outdated" };
  const organisation = key === undefined
    ? undefined
    : organisations.tryFindByKey(key);
  if (organisation !== undefined) return { kind: "served", organisation };
  return { kind: isPublic ? "public" : "unknown key" };
}

/**
 * Identity of a caller in a job and in requests about jobs: the name of its
 * organisation, the empty name on a public route, and undefined where callers are
 * not identified.
 */
export type JobCaller = string | undefined;

/** Returns the identity of a caller that was admitted. */
export function getJobCaller(decision: AccessDecision): JobCaller {
  switch (decision.kind) {
    case "served":
      return decision.organisation.name;
    case "public":
      return "";
    default:
      return undefined;
  }
}

/**
 * Whether a caller may read, end or repeat a job. Jobs that were submitted while
 * callers were not identified belong to all organisations. The job state machine
 * applies this rule, so a change needs a new version of its commands.
 */
export function mayUseJob(owner: JobCaller, caller: JobCaller): boolean {
  if (caller === undefined || owner === "") return true;
  return owner === undefined ? caller !== "" : owner === caller;
}

/** Whether keys that were last confirmed `ageMs` ago must not be used. */
export function areKeysOutdated(
  ageMs: number,
  { failClosed, revokeMs }: { failClosed: boolean; revokeMs: number },
): boolean {
  return failClosed && ageMs > revokeMs;
}

/** Whether requests about jobs need no key, as jobs can be submitted without. */
export function hasPublicJobs(
  routes: readonly Pick<Route, "public" | "kind">[],
): boolean {
  return routes.some((route) =>
    route.public && route.kind === RequestKind.BATCH
  );
}
