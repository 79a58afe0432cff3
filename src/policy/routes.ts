/**
 * Routes by host and path: which route a request takes, which of its services
 * runs it, and whether a table of routes may come into force.
 */
import {
  RequestKind,
  type Route,
  type RoutedService,
  type RouteTable,
  type RouteTarget,
} from "../schema/mod.ts";

/** A table of routes, indexed for look-ups. */
export class RouteIndex {
  readonly table: RouteTable;
  readonly #byHost = new Map<string, Route[]>();
  readonly #services: ReadonlyMap<string, RoutedService>;

  constructor(table: RouteTable) {
    this.table = table;
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

  /** The route with the longest prefix of `path`; undefined when none fits. */
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

/** A host name without port, in lower case. */
function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

/** The path of a request target, without its query. */
export function stripQuery(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

/** A target of the route by weight; `fraction` is random, from 0 to 1. */
export function selectTarget(
  route: Route,
  fraction: number,
): RouteTarget | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = fraction * total;
  return route.targets.find((target) => {
    left -= target.weight;
    return left < 0;
  });
}

/** Whether a request of the route may run more than once. */
export function isRetryable(route: Route): boolean {
  if (route.kind === RequestKind.STREAM) return route.resumable;
  return route.kind !== RequestKind.NON_IDEMPOTENT;
}

/** Why a table may not come into force; undefined when it may. */
export function tryFindRouteTableError(table: RouteTable): string | undefined {
  const services = new Set(table.services.map((service) => service.name));
  const keys = new Set<string>();
  if (services.size < table.services.length) {
    return "two services share a name";
  }
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
