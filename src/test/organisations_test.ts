/** Organisations by API key, and the decisions on access, without a network. */
import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import {
  areKeysOutdated,
  decideAccess,
  getEffectivePriority,
  hashApiKey,
  mayUseJob,
  OrganisationIndex,
  tryFindRouteTableError,
} from "../policy/mod.ts";
import { OrganisationSchema, RouteTableSchema } from "../schema/mod.ts";

const createOrganisation = (name: string, ...keys: string[]) =>
  create(OrganisationSchema, {
    name,
    keyHashes: keys.map((key) => hashApiKey(Buffer.from(key))),
  });

describe("organisations", () => {
  const index = new OrganisationIndex([
    createOrganisation("a", "key-1", "key-2"),
    createOrganisation("b", "key-3", "schlüssel"),
  ]);
  const decide = (
    key: string | undefined,
    options: { isPublic?: boolean; areKeysOutdated?: boolean } = {},
  ) =>
    decideAccess({
      organisations: index,
      key,
      isPublic: false,
      areKeysOutdated: false,
      ...options,
    });

  it("finds an organisation by any of its keys", () => {
    const find = (key: string) => index.tryFindByKey(key)?.name;
    expect(["key-1", "key-2", "key-3", "key", "", "KEY-1"].map(find))
      .deep.equal(["a", "a", "b", undefined, undefined, undefined]);
    const headerText = Buffer.from("schlüssel").toString("latin1");
    expect(find(headerText)).equal("b");
  });

  // Guards against a caller of one organisation that is served as another.
  it("identifies nobody by a key that two organisations share", () => {
    const shared = new OrganisationIndex([
      createOrganisation("a", "k", "k", "own"),
      createOrganisation("b", "k"),
    ]);
    expect(shared.tryFindByKey("k")).equal(undefined);
    expect(shared.tryFindByKey("own")?.name).equal("a");
  });

  it("refuses tables with shared keys or names, without naming a key", () => {
    const findError = (...organisations: [string, ...string[]][]) =>
      tryFindRouteTableError(create(RouteTableSchema, {
        organisations: organisations.map((one) => createOrganisation(...one)),
      }));
    expect(findError(["a", "k", "k"], ["b", "l"])).equal(undefined);
    expect(findError(["a", "secret"], ["b", "secret"]))
      .equal('organisations "a" and "b" share a key');
    expect(findError(["a", "k"], ["a", "l"])).match(/share the name/);
    expect(findError(["a\r\nX: y", "k"])).match(/control characters/);
    expect(findError(["", "k"])).match(/no name/);
  });

  it("needs a known key except on public routes", () => {
    expect(decide("key-1")).deep.include({ kind: "served" });
    expect(decide("none")).deep.equal({ kind: "unknown key" });
    expect(decide(undefined)).deep.equal({ kind: "unknown key" });
    expect(decide("none", { isPublic: true })).deep.equal({ kind: "public" });
    expect(decide("key-3", { isPublic: true })).deep.include({
      kind: "served",
      organisation: index.tryGet("b"),
    });
  });

  it("identifies nobody in a deployment without organisations", () => {
    const decision = decideAccess({
      organisations: new OrganisationIndex([]),
      key: "key-1",
      isPublic: false,
      areKeysOutdated: true,
    });
    expect(decision).deep.equal({ kind: "open" });
  });

  // Guards against removed keys that a gateway without contact goes on accepting.
  it("refuses with outdated keys only what needs a key", () => {
    const outdated = { areKeysOutdated: true };
    expect(decide("key-1", outdated)).deep.equal({ kind: "keys outdated" });
    expect(decide("key-1", { ...outdated, isPublic: true }).kind)
      .equal("served");
    const settings = { failClosed: true, revokeMs: 5_000 };
    expect(areKeysOutdated(5_000, settings)).equal(false);
    expect(areKeysOutdated(5_001, settings)).equal(true);
    expect(areKeysOutdated(Infinity, { ...settings, failClosed: false }))
      .equal(false);
  });

  it("lets only the organisation of a job use it", () => {
    const owners = ["a", "", undefined];
    const getUsable = (caller: string | undefined) =>
      owners.filter((owner) => mayUseJob(owner, caller));
    expect(getUsable("a")).deep.equal(["a", "", undefined]);
    expect(getUsable("b")).deep.equal(["", undefined]);
    expect(getUsable("")).deep.equal([""]);
    expect(getUsable(undefined)).deep.equal(owners);
  });

  it("prefers an organisation's priority, including 0, to the route's", () => {
    const route = { priority: 3 };
    expect(getEffectivePriority(route, undefined)).equal(3);
    expect(getEffectivePriority(route, { priority: 0 })).equal(0);
    expect(getEffectivePriority(route, createOrganisation("a"))).equal(3);
  });
});
