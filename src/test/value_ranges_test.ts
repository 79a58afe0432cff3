/**
 * Values at the limits of their types: whatever a decoder accepts must be
 * encodable, and must be taken by headers, connections and timers.
 */
import { equals, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "chai";
import fc from "fast-check";
import http from "node:http";
import net from "node:net";
import { decodeRegistration } from "../../platform/registration_codec.ts";
import { decodeRouteTable } from "../../platform/routes_codec.ts";
import { selectTarget, tryFindRouteTableError } from "../policy/mod.ts";
import {
  MessageCode,
  RegistrationSchema,
  type RouteTable,
  RouteTableSchema,
} from "../schema/mod.ts";
import { SystemClock } from "../sys/clock.ts";
import { ServingError } from "../sys/errors.ts";

const SEED = 43;

/** Numbers at the limits of the types that values are decoded from or into. */
const LIMITS = [
  0,
  1,
  2 ** 16 - 1,
  2 ** 16,
  2 ** 31 - 1,
  2 ** 31,
  2 ** 32 - 1,
  2 ** 32,
  2 ** 53 - 1,
  2 ** 53,
  1e300,
  -1,
  -(2 ** 31),
  0.5,
];

/** JSON of any value, at the limits of the types more often than by chance. */
const odd = fc.oneof(
  fc.constantFrom(...LIMITS),
  fc.integer(),
  fc.double({ noNaN: true, noDefaultInfinity: true }),
  fc.string({ unit: "binary", maxLength: 300 }),
  fc.constantFrom("", "\ud800", "a\r\nb", "\u0000", "127.0.0.1:80800", null),
);

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

/** Returns what an action decodes; undefined if it refuses the body. */
function tryDecode<T>(decode: () => T): T | undefined {
  try {
    return decode();
  } catch (error) {
    if (!(error instanceof ServingError)) throw error;
    expect(error.code).equal(MessageCode.BODY_MALFORMED);
    expect(error.httpStatus).equal(400);
    return undefined;
  }
}

const ROUTE = {
  Name: "r-1",
  Host: "a.example",
  PathPrefix: "/x/",
  Kind: "batch",
  TimeoutMs: 5_000,
  SloMs: 300,
  Priority: 1,
  Attempts: 2,
  GapTargetMs: 250,
  RunTargetMs: 18_000,
  RetentionS: 60,
  MaxCount: 1_200_000,
};
const SERVICE = { Name: "s", HealthPath: "/healthz", MaxConns: 160 };
const BOUNDS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/** A configuration with one value replaced, in each place that has one. */
function createConfigs(value: unknown): [string, unknown][] {
  const config = {
    Version: 7,
    Routes: [{ ...ROUTE, Backends: [{ Service: "s", Weight: 1 }] }],
    Services: [{ ...SERVICE, Engine: { Slots: 8 } }],
    Limits: BOUNDS,
  };
  const [route] = config.Routes;
  return [
    ["Version", { ...config, Version: value }],
    ...Object.keys(ROUTE).map((field): [string, unknown] => [
      field,
      { ...config, Routes: [{ ...route, [field]: value }] },
    ]),
    ["Weight", {
      ...config,
      Routes: [{ ...route, Backends: [{ Service: "s", Weight: value }] }],
    }],
    ...Object.keys(SERVICE).map((field): [string, unknown] => [
      field,
      { ...config, Services: [{ ...SERVICE, [field]: value }] },
    ]),
    ["Slots", {
      ...config,
      Services: [{ ...SERVICE, Engine: { Slots: value } }],
    }],
    ...Object.keys(BOUNDS).map((field): [string, unknown] => [
      field,
      { ...config, Limits: { ...BOUNDS, [field]: value } },
    ]),
  ];
}

const NUMBERS = [
  "TimeoutMs",
  "SloMs",
  "Priority",
  "Attempts",
  "GapTargetMs",
  "RunTargetMs",
  "RetentionS",
  "Weight",
  "MaxConns",
  "Slots",
  ...Object.keys(BOUNDS),
];

function expectEncodable(table: RouteTable, name: string): void {
  const copy = fromBinary(
    RouteTableSchema,
    toBinary(RouteTableSchema, table),
  );
  expect(equals(RouteTableSchema, copy, table), name).equal(true);
}

describe("values at the limits of their types", () => {
  // Guards against an order that is answered with 500, and so sent again and again,
  // because a number of a configuration does not fit into the log's type.
  it("are accepted in a configuration as what its types hold", () => {
    LIMITS.filter((value) => value >= 1 && Number.isInteger(value))
      .forEach((value) =>
        createConfigs(value).filter(([field]) => NUMBERS.includes(field))
          .forEach(([field, config]) => {
            const table = tryDecode(() => decodeRouteTable(encode(config)));
            const name = `${field} ${value}`;
            if (table === undefined && value > Number.MAX_SAFE_INTEGER) {
              expect(field, name).equal("Weight");
              return;
            }
            if (table === undefined) expect.fail(name);
            expectEncodable(table, name);
            expect(tryFindRouteTableError(table), name).equal(undefined);
          })
      );
  });

  // Guards against the same for any other value: it is refused, or can be sent.
  it("are refused in a configuration, or can be sent on", () => {
    fc.assert(
      fc.property(odd, (value) => {
        createConfigs(value).forEach(([field, config]) => {
          const table = tryDecode(() => decodeRouteTable(encode(config)));
          // A lone surrogate is replaced on its way, as in any message.
          const isText = typeof value === "string";
          if (table === undefined) return;
          if (isText) toBinary(RouteTableSchema, table);
          else expectEncodable(table, `${field} ${String(value)}`);
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  // Guards against shares of requests that change because weights are large.
  it("keep the shares of weights that are too large to be sent", () => {
    const config = {
      Version: 1,
      Routes: [{
        ...ROUTE,
        Backends: [
          { Service: "s", Weight: 3e15 },
          { Service: "t", Weight: 1e15 },
          { Service: "u", Weight: 0 },
        ],
      }],
      Services: ["s", "t", "u"].map((Name) => ({ ...SERVICE, Name })),
    };
    const [route] = decodeRouteTable(encode(config)).routes;
    if (route === undefined) expect.fail("no route");
    const [s = 0, t = 0, u = 0] = route.targets.map(({ weight }) => weight);
    expect(s / t).closeTo(3, 1e-6);
    expect(u).equal(0);
    expect(selectTarget(route, 0.9)?.service).equal("t");
  });

  // Guards against registrations that can't be sent to followers or used.
  it("are refused in a registration, or can be sent on", () => {
    const wire = {
      Service: "s",
      Address: "10.128.0.9:8080",
      Zone: "dc-a",
      Version: "v1",
      Slots: 8,
      State: "ready",
      Seq: 4,
      born: 1_700_000_000_000,
    };
    const address = fc.tuple(
      fc.array(fc.constantFrom(0, 1, 255, 256, 999), {
        minLength: 4,
        maxLength: 4,
      }),
      fc.constantFrom(0, 1, 65_535, 65_536, 80_800, 99_999),
    ).map(([octets, port]) => `${octets.join(".")}:${port}`);
    fc.assert(
      fc.property(
        fc.constantFrom("id", ...Object.keys(wire)),
        fc.oneof(odd, address),
        (field, value) => {
          const id = field === "id" ? String(value) : "i-1";
          const body = encode({ ...wire, [field]: value });
          const server = tryDecode(() => decodeRegistration(id, body));
          if (server === undefined) return;
          const copy = fromBinary(
            RegistrationSchema,
            toBinary(RegistrationSchema, server),
          );
          expect(equals(RegistrationSchema, copy, server)).equal(true);
          http.validateHeaderValue("X-Id", server.id);
          const colon = server.address.lastIndexOf(":");
          const port = Number(server.address.slice(colon + 1));
          const address = server.address.slice(0, colon);
          expect(new net.SocketAddress({ address, port }).port).above(0);
        },
      ),
      { seed: SEED, numRuns: 3_000 },
    );
  });

  // Guards against timers that fire at once: Node.js takes 31 bits, and a route may
  // have a timeout of 32.
  it("are waited for by timers", async () => {
    const clock = new SystemClock();
    const fired: number[] = [];
    const timers = [2 ** 31, 2 ** 32 - 1, 1e300, Infinity].map((ms) =>
      clock.startTimer(ms, () => fired.push(ms))
    );
    clock.startTimer(0, () => fired.push(0));
    await clock.delay(30);
    timers.forEach((timer) => timer.cancel());
    expect(fired).deep.equal([0]);
  });
});
