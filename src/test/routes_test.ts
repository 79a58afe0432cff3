/** Routes by host and path, and tables that may not come into force. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  RouteIndex,
  selectTarget,
  tryFindRouteTableError,
} from "../policy/mod.ts";
import {
  RequestKind,
  type Route,
  RouteSchema,
  RouteTableSchema,
} from "../schema/mod.ts";

function createRoute(values: Partial<Route>): Route {
  return create(
    RouteSchema,
    {
      name: "r",
      host: "a.example",
      pathPrefix: "/",
      kind: RequestKind.IDEMPOTENT,
      timeoutMs: 1_000,
      targets: [{ service: "s", weight: 1 }],
      ...values,
    } as Parameters<typeof create<typeof RouteSchema>>[1],
  );
}

function createTable(routes: Route[]) {
  return create(RouteTableSchema, {
    version: 1n,
    routes,
    services: [{ name: "s" }, { name: "t" }],
  });
}

describe("routes", () => {
  it("takes the longest prefix of the host", () => {
    const index = new RouteIndex(createTable([
      createRoute({ name: "all" }),
      createRoute({ name: "deep", pathPrefix: "/a/b/" }),
      createRoute({ name: "short", pathPrefix: "/a/" }),
      createRoute({ name: "other", host: "b.example", pathPrefix: "/a/b/c/" }),
    ]));
    const match = (host: string, path: string) =>
      index.tryMatch(host, path)?.name;
    expect(match("a.example", "/a/b/c/d")).equal("deep");
    expect(match("A.Example:80", "/a/x")).equal("short");
    expect(match("a.example", "/a")).equal("all");
    expect(match("c.example", "/a/")).equal(undefined);
  });

  it("gives each service its share", () => {
    const route = createRoute({});
    route.targets = createRoute({}).targets.concat(
      createTable([createRoute({})]).routes[0]?.targets ?? [],
    );
    const [first, second] = route.targets;
    if (!first || !second) throw new Error("two targets");
    first.weight = 9;
    second.weight = 1;
    second.service = "t";
    expect(selectTarget(route, 0)?.service).equal("s");
    expect(selectTarget(route, 0.89)?.service).equal("s");
    expect(selectTarget(route, 0.91)?.service).equal("t");
    second.weight = 0;
    expect(selectTarget(route, 0.999)?.service).equal("s");
  });

  it("finds each fault of a table", () => {
    const getFault = (...routes: Route[]) =>
      tryFindRouteTableError(createTable(routes));
    expect(getFault(createRoute({}))).equal(undefined);
    const twice = getFault(createRoute({}), createRoute({ name: "q" }));
    expect(twice).contain("two routes share a.example/");
    const unknown = createRoute({});
    unknown.targets.forEach((target) => target.service = "none");
    expect(getFault(unknown)).contain(`names unknown service "none"`);
    const idle = createRoute({});
    idle.targets.forEach((target) => target.weight = 0);
    expect(getFault(idle)).contain("add up to 0");
    expect(getFault(createRoute({ timeoutMs: 0 }))).contain("no timeout");
    expect(getFault(createRoute({ pathPrefix: "/a" }))).contain("slash");
  });
});
