/**
 * Route tables, by which gateways assign requests to services: matches the host
 * and path of a request to a route, selects one of the route's services by
 * weight, and validates a table before it is activated.
 */
import {
  RequestKind,
  type Route,
  type RoutedService,
  type RouteTable,
  type RouteTarget,
} from "../schema/mod.ts";
import { hasPublicJobs } from "./access.ts";
import {
  OrganisationIndex,
  tryFindOrganisationError,
} from "./organisations.ts";

/** Lookup of routes and services in a route table. */
export class RouteIndex {
  readonly table: RouteTable;
  readonly organisations: OrganisationIndex;
  /** Whether a route accepts jobs without a key. */
  readonly hasPublicJobs: boolean;
  readonly #byHost = new Map<string, Route[]>();
  readonly #services: ReadonlyMap<string, RoutedService>;

  constructor(table: RouteTable) {
    this.table = table;
    this.organisations = new OrganisationIndex(table.organisations);
    this.hasPublicJobs = hasPublicJobs(table.routes);
    this.#services = new Map(
      table.services.map((service) => [service.name, service]),
    );
    const longestFirst = [...table.routes].sort((a, b) =>
      b.pathPrefix.length - a.pathPrefix.length
    );
    longestFirst.forEach((route) => {
      const host = route.host.toLowerCase();
      this.#byHost.set(host, [...this.#byHost.get(host) ?? [], route]);
    });
  }

  /** Returns the route with the longest prefix that matches `path`, if any. */
  tryMatch(host: string, path: string): Route | undefined {
    return this.#byHost.get(normalizeHost(host))?.find((route) =>
      path.startsWith(route.pathPrefix)
    );
  }

  tryGetRoute(name: string): Route | undefined {
    return this.table.routes.find((route) => route.name === name);
  }

  tryGetService(name: string): RoutedService | undefined {
    return this.#services.get(name);
  }
}

/** Removes the port from a Host header and converts it to lower case. */
function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

/** Returns the path of a request target, without the query. */
export function stripQuery(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** Selects a target by weight; `fraction` is a random number from 0 to 1. */
export function selectTarget(
  route: Route,
  fraction: number,
): RouteTarget | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = fraction * total;
  return route.targets.find((target) => {
    remaining -= target.weight;
    return remaining < 0;
  });
}

/** Whether a request of the route may be executed more than once. */
export function isRetryable(route: Route): boolean {
  if (route.kind === RequestKind.STREAM) return route.resumable;
  return route.kind !== RequestKind.NON_IDEMPOTENT;
}

/**
 * Returns a table without its document, for processes that only route by it: the
 * document takes memory and contains keys. Hashes are copied, as they would keep the
 * whole message in memory that the table came with.
 */
export function withoutDocument(table: RouteTable): RouteTable {
  return {
    ...table,
    document: new Uint8Array(),
    organisations: table.organisations.map((organisation) => ({
      ...organisation,
      keyHashes: organisation.keyHashes.map((hash) => new Uint8Array(hash)),
    })),
  };
}

/** Returns the first error of a route table; undefined if it is valid. */
export function tryFindRouteTableError(table: RouteTable): string | undefined {
  const services = new Set(table.services.map((service) => service.name));
  const keys = new Set<string>();
  if (services.size < table.services.length) {
    return "two services share a name";
  }
  const organisationError = tryFindOrganisationError(table);
  if (organisationError !== undefined) return organisationError;
  return table.routes.map((route) => {
    const key = `${route.host.toLowerCase()}${route.pathPrefix}`;
    const isDuplicate = keys.has(key);
    keys.add(key);
    if (isDuplicate) return `two routes share ${key}`;
    return tryFindRouteError(route, services);
  }).find((error) => error !== undefined);
}

function tryFindRouteError(
  route: Route,
  services: ReadonlySet<string>,
): string | undefined {
  const unknown = route.targets.find((target) => !services.has(target.service));
  if (unknown !== undefined) {
    return `route "${route.name}" names unknown service "${unknown.service}"`;
  }
  if (route.targets.every((target) => target.weight === 0)) {
    return `the weights of route "${route.name}" add up to 0`;
  }
  if (route.timeoutMs === 0) return `route "${route.name}" has no timeout`;
  const isValidPrefix = route.pathPrefix.startsWith("/") &&
    route.pathPrefix.endsWith("/");
  return isValidPrefix
    ? undefined
    : `prefix "${route.pathPrefix}" of route "${route.name}" must begin and end with a slash`;
}
